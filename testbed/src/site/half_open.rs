//! Half-open connections: one end has lost power, and the surviving end has not
//! been notified. The surviving end closes the connection
//!
//! - when a retransmission reaches the restarted machine and its reset arrives;
//! - when data stays unacknowledged for the TCP user time-out, if one is set;
//! - or when nothing has arrived for the product's own idle time-out.

use super::network::{Connection, IDLE_TIMEOUT_MS};
use super::World;
use sorreldoor::types::Millis;

/// The first retransmission after a loss of power; the interval doubles with each
/// further one (RFC 6298).
const FIRST_RETRANSMISSION_MS: Millis = 200;

/// What happens to connections whose machine loses power.
#[derive(Clone, Copy, Debug)]
pub struct HalfOpenFaults {
    /// How often, in percent, no reset reaches the surviving end.
    pub lost_reset_percent: u64,
    /// The TCP user time-out: unacknowledged data of this age closes a connection;
    /// `None` if it is not set.
    pub user_timeout_ms: Option<Millis>,
}

impl Default for HalfOpenFaults {
    fn default() -> HalfOpenFaults {
        HalfOpenFaults {
            lost_reset_percent: 20,
            user_timeout_ms: Some(sorreldoor::net::USER_TIMEOUT.as_millis() as Millis),
        }
    }
}

/// The end of a connection whose other end has lost power.
pub(crate) struct HalfOpen {
    conn: u64,
    connection: Connection,
    /// The index of the surviving endpoint.
    survivor: usize,
    since: Millis,
    reset_lost: bool,
    next_retransmission_at: Millis,
}

impl HalfOpen {
    fn lost_process(&self) -> usize {
        self.connection.endpoints[1 - self.survivor].process
    }
}

impl World {
    /// Cuts the power of a machine: its process dies and its unsynced writes are
    /// lost or torn as in [`World::crash`], but its peers are not notified.
    pub fn power_off(&mut self, process: usize) {
        for conn in self.connections_that(|c| c.ends_at(process)) {
            self.make_half_open(conn, process);
        }
        // half-open connections that survived at this machine end with it
        let is_own = |half: &HalfOpen| half.connection.endpoints[half.survivor].process == process;
        self.half_open.retain(|half| !is_own(half));
        self.crash(process);
    }

    /// Closes the connections that `dialler` made to `listener` at the listener
    /// only, as if the last packet to the dialler was lost.
    pub fn close_at_far_end(&mut self, dialler: usize, listener: usize) {
        let is_dialled = |c: &Connection| {
            c.endpoints[0].process == dialler && c.endpoints[1].process == listener
        };
        for conn in self.connections_that(is_dialled) {
            let incarnation = self.connections[&conn].endpoints[1].incarnation;
            self.notify_closed(conn, listener, incarnation, 0);
            self.make_half_open(conn, listener);
        }
    }

    fn make_half_open(&mut self, conn: u64, lost: usize) {
        let Some(connection) = self.connections.remove(&conn) else {
            return;
        };
        let survivor = usize::from(connection.endpoints[0].process == lost);
        let reset_lost = self.rng.chance(self.half_open_faults.lost_reset_percent);
        self.half_open.push(HalfOpen {
            conn,
            connection,
            survivor,
            since: self.now,
            reset_lost,
            next_retransmission_at: self.now + FIRST_RETRANSMISSION_MS,
        });
    }

    /// Closes the half-open connections that the surviving end detects as dead.
    pub(super) fn poll_half_open(&mut self) {
        for mut half in std::mem::take(&mut self.half_open) {
            if self.is_detected(&mut half) {
                self.end_half_open(half);
            } else {
                self.half_open.push(half);
            }
        }
    }

    fn is_detected(&self, half: &mut HalfOpen) -> bool {
        let end = &half.connection.endpoints[half.survivor];
        if self.processes[end.process].frozen_until > self.now {
            return false;
        }
        let unacknowledged = self.now.saturating_sub(half.since);
        let user_timeout = self.half_open_faults.user_timeout_ms;
        let timed_out = user_timeout.is_some_and(|limit| unacknowledged >= limit);
        let idle = self.now.saturating_sub(end.last_received_at) > IDLE_TIMEOUT_MS;
        timed_out || idle || self.is_reset(half)
    }

    /// Whether a retransmission is due and reaches the restarted machine, and its
    /// reset arrives.
    fn is_reset(&self, half: &mut HalfOpen) -> bool {
        if self.now < half.next_retransmission_at {
            return false;
        }
        let waited = half.next_retransmission_at - half.since;
        half.next_retransmission_at += waited.max(FIRST_RETRANSMISSION_MS);
        self.processes[half.lost_process()].up && !half.reset_lost
    }

    /// Closes a half-open connection at the request of its surviving end.
    pub(super) fn close_half_open(&mut self, conn: u64) {
        let position = self.half_open.iter().position(|half| half.conn == conn);
        if let Some(position) = position {
            let half = self.half_open.remove(position);
            self.end_half_open(half);
        }
    }

    fn end_half_open(&mut self, half: HalfOpen) {
        let end = &half.connection.endpoints[half.survivor];
        let (process, incarnation) = (end.process, end.incarnation);
        self.notify_closed(half.conn, process, incarnation, 0);
        // only a survivor that had dialled the connection dials again
        self.redial_after(&half.connection, 0);
    }
}
