//! Choice of the Global Leader's region: the one with the lowest total latency Ls.
//! The latency model and its symbols are those of the CD-Raft paper, section III-E.

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

/// Predicts the total latency of all clients for a given region of the leader.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel<'a> {
    /// Reads and writes by the region that they came from; a region that is
    /// absent has none.
    pub load: &'a BTreeMap<RegionId, RegionLoad>,
    /// One-way delay between two regions in milliseconds, where known; measured in one
    /// direction or in both.
    pub latencies: &'a BTreeMap<(RegionId, RegionId), Millis>,
    /// Regions with contact with a majority of their voters.
    pub available: &'a [RegionId],
    /// All regions with voters, available or not.
    pub regions: &'a [RegionId],
}

impl LatencyModel<'_> {
    /// One-way delay between two regions in milliseconds.
    fn delay(&self, from: RegionId, to: RegionId) -> Option<Millis> {
        if from == to {
            return Some(0);
        }
        let forward = self.latencies.get(&(from, to));
        let delay = forward.or_else(|| self.latencies.get(&(to, from)));
        delay.copied()
    }

    /// Delay from `leader` to the nearest other available region.
    fn nearest_delay(&self, leader: RegionId) -> Option<Millis> {
        self.available
            .iter()
            .filter(|region| **region != leader)
            .filter_map(|region| self.delay(leader, *region))
            .min()
    }

    /// Total latency of a region's clients in milliseconds with the leader in `leader`:
    /// Li of the paper, equations 1 to 3. `None` while the delay is unknown.
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

    /// Total latency of all clients in milliseconds with the leader in `leader`: Ls of
    /// the paper, equation 4. `None` while a delay is unknown.
    pub fn total_latency(&self, leader: RegionId) -> Option<Millis> {
        let regions = self.regions.iter();
        regions
            .map(|region| self.region_latency(*region, leader))
            .sum()
    }
}

/// The region to move the leader to from `current`: the available one with the lowest
/// total latency, if that reduces the latency by more than `min_gain_percent`, or in
/// any case if `current` is unavailable. `None` if the leader should stay, or while a
/// delay to `current` is unknown.
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
    // the leader moves out of an unavailable region at any latency
    let must_leave = !model.available.contains(&current);
    let gains = latency * 100 < current_latency * limit_percent;
    (must_leave || gains).then_some(region)
}
