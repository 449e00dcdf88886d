//! The equal nodes, and this node's part of what holds for all of them together.

use super::hash;
use crate::types::Millis;

/// A node that was ready within this time still has its part, in milliseconds.
const LATELY: Millis = 30_000;

/// What the nodes of a region have of its own, as a share.
const NEAR: f64 = 0.85;

#[derive(Clone, Debug)]
struct Node {
    hash: u64,
    region: u8,
    seen: Millis,
}

#[derive(Clone, Debug)]
pub struct Nodes {
    me: u64,
    region: u8,
    all: Vec<Node>,
}

impl Nodes {
    pub fn new(me: &str, region: u8) -> Nodes {
        Nodes {
            me: hash::name(me),
            region,
            all: Vec::new(),
        }
    }

    /// Names and regions of the ready nodes.
    pub fn take(&mut self, all: impl Iterator<Item = (u64, u8)>, now: Millis) {
        // a node missing for a moment still spends its part
        self.all.retain(|n| now.saturating_sub(n.seen) < LATELY);
        let me = (self.me, self.region);
        for (hash, region) in all.chain([me]) {
            let n = Node {
                hash,
                region,
                seen: now,
            };
            match self.all.iter_mut().find(|n| n.hash == hash) {
                Some(old) => *old = n,
                None => self.all.push(n),
            }
        }
    }

    /// Nodes that are or lately were ready, this one included.
    pub fn known(&self) -> u32 {
        self.all.len().max(1) as u32
    }

    /// This node's part of `total`; the parts of all nodes add up to `total`
    /// at most. What is left over goes to other nodes for another `key`.
    pub fn part(&self, total: f64, key: u64) -> u32 {
        self.among(total.max(0.0) as u32, key, |_| true)
    }

    /// As `part`, of something in a region: its own nodes need more of it.
    pub fn part_near(&self, total: f64, key: u64, region: u8) -> u32 {
        let here = self.all.iter().filter(|n| n.region == region).count();
        if here == 0 || here == self.all.len() {
            return self.part(total, key);
        }
        let t = total.max(0.0) as u32;
        let near = (f64::from(t) * NEAR) as u32;
        let is = self.region == region;
        let mine = if is { near } else { t - near };
        self.among(mine, key, |n| (n.region == region) == is)
    }

    fn among(&self, t: u32, key: u64, of: impl Fn(&Node) -> bool) -> u32 {
        let all = || self.all.iter().filter(|n| of(n));
        let n = all().count() as u32;
        // the others may have spent all of it while none is known
        if n == 0 {
            return 0;
        }
        let mine = hash::mix(key, self.me);
        // clocks are not shared, so who has the rest hangs on names alone
        let rank = all().filter(|x| hash::mix(key, x.hash) > mine).count() as u32;
        t / n + u32::from(rank < t % n)
    }
}
