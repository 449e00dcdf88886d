//! Roles of a node, and the state of an election.

use super::entry::LogPosition;
use crate::types::{Millis, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// The role of a node in its term. A node has two: among all cores, and among
/// those of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Follower,
    /// Asks whether it could win an election, without raising its term.
    PreCandidate,
    Candidate,
    Leader,
}

/// A campaign of this node, for Global or for Domain Leader.
#[derive(Clone, Debug, Default)]
pub(super) struct Election {
    pub since: Millis,
    /// The voters that granted their vote.
    pub votes: BTreeSet<NodeId>,
    /// Domain Leaders that took part, with the last entries of their logs.
    pub domain_leaders: BTreeMap<NodeId, LogPosition>,
    /// The own vote counts once this save is synced.
    pub vote_save_seq: u64,
}

/// The last known Domain Leader of a region.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DomainLeader {
    pub id: NodeId,
    pub domain_term: u64,
    pub last_contact_at: Millis,
}

impl Role {
    /// The role of a node that collects pre-votes or votes.
    pub fn of_campaign(pre_vote: bool) -> Role {
        if pre_vote {
            Role::PreCandidate
        } else {
            Role::Candidate
        }
    }
}
