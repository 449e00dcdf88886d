//! Lost and recovering regions: the state that the record should have for each,
//! by what the holder of the singleton role observes of their workers.

use crate::configuration::Configuration;
use crate::discovery::{Loads, Worker};
use crate::replicated_state::Recovery;
use crate::types::Millis;
use std::collections::BTreeMap;

/// A region without any live model worker for this long is lost.
const LOST_AFTER_MS: Millis = 1500;
/// This long after its return, a region is served in full in any case.
const MAX_RECOVERY_MS: Millis = 10_000;
/// A recovering region's share rises by at least this many percent at a time,
/// so that not each finished request leads to a proposal.
const STEP_PERCENT: u8 = 10;
/// From this percentage on, a region is served in full.
const NEARLY_FULL_PERCENT: u8 = 95;

/// Slots of a region's live model workers, and how many of them these can use
/// given how far they have warmed up (slow start).
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

/// The capacity of a region's workers; none for a region that has no model
/// workers in the list.
pub fn region_capacity(
    configuration: &Configuration,
    workers: &[Worker],
    loads: &Loads,
    region: u8,
) -> Option<Capacity> {
    let mut listed = false;
    let mut total = Capacity::default();
    for worker in workers.iter().filter(|w| w.region == region && !w.leaving) {
        let group = configuration.group(&worker.group);
        let group = group.map(|g| &configuration.groups[g as usize]);
        let Some(group) = group.filter(|g| g.model) else {
            continue;
        };
        listed = true;
        if let Some(load) = loads.of(&worker.name).filter(|l| l.live) {
            let slots = u64::from(load.slots.max(1).min(group.slots));
            let steps = load.finished / u64::from(group.warm.after.max(1));
            let warm = u64::from(group.warm.first) + steps;
            total.slots += slots;
            total.warm += warm.min(slots);
        }
    }
    listed.then_some(total)
}

#[derive(Clone, Copy, Debug, Default)]
struct Liveness {
    down_since: Option<Millis>,
    up_since: Option<Millis>,
}

/// Since when each region is without live workers, or has them again.
#[derive(Clone, Debug, Default)]
pub struct RegionWatch {
    regions: BTreeMap<u8, Liveness>,
}

impl RegionWatch {
    /// The state that is due for a region, if it differs from `current`.
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
            let lost = now.saturating_sub(since) >= LOST_AFTER_MS;
            return (lost && current != Recovery::Lost).then_some(Recovery::Lost);
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
