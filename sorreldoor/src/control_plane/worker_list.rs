//! The newest list of workers on one core: schedules its reads, numbers lists that
//! come without versions, and counts down their timers.

use crate::discovery::{Worker, WorkerRegistry};
use crate::types::Millis;
use std::sync::Arc;

/// A read that has not ended within this time no longer delays the next one.
const READ_TIMEOUT_MS: Millis = 5000;
/// Version of a list read by a core without the singleton role: lower than any
/// version given by a holder of the role.
const UNNUMBERED_VERSION: u64 = 1;

/// The newest known list and the schedule of its reads.
#[derive(Clone, Debug)]
pub struct WorkerListCache {
    /// Interval of reads where the holder of the singleton role numbers the lists;
    /// `None` where lists have versions of their own and are read elsewhere.
    interval: Option<Millis>,
    next_read_at: Millis,
    reading_since: Option<Millis>,
    /// Number of lists that this incarnation has numbered.
    numbered: u64,
    /// The epoch of the last list that this incarnation has numbered.
    numbered_epoch: u64,
    current: Option<Arc<WorkerRegistry>>,
    received_at: Millis,
    last_error: Option<String>,
}

impl WorkerListCache {
    /// No list; `interval` is `None` where lists have versions of their own.
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

    /// The newest list, with its timers as received.
    pub fn current(&self) -> Option<&Arc<WorkerRegistry>> {
        self.current.as_ref()
    }

    /// The version of the newest list; 0 without a list.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |list| list.version)
    }

    /// The workers of the newest list.
    pub fn workers(&self) -> &[Worker] {
        self.current.as_ref().map_or(&[], |list| &list.workers)
    }

    /// Why the last read failed; `None` if it succeeded.
    pub fn last_error(&self) -> Option<&str> {
        self.last_error.as_deref()
    }

    /// The newest list, with its timers counted down to `now`.
    pub fn at(&self, now: Millis) -> Option<Arc<WorkerRegistry>> {
        let age = now.saturating_sub(self.received_at);
        let has_timer = |w: &Worker| w.cold_ms > 0 || w.leaves_ms.is_some();
        self.current.as_ref().map(|list| {
            if list.workers.iter().any(has_timer) {
                Arc::new(list.aged(age))
            } else {
                list.clone()
            }
        })
    }

    /// Whether a read is due now; if so it is recorded as started.
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

    /// Records a failed read; returns whether the one before had succeeded.
    pub fn read_failed(&mut self, error: String) -> bool {
        self.reading_since = None;
        self.last_error.replace(error).is_none()
    }

    /// Records a successful read; returns the list to adopt and broadcast, with its
    /// version, if it is new. `epoch` is that of the singleton role, `None` where
    /// this core does not hold it.
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

    /// The next version of a list under the holder's epoch; `None` if the list has
    /// not changed.
    fn next_version(&mut self, list: &WorkerRegistry, epoch: u64, now: Millis) -> Option<u64> {
        let age = now.saturating_sub(self.received_at);
        let same = self
            .current
            .as_ref()
            .is_some_and(|old| old.is_unchanged_in(&list.workers, age));
        // a new holder numbers its first list in any case, so that it is newer
        // than any list that an earlier holder may still broadcast
        if same && self.numbered_epoch == epoch {
            return None;
        }
        self.numbered_epoch = epoch;
        self.numbered += 1;
        Some((epoch << 32) | self.numbered)
    }

    /// Applies a list if it is newer than the current one; returns whether it was.
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
