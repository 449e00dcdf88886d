//! The nodes of the site, and this node's share of limits that apply to the sum
//! over all nodes.
//!
//! Each node computes its share from the names of the nodes, without
//! communication. While all nodes have the same list, the shares add up to at most
//! the limit.

use super::hash;
use crate::types::Millis;

/// A node keeps its share for this time after it was last ready.
const RECENTLY_READY: Millis = 30_000;
/// Fraction of an endpoint's capacity for the nodes of its own region.
const LOCAL_REGION_SHARE: f64 = 0.85;

#[derive(Clone, Debug)]
struct Node {
    hash: u64,
    region: u8,
    last_ready: Millis,
}

/// The nodes that are or recently were ready.
#[derive(Clone, Debug)]
pub(super) struct Nodes {
    own_hash: u64,
    own_region: u8,
    nodes: Vec<Node>,
}

impl Nodes {
    /// An empty list; until the first update every share is 0.
    pub fn new(own_name: &str, own_region: u8) -> Nodes {
        Nodes {
            own_hash: hash::name(own_name),
            own_region,
            nodes: Vec::new(),
        }
    }

    /// Updates the list from the name hashes and regions of the ready nodes. This
    /// node is always included.
    pub fn update(&mut self, ready: impl Iterator<Item = (u64, u8)>, now: Millis) {
        // a node that is missing for a short time may still use its share
        self.nodes
            .retain(|node| now.saturating_sub(node.last_ready) < RECENTLY_READY);
        let own = (self.own_hash, self.own_region);
        for (hash, region) in ready.chain([own]) {
            let node = Node {
                hash,
                region,
                last_ready: now,
            };
            match self.nodes.iter_mut().find(|known| known.hash == hash) {
                Some(known) => *known = node,
                None => self.nodes.push(node),
            }
        }
    }

    /// Number of nodes that are or recently were ready, this one included.
    pub fn count(&self) -> u32 {
        self.nodes.len().max(1) as u32
    }

    /// This node's share of `total`, rounded down. `key` determines which nodes get
    /// one more from the remainder of the division.
    pub fn share(&self, total: f64, key: u64) -> u32 {
        self.share_among(total.max(0.0) as u32, key, |_| true)
    }

    /// As [`Nodes::share`], for a limit of something in `region`: the nodes of that
    /// region share [`LOCAL_REGION_SHARE`] of `total`, the others the rest.
    pub fn regional_share(&self, total: f64, key: u64, region: u8) -> u32 {
        let in_region = |node: &Node| node.region == region;
        let local_nodes = self.nodes.iter().filter(|node| in_region(node)).count();
        if local_nodes == 0 || local_nodes == self.nodes.len() {
            return self.share(total, key);
        }
        let total = total.max(0.0) as u32;
        let local_total = (f64::from(total) * LOCAL_REGION_SHARE) as u32;
        let local = self.own_region == region;
        let group_total = if local {
            local_total
        } else {
            total - local_total
        };
        self.share_among(group_total, key, |node| in_region(node) == local)
    }

    fn share_among(&self, total: u32, key: u64, member: impl Fn(&Node) -> bool) -> u32 {
        let members = || self.nodes.iter().filter(|node| member(node));
        let count = members().count() as u32;
        // without a list, other nodes may already use all of the limit
        if count == 0 {
            return 0;
        }
        let own_rank = hash::mix(key, self.own_hash);
        // the remainder is distributed by name hashes, which need no common clock
        let ahead = members()
            .filter(|node| hash::mix(key, node.hash) > own_rank)
            .count() as u32;
        total / count + u32::from(ahead < total % count)
    }
}
