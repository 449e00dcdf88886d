//! Who makes a majority: of a region, and of all voters.

use super::types::Member;
use crate::types::{NodeId, RegionId};
use std::collections::BTreeSet;

/// Members that vote: in the newest set, or in the one that it replaces.
pub fn voters(ms: &[Member]) -> impl Iterator<Item = &Member> {
    ms.iter().filter(|m| m.voter || m.outgoing)
}

/// The voters of a region in the newest set. The rules on regions are not
/// what safety rests on, so the set that is being replaced has no say there.
pub fn in_region(ms: &[Member], r: RegionId) -> Vec<NodeId> {
    let mine = ms.iter().filter(|m| m.voter && m.region == r);
    mine.map(|m| m.id).collect()
}

/// The regions that have voters in the newest set.
pub fn regions(ms: &[Member]) -> BTreeSet<RegionId> {
    let voting = ms.iter().filter(|m| m.voter);
    voting.map(|m| m.region).collect()
}

pub fn region_of(ms: &[Member], id: NodeId) -> Option<RegionId> {
    ms.iter().find(|m| m.id == id).map(|m| m.region)
}

/// Whether a change of voters is under way.
pub fn is_joint(ms: &[Member]) -> bool {
    ms.iter().any(|m| m.outgoing)
}

/// The identities that vote in the newest set.
pub fn newest_voters(ms: &[Member]) -> BTreeSet<NodeId> {
    ms.iter().filter(|m| m.voter).map(|m| m.id).collect()
}

/// The joint configuration that leads from the voters of `now` to those of
/// `next`. Whoever leaves stays a member until the change has ended.
pub fn joint(now: &[Member], next: &[Member]) -> Vec<Member> {
    let was = newest_voters(now);
    let mut joint: Vec<Member> = next.to_vec();
    for m in now.iter().filter(|m| m.voter) {
        if next.iter().all(|n| n.id != m.id) {
            let voter = false;
            joint.push(Member { voter, ..m.clone() });
        }
    }
    for m in &mut joint {
        m.outgoing = was.contains(&m.id);
    }
    joint
}

/// What follows a joint configuration once it is committed: the newest set
/// alone. Members that have lost their vote stay on without one.
pub fn settled(ms: &[Member]) -> Vec<Member> {
    let alone = |m: &Member| Member {
        outgoing: false,
        ..m.clone()
    };
    ms.iter().map(alone).collect()
}

/// The sets of voters of which each must have a majority: one, or two while
/// a change of voters is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quorum {
    newest: Vec<NodeId>,
    outgoing: Vec<NodeId>,
}

impl Quorum {
    pub fn of(ms: &[Member]) -> Quorum {
        let ids = |f: fn(&&Member) -> bool| ms.iter().filter(f).map(|m| m.id).collect();
        Quorum {
            newest: ids(|m| m.voter),
            outgoing: ids(|m| m.outgoing),
        }
    }

    /// The same without the set that is being replaced; only to show in a
    /// test what that breaks.
    pub fn newest_only(mut self) -> Quorum {
        self.outgoing.clear();
        self
    }

    /// A majority of each set satisfies `f`.
    pub fn reached(&self, f: impl Fn(NodeId) -> bool) -> bool {
        let left = self.outgoing.is_empty() || most(&self.outgoing, &f);
        left && most(&self.newest, &f)
    }

    /// The highest index that a majority of each set holds.
    pub fn holds(&self, f: impl Fn(NodeId) -> u64) -> u64 {
        let newest = held_by_most(&self.newest, &f);
        if self.outgoing.is_empty() {
            return newest;
        }
        newest.min(held_by_most(&self.outgoing, &f))
    }
}

/// More than half of `ids` satisfy `f`; nobody is no majority.
pub fn most(ids: &[NodeId], f: impl Fn(NodeId) -> bool) -> bool {
    ids.iter().filter(|i| f(**i)).count() * 2 > ids.len()
}

/// The highest index that more than half of `ids` hold.
pub fn held_by_most(ids: &[NodeId], f: impl Fn(NodeId) -> u64) -> u64 {
    let mut v: Vec<u64> = ids.iter().map(|i| f(*i)).collect();
    v.sort_unstable_by(|a, b| b.cmp(a));
    v.get(ids.len() / 2).copied().unwrap_or(0)
}
