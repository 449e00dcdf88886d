//! Roles of a node, and the state of an election.

use super::entry::LogPosition;
use crate::types::{Millis, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// The role of a node in a term. Each node has two roles: one among all cores, in
/// the election of the Global Leader, and one in its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Follower,
    /// Collects pre-votes without incrementing its term (thesis, section 9.6).
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
    /// Domain Leaders that replied, with the positions of their last entries;
    /// includes this node if it is one.
    pub domain_leaders: BTreeMap<NodeId, LogPosition>,
    /// Number of the save that records this node's own vote. The vote counts once
    /// that is synced.
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
