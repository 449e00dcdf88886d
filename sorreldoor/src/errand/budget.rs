//! Bounds on what an edge adds to real traffic, and on what leaves a region.

use crate::rules::{broken, Rule};
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
        let ok = self.room >= 100 || broken(Rule::Budget);
        self.room = self.room.saturating_sub(if ok { 100 } else { 0 });
        ok
    }
}

/// Of the last errands of this edge, how many went to which region.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    all: u64,
    to: BTreeMap<u8, u64>,
}

const WINDOW: u64 = 200;

impl Spill {
    /// Whether one more to `region` keeps within `percent`.
    pub fn fits(&self, region: u8, percent: u32) -> bool {
        let n = self.to.get(&region).copied().unwrap_or(0);
        percent > 0
            && (n + 1) * 100 <= (self.all + 1).max(100 / u64::from(percent)) * u64::from(percent)
    }

    pub fn count(&mut self, to: Option<u8>) {
        self.all += 1;
        if let Some(r) = to {
            *self.to.entry(r).or_default() += 1;
        }
        // why: old traffic must not buy room for new spill without end
        if self.all >= WINDOW {
            self.all /= 2;
            self.to.values_mut().for_each(|n| *n /= 2);
        }
    }
}
