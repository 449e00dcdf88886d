//! The newest known loads of the workers, polled by this core or by another
//! holder of the singleton role.

use crate::discovery::{Load, Loads};
use std::sync::Arc;

/// A worker that has stopped or resumed answering load polls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LivenessChange {
    pub worker: String,
    pub live: bool,
}

/// The newest loads.
#[derive(Debug, Default)]
pub(super) struct LoadTable {
    loads: Arc<Loads>,
}

impl LoadTable {
    pub fn loads(&self) -> &Arc<Loads> {
        &self.loads
    }

    /// Applies loads that another core has polled, if they are newer. Loads from
    /// before `epoch` are dropped: their poller has lost the role since.
    pub fn adopt(&mut self, loads: Arc<Loads>, epoch: u64) {
        if loads.epoch >= epoch && loads.epoch_and_version() > self.loads.epoch_and_version() {
            self.loads = loads;
        }
    }

    /// Applies the result of this core's own poll under `epoch`; returns the workers
    /// whose liveness has changed.
    pub fn record_poll(&mut self, epoch: u64, rows: Vec<Load>) -> Vec<LivenessChange> {
        let changes = rows.iter().filter_map(|row| self.liveness_change(row));
        let changes = changes.collect();
        let version = self.loads.version + 1;
        self.loads = Arc::new(Loads {
            epoch,
            version,
            rows,
        });
        changes
    }

    /// The change of one worker's liveness, if any. A worker that answers its first
    /// poll is not a change.
    fn liveness_change(&self, row: &Load) -> Option<LivenessChange> {
        let was_live = self.loads.of(&row.name).map(|old| old.live);
        let changed = was_live != Some(row.live) && !(row.live && was_live.is_none());
        changed.then(|| LivenessChange {
            worker: row.name.clone(),
            live: row.live,
        })
    }
}
