//! Bounds on what an edge adds to real traffic, and on what leaves a region.

use crate::invariants::{broken, Invariant};
use std::collections::BTreeMap;

/// Retries as a share of first tries; unused room is kept up to a few.
#[derive(Clone, Debug, Default)]
pub struct Retries {
    /// In hundredths of a retry.
    room: u64,
}

/// Kept for a bad moment, at each edge: two retries.
const KEPT: u64 = 200;

impl Retries {
    pub fn first(&mut self, percent: u32) {
        self.room = (self.room + u64::from(percent)).min(KEPT);
    }

    pub fn again(&mut self) -> bool {
        let ok = self.room >= 100 || broken(Invariant::Budget);
        self.room = self.room.saturating_sub(if ok { 100 } else { 0 });
        ok
    }
}

/// Room for errands that may go to other regions, in hundredths of one. Every
/// errand that comes brings the setup's percent of it; little is kept, so that
/// a quiet hour buys no burst.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    room: BTreeMap<u8, u64>,
}

/// One errand, and what the next brings at most.
const LEFT: u64 = 200;

impl Spill {
    /// An errand came, in a region that may spill so many percent.
    pub fn came(&mut self, to: impl Iterator<Item = (u8, u32)>) {
        for (region, percent) in to {
            let r = self.room.entry(region).or_default();
            *r = (*r + u64::from(percent)).min(LEFT);
        }
    }

    /// Whether one more may go to `region`.
    pub fn fits(&self, region: u8, percent: u32) -> bool {
        percent > 0 && self.room.get(&region).is_some_and(|r| *r >= 100)
    }

    pub fn count(&mut self, to: Option<u8>) {
        if let Some(r) = to.and_then(|r| self.room.get_mut(&r)) {
            *r = r.saturating_sub(100);
        }
    }
}
