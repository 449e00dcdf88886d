//! How often each zone was evacuated or returned to service, as this core knew it at
//! recent times. An operator's call that arrives or is read late is bound to what was
//! known when it was sent, so that it cannot undo a newer one.

use crate::replicated_state::ZoneIndex;
use crate::types::Millis;
use std::collections::BTreeMap;

/// Age at which a count is dropped once a newer one is as old. The time that a
/// connection may stay idle between two requests is shorter.
const RETENTION_MS: Millis = 120_000;

/// A count of changes, and when this core learned it.
#[derive(Clone, Copy, Debug)]
struct KnownCount {
    since: Millis,
    changes: u64,
}

/// The counts of changes of all zones over the last two minutes.
#[derive(Debug, Default)]
pub(super) struct ZoneHistory {
    /// Oldest first. A zone without an entry has never changed.
    counts: BTreeMap<ZoneIndex, Vec<KnownCount>>,
}

impl ZoneHistory {
    /// Records a count that this core had before it accepted any call.
    pub fn record_at_start(&mut self, zone: ZoneIndex, changes: u64) {
        let known = KnownCount { since: 0, changes };
        self.counts.insert(zone, vec![known]);
    }

    /// Records the count that this core knows now.
    pub fn record(&mut self, zone: ZoneIndex, changes: u64, now: Millis) {
        let never_changed = KnownCount {
            since: 0,
            changes: 0,
        };
        let counts = self.counts.entry(zone).or_insert(vec![never_changed]);
        if counts.last().is_some_and(|last| last.changes == changes) {
            return;
        }
        let since = now;
        counts.push(KnownCount { since, changes });
        let horizon = now.saturating_sub(RETENTION_MS);
        let outdated = counts.iter().rposition(|known| known.since <= horizon);
        counts.drain(..outdated.unwrap_or(0));
    }

    /// The count that this core knew at a time; `None` where it is no longer kept.
    pub fn changes_at(&self, zone: ZoneIndex, time: Millis) -> Option<u64> {
        let Some(counts) = self.counts.get(&zone) else {
            return Some(0);
        };
        let known = counts.iter().rfind(|known| known.since <= time);
        known.map(|known| known.changes)
    }
}
