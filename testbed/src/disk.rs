//! A simulated disk in virtual time: writes become durable in order after a
//! sync delay, and a crash loses those that were still pending.

use sorreldoor::consensus::Save;
use sorreldoor::store::DurableState;
use sorreldoor::types::Millis;
use std::collections::VecDeque;

/// One core's disk: its durable contents and the writes that are pending.
pub struct Disk {
    /// What a restart reads back.
    pub durable: DurableState,
    /// How long one sync takes.
    pub sync_ms: Millis,
    /// No sync completes while this is set.
    pub stuck: bool,
    /// Bytes of log entries and snapshots written since the disk was created.
    pub saved_bytes: u64,
    unsynced: VecDeque<(u64, Save)>,
    busy_until: Millis,
    next_until: Millis,
    first_seq: u64,
}

fn size(save: &Save) -> u64 {
    const SMALL: usize = 64;
    let bytes = match save {
        Save::Append { entries, .. } => entries.iter().map(|e| e.bytes()).sum(),
        Save::Snapshot { snapshot, .. } => snapshot.image.len(),
        _ => SMALL,
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
    /// Called as a process starts: its writes are numbered from the last
    /// durable one.
    pub fn open(&mut self) {
        self.first_seq = self.durable.seq;
    }

    /// Queues a write and returns the time at which it will be durable.
    pub fn queue(&mut self, seq: u64, save: Save, now: Millis) -> Millis {
        self.saved_bytes += size(&save);
        self.unsynced.push_back((seq, save));
        // writes queued during a sync share the next one
        if now >= self.busy_until {
            let next_runs = now < self.next_until;
            self.busy_until = if next_runs {
                self.next_until
            } else {
                now + self.sync_ms
            };
            if !next_runs {
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
        while self.unsynced.front().is_some_and(|(s, _)| *s <= up_to) {
            if let Some((s, save)) = self.unsynced.pop_front() {
                self.durable.apply_save(s + self.first_seq, &save);
            }
        }
    }

    /// How many writes are not durable yet.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Drops the pending writes except for the first `survive`.
    pub fn crash(&mut self, survive: usize) {
        let survivors: Vec<(u64, Save)> = self.unsynced.drain(..).take(survive).collect();
        for (seq, save) in survivors {
            self.durable.apply_save(seq + self.first_seq, &save);
        }
        (self.busy_until, self.next_until) = (0, 0);
    }
}
