//! An edge's lease, and the renewals in flight that extend it.

use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::types::Millis;

/// How many unanswered renewals are remembered; the oldest is dropped first.
const MAX_IN_FLIGHT: usize = 64;

/// A renewal that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Renewal {
    pub number: u64,
    pub conn: Conn,
    pub sent_at: Millis,
}

/// The lease, and the renewals that may still extend it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub length_ms: Millis,
    pub expires_at: Millis,
    /// Until when it is valid by renewals that a core has confirmed.
    confirmed_until: Millis,
    last_number: u64,
    in_flight: Vec<Renewal>,
}

impl Lease {
    pub fn new(length_ms: Millis) -> Lease {
        Lease {
            length_ms,
            expires_at: 0,
            confirmed_until: 0,
            last_number: 0,
            in_flight: Vec::new(),
        }
    }

    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires_at || is_disabled(Invariant::Lease)
    }

    pub fn is_confirmed(&self, now: Millis) -> bool {
        now < self.confirmed_until
    }

    pub fn remaining_ms(&self, now: Millis) -> Millis {
        self.expires_at.saturating_sub(now)
    }

    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Records a renewal as sent, and returns its number.
    pub fn record_sent(&mut self, conn: Conn, now: Millis) -> u64 {
        self.last_number += 1;
        self.in_flight.push(Renewal {
            number: self.last_number,
            conn,
            sent_at: now,
        });
        if self.in_flight.len() > MAX_IN_FLIGHT {
            self.in_flight.remove(0);
        }
        self.last_number
    }

    pub fn find(&self, number: u64) -> Option<Renewal> {
        self.in_flight.iter().find(|r| r.number == number).copied()
    }

    /// Removes an answered renewal and the earlier ones on its connection.
    pub fn remove_answered(&mut self, renewal: Renewal) {
        self.in_flight
            .retain(|r| r.conn != renewal.conn || r.number > renewal.number);
    }

    /// Extends the lease from the time at which its renewal was sent.
    pub fn extend(&mut self, sent_at: Millis) {
        self.expires_at = self.expires_at.max(sent_at + self.length_ms);
    }

    /// As [`Lease::extend`], for a renewal that a core has confirmed.
    pub fn extend_confirmed(&mut self, sent_at: Millis) {
        self.extend(sent_at);
        self.confirmed_until = self.confirmed_until.max(sent_at + self.length_ms);
    }

    /// Ends the lease; grants of renewals sent before no longer extend it.
    pub fn void(&mut self) {
        self.expires_at = 0;
        self.confirmed_until = 0;
        self.in_flight.clear();
    }
}
