//! Regions lost and returning: what the duty's holder sees of their workers,
//! and the state that the record should have for each.

use crate::configuration::Configuration;
use crate::discovery::{Loads, Worker};
use crate::replicated_state::Recovery;
use crate::types::Millis;
use std::collections::BTreeMap;

/// So long without any live model worker makes a region lost.
const LOST_MS: Millis = 1500;
/// So long after it came back, a region is served in full in any case.
const FULL_MS: Millis = 10_000;
/// A returning region's share rises by at least so many percent at a time, so
/// that each worker's finished request is not a proposal.
const STEP_PERCENT: u8 = 10;
/// From so many percent on, a region is served in full.
const NEARLY_FULL_PERCENT: u8 = 95;

/// The live model workers of a region: their slots, and how many of these they
/// can bear by how warm they are.
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

/// What a region's workers can bear now; none for a region that is meant to
/// have no model workers.
pub fn region_capacity(
    configuration: &Configuration,
    workers: &[Worker],
    loads: &Loads,
    region: u8,
) -> Option<Capacity> {
    let mut listed = false;
    let mut sum = Capacity::default();
    for worker in workers.iter().filter(|w| w.region == region && !w.leaving) {
        let group = configuration.group(&worker.group);
        let group = group.map(|g| &configuration.groups[g as usize]);
        let Some(group) = group.filter(|g| g.model) else {
            continue;
        };
        listed = true;
        if let Some(load) = loads.of(&worker.name).filter(|l| l.live) {
            let slots = u64::from(load.slots.max(1).min(group.slots));
            let finished = load.finished / u64::from(group.warm.after.max(1));
            let warm = u64::from(group.warm.first) + finished;
            sum.slots += slots;
            sum.warm += warm.min(slots);
        }
    }
    listed.then_some(sum)
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    dark_since: Option<Millis>,
    back_since: Option<Millis>,
}

/// What the holder remembers of each region between looks.
#[derive(Clone, Debug, Default)]
pub struct RegionWatch {
    seen: BTreeMap<u8, Seen>,
}

impl RegionWatch {
    /// The state that is due for a region which is in state `is`, if another.
    pub fn next_state(
        &mut self,
        region: u8,
        room: Capacity,
        is: Recovery,
        now: Millis,
    ) -> Option<Recovery> {
        let seen = self.seen.entry(region).or_default();
        if room.slots == 0 {
            seen.back_since = None;
            let since = *seen.dark_since.get_or_insert(now);
            let lost = now.saturating_sub(since) >= LOST_MS;
            return (lost && is != Recovery::Lost).then_some(Recovery::Lost);
        }
        seen.dark_since = None;
        if is == Recovery::Served {
            return None;
        }
        let since = *seen.back_since.get_or_insert(now);
        let percent = room.percent();
        if percent >= NEARLY_FULL_PERCENT || now.saturating_sub(since) >= FULL_MS {
            return Some(Recovery::Served);
        }
        match is {
            Recovery::Returning(was) if percent < was + STEP_PERCENT => None,
            _ => Some(Recovery::Returning(percent)),
        }
    }
}
