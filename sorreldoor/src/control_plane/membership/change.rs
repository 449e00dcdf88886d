//! One change of the members, and why it is made.

use crate::consensus::Member;
use crate::types::NodeId;
use std::fmt;

/// One change of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A core becomes a learner: it receives the log and has no vote.
    AddLearner {
        /// Its node name, for the log.
        node: String,
        /// The new member.
        member: Member,
    },
    /// A learner becomes a voter.
    Promote {
        /// The learner.
        id: NodeId,
    },
    /// A learner replaces a voter.
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
    /// Another identity answers at its address: its disk was lost for certain.
    DiskLost,
    /// Its process is shutting down.
    Stopping,
    /// It sent nothing for too long.
    Silent,
    /// There are more voters than wanted.
    Surplus,
    /// Too many voters stand in one zone.
    Zone,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::DiskLost => "restarted with an empty disk",
            Reason::Stopping => "is stopping",
            Reason::Silent => "is silent",
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
    /// The members after this change.
    pub fn applied(&self, members: &[Member]) -> Vec<Member> {
        let mut next = members.to_vec();
        let mut vote = |id: NodeId, voter: bool| {
            let found = next.iter_mut().filter(|m| m.id == id);
            found.for_each(|m| m.voter = voter);
        };
        match self {
            MembershipChange::AddLearner { member, .. } => next.push(member.clone()),
            MembershipChange::Promote { id } => vote(*id, true),
            MembershipChange::Replace {
                demoted, promoted, ..
            } => {
                vote(*demoted, false);
                vote(*promoted, true);
            }
            MembershipChange::Demote { ids, .. } => ids.iter().for_each(|id| vote(*id, false)),
            MembershipChange::RemoveLearner { id, .. } => next.retain(|m| m.id != *id),
        }
        next
    }
}
