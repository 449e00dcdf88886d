//! Voters and majorities: of a region, and of all regions together.

use super::entry::Member;
use crate::types::{NodeId, RegionId};
use std::collections::BTreeSet;

/// The members that vote in the newest set or in the outgoing one.
pub fn voters(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|m| m.voter || m.outgoing)
}

/// The voters of a region in the newest set. The region rules add no safety,
/// so they ignore the outgoing set.
pub fn voters_in_region(members: &[Member], region: RegionId) -> Vec<NodeId> {
    let voters = members.iter().filter(|m| m.voter && m.region == region);
    voters.map(|m| m.id).collect()
}

/// Regions with voters in the newest set.
pub fn regions(members: &[Member]) -> BTreeSet<RegionId> {
    let voting = members.iter().filter(|m| m.voter);
    voting.map(|m| m.region).collect()
}

/// The region of a member; `None` if `id` is not a member.
pub fn region_of(members: &[Member], id: NodeId) -> Option<RegionId> {
    members.iter().find(|m| m.id == id).map(|m| m.region)
}

/// Whether a change of voters is under way.
pub fn is_joint(members: &[Member]) -> bool {
    members.iter().any(|m| m.outgoing)
}

/// The ids of the voters in the newest set.
pub fn newest_voters(members: &[Member]) -> BTreeSet<NodeId> {
    members.iter().filter(|m| m.voter).map(|m| m.id).collect()
}

/// The joint configuration for a change from the voters of `current` to those of
/// `next`. Removed voters stay as members until the change has ended.
pub fn enter_joint(current: &[Member], next: &[Member]) -> Vec<Member> {
    let previous = newest_voters(current);
    let mut joint: Vec<Member> = next.to_vec();
    for m in current.iter().filter(|m| m.voter) {
        if next.iter().all(|n| n.id != m.id) {
            let voter = false;
            joint.push(Member { voter, ..m.clone() });
        }
    }
    for m in &mut joint {
        m.outgoing = previous.contains(&m.id);
    }
    joint
}

/// The configuration that follows a committed joint one: the newest set alone.
/// Members that are voters no longer stay as learners.
pub fn without_outgoing(members: &[Member]) -> Vec<Member> {
    let newest_only = |m: &Member| Member {
        outgoing: false,
        ..m.clone()
    };
    members.iter().map(newest_only).collect()
}

/// The sets of voters that must each have a majority: one, or two in a joint
/// configuration (thesis, section 4.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quorum {
    newest: Vec<NodeId>,
    outgoing: Vec<NodeId>,
}

impl Quorum {
    /// The quorum of a configuration.
    pub fn from_members(members: &[Member]) -> Quorum {
        let ids = |f: fn(&&Member) -> bool| members.iter().filter(f).map(|m| m.id).collect();
        Quorum {
            newest: ids(|m| m.voter),
            outgoing: ids(|m| m.outgoing),
        }
    }

    /// The quorum without the outgoing set, for an injected fault.
    pub fn newest_only(mut self) -> Quorum {
        self.outgoing.clear();
        self
    }

    /// Whether a majority of each set satisfies `predicate`.
    pub fn is_reached(&self, predicate: impl Fn(NodeId) -> bool) -> bool {
        let outgoing_reached = self.outgoing.is_empty() || has_majority(&self.outgoing, &predicate);
        outgoing_reached && has_majority(&self.newest, &predicate)
    }

    /// The highest index that a majority of each set has, given the index of each
    /// voter.
    pub fn committed_index(&self, index_of: impl Fn(NodeId) -> u64) -> u64 {
        let newest = majority_index(&self.newest, &index_of);
        if self.outgoing.is_empty() {
            return newest;
        }
        newest.min(majority_index(&self.outgoing, &index_of))
    }
}

/// Whether more than half of `ids` satisfy `predicate`; false for no ids.
pub fn has_majority(ids: &[NodeId], predicate: impl Fn(NodeId) -> bool) -> bool {
    ids.iter().filter(|id| predicate(**id)).count() * 2 > ids.len()
}

/// The highest index that more than half of `ids` have, by `index_of`; zero
/// for no ids.
pub fn majority_index(ids: &[NodeId], index_of: impl Fn(NodeId) -> u64) -> u64 {
    let mut descending: Vec<u64> = ids.iter().map(|id| index_of(*id)).collect();
    descending.sort_unstable_by(|a, b| b.cmp(a));
    descending.get(ids.len() / 2).copied().unwrap_or(0)
}
