//! The equal nodes, and this node's part of what holds for all of them together.

use super::hash;
use crate::agree::Ms;

/// A node that was ready within this time still has its part, in milliseconds.
const LATELY: Ms = 30_000;

#[derive(Clone, Debug)]
struct Node {
    hash: u64,
    seen: Ms,
}

#[derive(Clone, Debug)]
pub struct Nodes {
    me: u64,
    all: Vec<Node>,
}

impl Nodes {
    pub fn new(me: &str) -> Nodes {
        Nodes {
            me: hash::name(me),
            all: Vec::new(),
        }
    }

    pub fn take(&mut self, all: &[(String, u16)], now: Ms) {
        // why: a node missing for a moment still spends its part
        self.all.retain(|n| now.saturating_sub(n.seen) < LATELY);
        let me = self.me;
        all.iter()
            .map(|(n, _)| hash::name(n))
            .chain([me])
            .for_each(|h| match self.all.iter_mut().find(|n| n.hash == h) {
                Some(n) => n.seen = now,
                None => self.all.push(Node { hash: h, seen: now }),
            });
    }

    /// None until the nodes have been named.
    pub fn count(&self) -> Option<u32> {
        Some(self.all.len() as u32).filter(|n| *n > 0)
    }

    /// This node's part of `total`; the parts of all nodes add up to `total`
    /// at most. What is left over goes to other nodes for another `key`.
    pub fn part(&self, total: f64, key: u64) -> u32 {
        // why: the others may have spent all of it while none is known
        let Some(n) = self.count() else { return 0 };
        let t = total.max(0.0) as u32;
        let mine = hash::mix(key, self.me);
        // why: clocks are not shared, so who has the rest hangs on names alone
        let rank = self
            .all
            .iter()
            .filter(|x| hash::mix(key, x.hash) > mine)
            .count() as u32;
        t / n + u32::from(rank < t % n)
    }
}
