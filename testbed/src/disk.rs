//! A simulated disk in virtual time: writes become durable in order after a
//! sync delay, and a crash drops those that are still pending.

use sorreldoor::consensus::Save;
use sorreldoor::store::DurableState;
use sorreldoor::types::Millis;
use std::collections::VecDeque;

/// One core's disk: its durable contents and the writes that are pending.
pub struct Disk {
    /// The state that a restart recovers.
    pub durable: DurableState,
    /// Duration of one sync.
    pub sync_ms: Millis,
    /// No sync completes while this is set.
    pub stuck: bool,
    /// Bytes of log entries and snapshots written since the disk was created.
    pub saved_bytes: u64,
    unsynced: VecDeque<(u64, Save)>,
    /// Completion time of the running sync.
    busy_until: Millis,
    /// Completion time of the sync after the running one.
    next_until: Millis,
    /// Sequence number of the last durable save when the process started; added
    /// to the numbers of its own saves.
    first_seq: u64,
}

fn size_bytes(save: &Save) -> u64 {
    const OTHER_SAVE_BYTES: usize = 64;
    let bytes = match save {
        Save::Append { entries, .. } => entries.iter().map(|e| e.bytes()).sum(),
        Save::Snapshot { snapshot, .. } => snapshot.image.len(),
        _ => OTHER_SAVE_BYTES,
    };
    bytes as u64
}

impl Default for Disk {
    fn default() -> Disk {
        Disk {
            durable: DurableState::default(),
            sync_ms: 1,
            stuck: false,
            saved_bytes: 0,
            unsynced: VecDeque::new(),
            busy_until: 0,
            next_until: 0,
            first_seq: 0,
        }
    }
}

impl Disk {
    /// Starts a new process, whose saves are numbered from 1 after the last
    /// durable one.
    pub fn open(&mut self) {
        self.first_seq = self.durable.seq;
    }

    /// Queues a write; returns the time at which it will be durable.
    pub fn queue(&mut self, seq: u64, save: Save, now: Millis) -> Millis {
        self.saved_bytes += size_bytes(&save);
        self.unsynced.push_back((seq, save));
        // writes queued during a sync share the next one
        if now >= self.busy_until {
            let next_running = now < self.next_until;
            self.busy_until = if next_running {
                self.next_until
            } else {
                now + self.sync_ms
            };
            if !next_running {
                return self.busy_until;
            }
        }
        if self.next_until <= self.busy_until {
            self.next_until = self.busy_until + self.sync_ms;
        }
        self.next_until
    }

    /// Makes all writes up to the given sequence number durable.
    pub fn synced(&mut self, up_to: u64) {
        while self.unsynced.front().is_some_and(|(seq, _)| *seq <= up_to) {
            if let Some((seq, save)) = self.unsynced.pop_front() {
                self.durable.apply_save(seq + self.first_seq, &save);
            }
        }
    }

    /// The number of pending writes.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Drops the pending writes, except the first `surviving`, which become
    /// durable.
    pub fn crash(&mut self, surviving: usize) {
        let survivors: Vec<(u64, Save)> = self.unsynced.drain(..).take(surviving).collect();
        for (seq, save) in survivors {
            self.durable.apply_save(seq + self.first_seq, &save);
        }
        (self.busy_until, self.next_until) = (0, 0);
    }
}
