//! Recovery of regions: which recovery state each region should have, from the
//! loads of its workers that the holder of the singleton role has polled.

use crate::configuration::Configuration;
use crate::discovery::{Loads, Worker};
use crate::replicated_state::Recovery;
use crate::types::Millis;
use std::collections::BTreeMap;

/// Time without a live model worker after which a region is lost.
const LOST_AFTER_MS: Millis = 1500;
/// Maximum time from the first live worker until a region is served in full.
const MAX_RECOVERY_MS: Millis = 10_000;
/// Least increase in the percentage of a returning region, so that not every
/// finished request leads to a proposal.
const STEP_PERCENT: u8 = 10;
/// Percentage from which a region is served in full.
const NEARLY_FULL_PERCENT: u8 = 95;

/// Slots of a region's live model workers, and how many of them slow start allows
/// to be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    slots: u64,
    warm: u64,
}

impl Capacity {
    fn percent(self) -> u8 {
        (self.warm * 100 / self.slots.max(1)).min(100) as u8
    }
}

/// The capacity of a region's model workers without those that are leaving;
/// `None` if none are listed.
pub fn region_capacity(
    configuration: &Configuration,
    workers: &[Worker],
    loads: &Loads,
    region: u8,
) -> Option<Capacity> {
    let mut is_listed = false;
    let mut total = Capacity::default();
    for worker in workers.iter().filter(|w| w.region == region && !w.leaving) {
        let group = configuration.group(&worker.group);
        let group = group.map(|g| &configuration.groups[g as usize]);
        let Some(group) = group.filter(|g| g.model) else {
            continue;
        };
        is_listed = true;
        if let Some(load) = loads.of(&worker.name).filter(|l| l.live) {
            let slots = u64::from(load.slots.max(1).min(group.slots));
            let steps = load.finished / u64::from(group.slow_start.requests_per_step.max(1));
            let warm = u64::from(group.slow_start.initial_limit) + steps;
            total.slots += slots;
            total.warm += warm.min(slots);
        }
    }
    is_listed.then_some(total)
}

#[derive(Clone, Copy, Debug, Default)]
struct Liveness {
    down_since: Option<Millis>,
    up_since: Option<Millis>,
}

/// Since when each region has had no live workers, or has had them again.
#[derive(Clone, Debug, Default)]
pub struct RegionWatch {
    regions: BTreeMap<u8, Liveness>,
}

impl RegionWatch {
    /// The state that is due for a region; `None` if it stays in `current`.
    pub fn next_state(
        &mut self,
        region: u8,
        capacity: Capacity,
        current: Recovery,
        now: Millis,
    ) -> Option<Recovery> {
        let liveness = self.regions.entry(region).or_default();
        if capacity.slots == 0 {
            liveness.up_since = None;
            let since = *liveness.down_since.get_or_insert(now);
            let is_lost = now.saturating_sub(since) >= LOST_AFTER_MS;
            return (is_lost && current != Recovery::Lost).then_some(Recovery::Lost);
        }
        liveness.down_since = None;
        if current == Recovery::Served {
            return None;
        }
        let since = *liveness.up_since.get_or_insert(now);
        let percent = capacity.percent();
        if percent >= NEARLY_FULL_PERCENT || now.saturating_sub(since) >= MAX_RECOVERY_MS {
            return Some(Recovery::Served);
        }
        match current {
            Recovery::Returning(previous) if percent < previous + STEP_PERCENT => None,
            _ => Some(Recovery::Returning(percent)),
        }
    }
}
