//! A disk in virtual time: saves become durable after a while, in order, and
//! a crash loses those that were not.

use sorreldoor::consensus::Save;
use sorreldoor::store::DurableState;
use sorreldoor::types::Millis;
use std::collections::VecDeque;

pub struct Disk {
    pub kept: DurableState,
    pub sync_ms: Millis,
    pub stuck: bool,
    /// Bytes of log and snapshots given to it since it was opened.
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
            kept: DurableState::default(),
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
    /// A process starts on it: its saves are numbered from here.
    pub fn open(&mut self) {
        self.first_seq = self.kept.seq;
    }

    /// Take a save in; when it will be durable.
    pub fn queue(&mut self, seq: u64, save: Save, now: Millis) -> Millis {
        self.saved_bytes += size(&save);
        self.unsynced.push_back((seq, save));
        // what comes during a sync is synced together by the next one
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

    pub fn synced(&mut self, upto: u64) {
        while self.unsynced.front().is_some_and(|(s, _)| *s <= upto) {
            if let Some((s, save)) = self.unsynced.pop_front() {
                self.kept.take(s + self.first_seq, &save);
            }
        }
    }

    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Of what was not durable yet, the first few may have survived.
    pub fn crash(&mut self, survive: usize) {
        let kept: Vec<(u64, Save)> = self.unsynced.drain(..).take(survive).collect();
        for (seq, save) in kept {
            self.kept.take(seq + self.first_seq, &save);
        }
        (self.busy_until, self.next_until) = (0, 0);
    }
}
