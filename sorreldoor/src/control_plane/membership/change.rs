//! A change of the members and its reason.

use crate::consensus::Member;
use crate::types::NodeId;
use std::fmt;

/// A change of the members of the consensus group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A core joins as a learner, which receives the log and has no vote.
    AddLearner {
        /// Its node name, for log events.
        node: String,
        /// The new member.
        member: Member,
    },
    /// A learner becomes a voter.
    Promote {
        /// The learner.
        id: NodeId,
    },
    /// A learner replaces a voter, in one change.
    Replace {
        /// The voter, which becomes a learner.
        demoted: NodeId,
        /// The learner, which becomes a voter.
        promoted: NodeId,
        /// Why the voter is replaced.
        reason: Reason,
    },
    /// Voters become learners.
    Demote {
        /// The voters.
        ids: Vec<NodeId>,
        /// Why they lose their votes.
        reason: Reason,
    },
    /// A learner is removed.
    RemoveLearner {
        /// The learner.
        id: NodeId,
        /// Why it is removed.
        reason: Reason,
    },
}

/// Why a member is demoted, replaced or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A core with another id runs at its address: its disk, with its id, was lost.
    DiskLost,
    /// Its process is shutting down.
    Stopping,
    /// It has sent nothing for longer than the policy allows.
    Silent,
    /// There are more voters than the target.
    Surplus,
    /// Its zone has so many voters that its loss would take the majority.
    Zone,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::DiskLost => "restarted with an empty disk",
            Reason::Stopping => "is stopping",
            Reason::Silent => "has stopped responding",
            Reason::Surplus => "exceeds the target number of voters",
            Reason::Zone => "shares its zone with other voters",
        })
    }
}

impl fmt::Display for MembershipChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembershipChange::AddLearner { node, .. } => write!(f, "{node} joins as a learner"),
            MembershipChange::Promote { id } => write!(f, "{id:x} becomes a voter"),
            MembershipChange::Replace {
                demoted,
                promoted,
                reason,
            } => {
                write!(
                    f,
                    "{demoted:x} {reason}; {promoted:x} replaces it as a voter"
                )
            }
            MembershipChange::Demote { ids, reason } => {
                let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
                write!(f, "{} {reason}; demoted to learner", ids.join(" "))
            }
            MembershipChange::RemoveLearner { id, reason } => {
                write!(f, "{id:x} {reason}; removed")
            }
        }
    }
}

impl MembershipChange {
    /// The list of members after this change.
    pub fn applied(&self, members: &[Member]) -> Vec<Member> {
        let mut next = members.to_vec();
        let mut set_voter = |id: NodeId, voter: bool| {
            let found = next.iter_mut().filter(|m| m.id == id);
            found.for_each(|m| m.voter = voter);
        };
        match self {
            MembershipChange::AddLearner { member, .. } => next.push(member.clone()),
            MembershipChange::Promote { id } => set_voter(*id, true),
            MembershipChange::Replace {
                demoted, promoted, ..
            } => {
                set_voter(*demoted, false);
                set_voter(*promoted, true);
            }
            MembershipChange::Demote { ids, .. } => ids.iter().for_each(|id| set_voter(*id, false)),
            MembershipChange::RemoveLearner { id, .. } => next.retain(|m| m.id != *id),
        }
        next
    }
}
