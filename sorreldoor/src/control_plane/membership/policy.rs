//! The voters that the settings ask for, and how the actual ones differ from
//! them.

use crate::consensus::{quorum, Member};
use crate::types::Millis;
use std::cmp::Ordering;
use std::fmt;

/// The required number and distribution of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Target number of voters: `2n + 1` to tolerate the loss of `n` machines.
    pub target_voters: usize,
    /// Number of zones whose simultaneous loss is tolerated; 0 or 1.
    pub tolerated_zones: usize,
    /// Milliseconds of silence after which a voter is replaced.
    pub replace_after_ms: Millis,
}

impl MembershipPolicy {
    /// The policy that tolerates the simultaneous loss of `nodes` machines or of
    /// `zones` zones.
    #[must_use]
    pub fn tolerating(nodes: usize, zones: usize, replace_after_ms: Millis) -> MembershipPolicy {
        let target_voters = 2 * nodes + 1;
        MembershipPolicy {
            target_voters,
            tolerated_zones: zones,
            replace_after_ms,
        }
    }

    /// Why the number of voters differs from the target; `None` if it does not.
    #[must_use]
    pub fn voter_mismatch(&self, members: &[Member]) -> Option<VoterMismatch> {
        if quorum::is_joint(members) {
            return Some(VoterMismatch::ChangeInProgress);
        }
        let voters = members.iter().filter(|m| m.voter).count();
        let learners = members.len() - voters;
        match voters.cmp(&self.target_voters) {
            Ordering::Equal => None,
            Ordering::Greater => Some(VoterMismatch::TooMany),
            Ordering::Less if learners == 0 => Some(VoterMismatch::NoLearner),
            Ordering::Less => Some(VoterMismatch::LearnersBehind),
        }
    }
}

/// Why the number of voters differs from the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterMismatch {
    /// A change of the voters is in progress.
    ChangeInProgress,
    /// There are more voters than the target.
    TooMany,
    /// There is no learner to promote.
    NoLearner,
    /// There are learners, but none has caught up.
    LearnersBehind,
}

impl fmt::Display for VoterMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VoterMismatch::ChangeInProgress => "a change of voters is in progress",
            VoterMismatch::TooMany => "there are more voters than the target",
            VoterMismatch::NoLearner => "there is no learner to promote",
            VoterMismatch::LearnersBehind => "no learner has caught up",
        })
    }
}
