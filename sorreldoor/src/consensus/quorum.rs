//! Who makes a majority: of a region, and of the whole core.

use super::types::{Member, NodeId, RegionId};
use std::collections::BTreeSet;

pub fn voters(ms: &[Member]) -> impl Iterator<Item = &Member> {
    ms.iter().filter(|m| m.voter)
}

pub fn in_region(ms: &[Member], r: RegionId) -> Vec<NodeId> {
    voters(ms).filter(|m| m.region == r).map(|m| m.id).collect()
}

pub fn regions(ms: &[Member]) -> BTreeSet<RegionId> {
    voters(ms).map(|m| m.region).collect()
}

pub fn region_of(ms: &[Member], id: NodeId) -> Option<RegionId> {
    ms.iter().find(|m| m.id == id).map(|m| m.region)
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
