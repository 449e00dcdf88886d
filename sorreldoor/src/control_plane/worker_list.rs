//! The list of workers on one core: when to read it, how a list without
//! versions of its own is numbered, and the age of its timers.

use crate::discovery::{Worker, WorkerRegistry};
use crate::types::Millis;
use std::sync::Arc;

/// A read that has not ended within this time counts as lost.
const READ_TIMEOUT_MS: Millis = 5000;
/// The version of a list that was read by a core without the singleton role:
/// below all versions that a holder of the role gives, above no list at all.
const UNNUMBERED_VERSION: u64 = 1;

/// The newest list that a core knows, and the schedule of reads.
#[derive(Clone, Debug)]
pub struct WorkerListCache {
    /// Interval between reads of a list that this core numbers itself; none
    /// where lists have versions of their own.
    interval: Option<Millis>,
    next_read_at: Millis,
    reading_since: Option<Millis>,
    /// Lists numbered by this incarnation, and the epoch of the last of them.
    numbered: u64,
    numbered_epoch: u64,
    current: Option<Arc<WorkerRegistry>>,
    received_at: Millis,
    last_error: Option<String>,
}

impl WorkerListCache {
    /// No list yet; `interval` is given where this core numbers the lists.
    pub fn new(interval: Option<Millis>, now: Millis) -> WorkerListCache {
        WorkerListCache {
            interval,
            next_read_at: now,
            reading_since: None,
            numbered: 0,
            numbered_epoch: 0,
            current: None,
            received_at: now,
            last_error: None,
        }
    }

    /// The newest list, with its timers as they were when it was received.
    pub fn current(&self) -> Option<&Arc<WorkerRegistry>> {
        self.current.as_ref()
    }

    /// The version of the newest list, or 0.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |list| list.version)
    }

    /// The workers of the newest list.
    pub fn workers(&self) -> &[Worker] {
        self.current.as_ref().map_or(&[], |list| &list.workers)
    }

    /// Why the last read failed.
    pub fn last_error(&self) -> Option<&str> {
        self.last_error.as_deref()
    }

    /// The newest list with its timers counted down to `now`.
    pub fn at(&self, now: Millis) -> Option<Arc<WorkerRegistry>> {
        let age = now.saturating_sub(self.received_at);
        let timed = |w: &Worker| w.cold_ms > 0 || w.leaves_ms.is_some();
        self.current.as_ref().map(|list| {
            if list.workers.iter().any(timed) {
                Arc::new(list.aged(age))
            } else {
                list.clone()
            }
        })
    }

    /// Whether a read is due now; if so it counts as begun.
    pub fn begin_read(&mut self, now: Millis) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        let reading = self
            .reading_since
            .is_some_and(|since| now < since + READ_TIMEOUT_MS);
        if now < self.next_read_at || reading {
            return false;
        }
        self.next_read_at = now + interval;
        self.reading_since = Some(now);
        true
    }

    /// A read failed; true if the one before had not.
    pub fn read_failed(&mut self, error: String) -> bool {
        self.reading_since = None;
        self.last_error.replace(error).is_none()
    }

    /// A read returned `list`: what is to be adopted and broadcast, if anything.
    /// `epoch` is that of the singleton role where this core holds it.
    pub fn read_done(
        &mut self,
        list: WorkerRegistry,
        epoch: Option<u64>,
        now: Millis,
    ) -> Option<Arc<WorkerRegistry>> {
        self.last_error = None;
        if self.interval.is_none() {
            return Some(Arc::new(list));
        }
        self.reading_since = None;
        let version = match epoch {
            Some(epoch) => self.next_version(&list, epoch, now)?,
            None if self.current.is_none() => UNNUMBERED_VERSION,
            None => return None,
        };
        let workers = list.workers;
        Some(Arc::new(WorkerRegistry { version, workers }))
    }

    /// The version of a list under the holder's epoch, if it is a new list.
    fn next_version(&mut self, list: &WorkerRegistry, epoch: u64, now: Millis) -> Option<u64> {
        let age = now.saturating_sub(self.received_at);
        let same = self
            .current
            .as_ref()
            .is_some_and(|old| old.same(&list.workers, age));
        // a new holder's first list must be newer than all that an older
        // holder may still broadcast
        if same && self.numbered_epoch == epoch {
            return None;
        }
        self.numbered_epoch = epoch;
        self.numbered += 1;
        Some((epoch << 32) | self.numbered)
    }

    /// Applies a list if it is newer than the current one; true if so.
    pub fn adopt(&mut self, list: Arc<WorkerRegistry>, now: Millis) -> bool {
        let newer = self
            .current
            .as_ref()
            .is_none_or(|old| old.version < list.version);
        if newer {
            self.current = Some(list);
            self.received_at = now;
        }
        newer
    }
}
