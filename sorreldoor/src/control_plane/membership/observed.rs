//! What the leader observes of the members.

use super::spread::Spread;
use crate::consensus::Member;
use crate::types::{Millis, NodeId, RegionId};
use crate::wire::Hello;
use std::collections::{BTreeMap, BTreeSet};

/// What the leader knows of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Time since its last message.
    pub silent_ms: Millis,
    /// Whether its log is close to the leader's.
    pub caught_up: bool,
}

/// All that a decision depends on. The members are committed, and no change of
/// them is in flight.
#[derive(Clone, Debug)]
pub struct Observation<'a> {
    /// The leader, which decides.
    pub leader: NodeId,
    /// All members, the leader among them.
    pub members: &'a [Member],
    /// Of every member but the leader.
    pub health: BTreeMap<NodeId, Health>,
    /// Live cores, one for each address.
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

    pub(super) fn spread(&self, votes: impl Fn(&Member) -> bool) -> Spread {
        let regions: BTreeSet<RegionId> = self.members.iter().map(|m| m.region).collect();
        let regions: Vec<RegionId> = regions.into_iter().collect();
        Spread::of(self.members.iter().filter(|m| votes(m)), &regions)
    }
}
