//! The region of the Global Leader: the one with the least total latency Ls.
//!
//! The model is that of the CD-Raft paper, section III-E, whose symbols the
//! comments give.

use crate::types::{Millis, RegionId};
use std::collections::BTreeMap;

/// Recent reads and writes of one region's clients; both counts are halved every
/// placement interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionLoad {
    /// Requests for a read index by the cores of the region.
    pub reads: u64,
    /// Proposals that the Global Leader appended for the region's cores.
    pub writes: u64,
}

/// Predicts the latency that clients see, by the region of the leader.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel<'a> {
    /// Reads and writes by the region that they came from; a region that is
    /// absent has none.
    pub load: &'a BTreeMap<RegionId, RegionLoad>,
    /// One-way delay between two regions, where known, in one direction or
    /// both.
    pub latencies: &'a BTreeMap<(RegionId, RegionId), Millis>,
    /// Regions whose majority answers.
    pub available: &'a [RegionId],
    /// All regions with members, available or not.
    pub regions: &'a [RegionId],
}

impl LatencyModel<'_> {
    /// One-way delay between two regions.
    fn delay(&self, from: RegionId, to: RegionId) -> Option<Millis> {
        if from == to {
            return Some(0);
        }
        let forward = self.latencies.get(&(from, to));
        let delay = forward.or_else(|| self.latencies.get(&(to, from)));
        delay.copied()
    }

    /// Delay from `leader` to the nearest other region that can vote.
    fn nearest_delay(&self, leader: RegionId) -> Option<Millis> {
        self.available
            .iter()
            .filter(|region| **region != leader)
            .filter_map(|region| self.delay(leader, *region))
            .min()
    }

    /// Total latency of a region's clients with the leader in `leader`: Li of
    /// the paper, equations 1 to 3. None while the delay is unknown.
    pub fn region_latency(&self, region: RegionId, leader: RegionId) -> Option<Millis> {
        let load = self.load.get(&region).copied().unwrap_or_default();
        let commit_delay = self.nearest_delay(leader).unwrap_or(0);
        if region == leader {
            return Some(2 * commit_delay * load.writes);
        }
        let delay = self.delay(region, leader)?;
        if self.available.contains(&region) {
            // Fast Return: one round trip for writes as for reads
            return Some(2 * delay * (load.writes + load.reads));
        }
        Some(2 * (delay + commit_delay) * load.writes + 2 * delay * load.reads)
    }

    /// Total latency of all clients with the leader in `leader`: Ls of the
    /// paper, equation 4. None while a delay is unknown.
    pub fn total_latency(&self, leader: RegionId) -> Option<Millis> {
        let regions = self.regions.iter();
        regions
            .map(|region| self.region_latency(*region, leader))
            .sum()
    }
}

/// The region to move the leader to from `current`, if that reduces the total
/// latency by more than `min_gain_percent`.
pub fn best_region(
    model: &LatencyModel,
    current: RegionId,
    min_gain_percent: u64,
) -> Option<RegionId> {
    let current_latency = model.total_latency(current)?;
    let limit_percent = 100 - min_gain_percent.min(100);
    let candidates = model.available.iter().filter(|region| **region != current);
    let (latency, region) = candidates
        .filter_map(|region| {
            model
                .total_latency(*region)
                .map(|latency| (latency, *region))
        })
        .min()?;
    // an unavailable region is left whatever the latency
    let must_leave = !model.available.contains(&current);
    let gains = latency * 100 < current_latency * limit_percent;
    (must_leave || gains).then_some(region)
}
