//! An edge's lease, and the renewals in flight that extend it.

use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::types::Millis;

/// Renewals that are remembered until they are answered, at most.
const MOST_SENT: usize = 64;

/// A renewal that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Renewal {
    pub no: u64,
    pub conn: Conn,
    pub sent_at: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub length: Millis,
    pub until: Millis,
    last_no: u64,
    sent: Vec<Renewal>,
}

impl Lease {
    pub fn new(length: Millis) -> Lease {
        Lease {
            length,
            until: 0,
            last_no: 0,
            sent: Vec::new(),
        }
    }

    pub fn holds(&self, now: Millis) -> bool {
        now < self.until || is_disabled(Invariant::Lease)
    }

    pub fn left(&self, now: Millis) -> Millis {
        self.until.saturating_sub(now)
    }

    pub fn last_no(&self) -> u64 {
        self.last_no
    }

    /// Records a renewal as sent, and returns its number.
    pub fn ask(&mut self, conn: Conn, now: Millis) -> u64 {
        self.last_no += 1;
        self.sent.push(Renewal {
            no: self.last_no,
            conn,
            sent_at: now,
        });
        if self.sent.len() > MOST_SENT {
            self.sent.remove(0);
        }
        self.last_no
    }

    pub fn find(&self, no: u64) -> Option<Renewal> {
        self.sent.iter().find(|r| r.no == no).copied()
    }

    /// Removes a renewal and the earlier ones on its connection.
    pub fn answered(&mut self, renewal: Renewal) {
        self.sent
            .retain(|r| r.conn != renewal.conn || r.no > renewal.no);
    }

    /// Extends the lease; it counts from when the renewal was sent.
    pub fn extend(&mut self, sent_at: Millis) {
        self.until = self.until.max(sent_at + self.length);
    }

    /// Ends the lease, and ignores grants of renewals sent before.
    pub fn void(&mut self) {
        self.until = 0;
        self.sent.clear();
    }
}
