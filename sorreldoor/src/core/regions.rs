//! Regions lost and returning: what the duty's holder sees of their workers,
//! and the state it proposes for the record.

use super::controller::Controller;
use crate::consensus::Millis;
use crate::record::{Cmd, Recovery};

/// So long without any live model worker makes a region lost.
const LOST_MS: Millis = 1500;
/// So long after it came back, a region is served in full in any case.
const FULL_MS: Millis = 10_000;
const STEP: u8 = 10;

/// What the holder remembers of a region between looks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    dark_since: Option<Millis>,
    back_since: Option<Millis>,
}

impl Controller {
    /// Live model workers of a region: their slots, and how many of those
    /// they can bear by how warm they are.
    fn warmth(&self, region: u8) -> Option<(u64, u64)> {
        let s = self.consensus.as_ref()?.machine().setup()?.clone();
        let r = self.registry.as_ref()?;
        let mut listed = 0;
        let (mut slots, mut cap) = (0, 0);
        for w in r.workers.iter().filter(|w| w.region == region) {
            let Some(g) = s.group(&w.group).map(|g| &s.groups[g as usize]) else {
                continue;
            };
            if !g.model || w.leaving {
                continue;
            }
            listed += 1;
            if let Some(l) = self.loads.of(&w.name).filter(|l| l.live) {
                let n = u64::from(l.slots.max(1).min(g.slots));
                let warm = u64::from(g.warm.first) + l.finished / u64::from(g.warm.after.max(1));
                slots += n;
                cap += warm.min(n);
            }
        }
        // a region that is meant to have no workers is not lost
        (listed > 0).then_some((slots, cap))
    }

    pub(super) fn watch_recovery(&mut self) {
        let Some(epoch) = self.consensus.as_ref().map(|a| a.machine().epoch()) else {
            return;
        };
        if self.loads.epoch != epoch || self.duty_pid.is_some() {
            return;
        }
        for region in 0..self.site.regions.len() as u8 {
            if let Some(state) = self.recovery_due(region) {
                let name = self.site.region_name(region).to_string();
                let text = super::status::recovery_text(state);
                self.say(crate::events::Ev::RegionState, format!("{name}: {text}"));
                return self.propose(Cmd::Region {
                    epoch,
                    region,
                    state,
                });
            }
        }
    }

    fn recovery_due(&mut self, region: u8) -> Option<Recovery> {
        let (slots, cap) = self.warmth(region)?;
        let now = self.now;
        let is = self.consensus.as_ref()?.machine().region(region);
        let w = self.recovery.entry(region).or_default();
        if slots == 0 {
            w.back_since = None;
            let since = *w.dark_since.get_or_insert(now);
            let lost = now.saturating_sub(since) >= LOST_MS;
            return (lost && is != Recovery::Lost).then_some(Recovery::Lost);
        }
        w.dark_since = None;
        if is == Recovery::Served {
            return None;
        }
        let since = *w.back_since.get_or_insert(now);
        let part = (cap * 100 / slots).min(100) as u8;
        // steps, so that each worker's finished errand is not a proposal
        if part >= 95 || now.saturating_sub(since) >= FULL_MS {
            return Some(Recovery::Served);
        }
        match is {
            Recovery::Returning(p) if part < p + STEP => None,
            _ => Some(Recovery::Returning(part)),
        }
    }
}
