//! The set of voters that the deployment asks for, and how the actual one
//! differs from it.

use crate::consensus::{quorum, Member};
use crate::types::Millis;
use std::cmp::Ordering;
use std::fmt;

/// What the deployment asks of the set of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Voters wanted: twice the number of machines that may be lost at once, plus
    /// one.
    pub target_voters: usize,
    /// Zones that may be lost at once; 0 or 1.
    pub tolerated_zones: usize,
    /// Silence after which a voter counts as lost.
    pub silent_ms: Millis,
}

impl MembershipPolicy {
    /// As many voters as tolerate the loss of `nodes` machines at once.
    #[must_use]
    pub fn tolerating(nodes: usize, zones: usize, silent_ms: Millis) -> MembershipPolicy {
        let target_voters = 2 * nodes + 1;
        MembershipPolicy {
            target_voters,
            tolerated_zones: zones,
            silent_ms,
        }
    }

    /// Why the voters are not as wanted; none if they are.
    #[must_use]
    pub fn voter_mismatch(&self, members: &[Member]) -> Option<VoterMismatch> {
        if quorum::is_joint(members) {
            return Some(VoterMismatch::ChangeUnderWay);
        }
        let voters = members.iter().filter(|m| m.voter).count();
        let learners = members.len() - voters;
        match voters.cmp(&self.target_voters) {
            Ordering::Equal => None,
            Ordering::Greater => Some(VoterMismatch::TooMany),
            Ordering::Less if learners == 0 => Some(VoterMismatch::NoLearner),
            Ordering::Less => Some(VoterMismatch::LearnerBehind),
        }
    }
}

/// Why the number of voters differs from the number wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterMismatch {
    /// A change of the voters is not finished.
    ChangeUnderWay,
    /// There are more voters than wanted.
    TooMany,
    /// There is no learner to promote.
    NoLearner,
    /// There are learners, but none has caught up.
    LearnerBehind,
}

impl fmt::Display for VoterMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VoterMismatch::ChangeUnderWay => "a change of voters is not finished",
            VoterMismatch::TooMany => "there are more voters than wanted",
            VoterMismatch::NoLearner => "there is no learner to promote",
            VoterMismatch::LearnerBehind => "no learner has caught up",
        })
    }
}
