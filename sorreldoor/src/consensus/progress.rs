//! Progress of a replica, as tracked by a leader.

use super::messages::ContentHeader;
use super::transfer_state::OutgoingTransfer;
use crate::types::Millis;
use std::collections::VecDeque;

/// An append in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAppend {
    last_index: u64,
    bytes: usize,
}

/// Replication state of one replica in the current term, kept by the Global Leader
/// or by the replica's Domain Leader.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// Highest index that the replica has synced and that matches the leader's log.
    pub matched: u64,
    pub next_index: u64,
    /// Index of `prev` in the last append sent.
    pub probe_index: u64,
    /// The newest heartbeat round that the replica has echoed.
    pub round: u64,
    pub last_contact_at: Millis,
    pub sent_at: Millis,
    in_flight: VecDeque<InFlightAppend>,
    /// A snapshot or a large entry that is being sent in chunks.
    pub transfer: Option<OutgoingTransfer>,
}

impl Progress {
    /// Progress of a replica that is assumed to need the entries from `next_index` on.
    pub fn starting_at(next_index: u64) -> Progress {
        Progress {
            next_index,
            ..Progress::default()
        }
    }

    /// As `starting_at`, with `now` as the time of the last contact.
    pub fn active_from(next_index: u64, now: Millis) -> Progress {
        Progress {
            last_contact_at: now,
            ..Progress::starting_at(next_index)
        }
    }

    /// The replica has the log up to `index`.
    pub fn acknowledge(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next_index = self.next_index.max(self.matched + 1);
        let matched = self.matched;
        while self
            .in_flight
            .front()
            .is_some_and(|append| append.last_index <= matched)
        {
            self.in_flight.pop_front();
        }
        let arrived = |t: &OutgoingTransfer| t.header().last().index <= matched;
        if self.transfer.as_ref().is_some_and(arrived) {
            self.transfer = None;
        }
    }

    /// An append was rejected: the replica's log ends, or conflicts, after
    /// index `hint`.
    pub fn decrease_next_index(&mut self, hint: u64) {
        self.next_index = hint.max(self.matched) + 1;
        self.in_flight.clear();
        let is_entry = |t: &OutgoingTransfer| matches!(t.header(), ContentHeader::Entry { .. });
        if self.transfer.as_ref().is_some_and(is_entry) {
            self.transfer = None;
        }
    }

    /// Entries up to `last_index` were sent.
    pub fn record_append(&mut self, last_index: u64, bytes: usize) {
        self.in_flight
            .push_back(InFlightAppend { last_index, bytes });
    }

    /// Bytes of entries in flight.
    pub fn bytes_in_flight(&self) -> usize {
        self.in_flight.iter().map(|append| append.bytes).sum()
    }
}
