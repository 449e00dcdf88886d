//! The leader's observation of the members and of the live cores.

use super::spread::Spread;
use crate::consensus::Member;
use crate::types::{Millis, NodeId, RegionId};
use crate::wire::Hello;
use std::collections::{BTreeMap, BTreeSet};

/// The state of one member as the leader observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Milliseconds since its last message.
    pub silent_ms: Millis,
    /// Whether its log has nearly reached the end of the leader's.
    pub caught_up: bool,
}

/// The input of a decision. The members are committed, and no change of them is
/// in flight.
#[derive(Clone, Debug)]
pub struct Observation<'a> {
    /// The leader.
    pub leader: NodeId,
    /// All members, the leader among them.
    pub members: &'a [Member],
    /// The health of every member but the leader.
    pub health: BTreeMap<NodeId, Health>,
    /// Live cores, members or not, one per address.
    pub live: &'a [Hello],
}

impl Observation<'_> {
    pub(super) fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.id != self.leader)
    }

    pub(super) fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.voter)
    }

    pub(super) fn health_of(&self, id: NodeId) -> Health {
        self.health.get(&id).copied().unwrap_or_default()
    }

    /// The spread that the members accepted by `votes` would have as voters.
    pub(super) fn spread(&self, votes: impl Fn(&Member) -> bool) -> Spread {
        let regions: BTreeSet<RegionId> = self.members.iter().map(|m| m.region).collect();
        let regions: Vec<RegionId> = regions.into_iter().collect();
        Spread::of(self.members.iter().filter(|m| votes(m)), &regions)
    }
}
