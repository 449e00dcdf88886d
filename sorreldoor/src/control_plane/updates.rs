//! Updates of the replicated state for edges: encoded once for all edges with the
//! same base revision, with flow control for large updates.

use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::replicated_state::ReplicatedState;
use crate::types::Millis;
use crate::wire::{EncodedUpdate, LARGE_UPDATE_BYTES};
use std::collections::BTreeMap;

/// Maximum bytes of large updates in flight from one core: a third of a second on
/// a link of 100 Mbit/s.
pub const MAX_IN_FLIGHT: usize = 4 << 20;
/// A large update that is not acknowledged within this time is no longer in
/// flight, and is sent again.
const TRANSFER_TIMEOUT_MS: Millis = 3000;
/// Number of cached updates above which the cache is cleared.
const MAX_ENCODED: usize = 64;

/// A large update in flight.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    revision: u64,
    bytes: usize,
    since: Millis,
}

/// What an edge should be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum NextUpdate {
    /// Nothing: it has the newest revision.
    UpToDate,
    /// Send this update.
    Send(EncodedUpdate),
    /// Nothing for now, although there is a newer revision: too much is in flight, or
    /// the edge has not acknowledged the previous update. It should ask again.
    Withheld,
}

/// The cache of encoded updates, and the large updates in flight.
#[derive(Default)]
pub struct Updates {
    /// The revision that the cached updates lead to.
    revision: u64,
    /// Encoded updates by base revision.
    encoded: BTreeMap<u64, EncodedUpdate>,
    /// Large updates in flight, at most one per connection.
    transfers: BTreeMap<Conn, Transfer>,
}

impl Updates {
    /// The update that an edge with revision `known` should be sent now.
    pub fn next(
        &mut self,
        state: &ReplicatedState,
        conn: Conn,
        known: u64,
        now: Millis,
    ) -> NextUpdate {
        let acknowledged = |t: &Transfer| known >= t.revision;
        if self.transfers.get(&conn).is_some_and(acknowledged) {
            self.transfers.remove(&conn);
        }
        if state.revision() <= known {
            return NextUpdate::UpToDate;
        }
        self.transfers
            .retain(|_, t| now.saturating_sub(t.since) < TRANSFER_TIMEOUT_MS);
        if self.transfers.contains_key(&conn) {
            return NextUpdate::Withheld;
        }
        let update = self.encoded(state, known);
        let bytes = update.bytes.len();
        if bytes > LARGE_UPDATE_BYTES && !is_disabled(Invariant::LargeUpdatesBounded) {
            if !self.has_capacity(bytes) {
                return NextUpdate::Withheld;
            }
            let transfer = Transfer {
                revision: update.revision,
                bytes,
                since: now,
            };
            self.transfers.insert(conn, transfer);
        }
        NextUpdate::Send(update)
    }

    /// Forgets a connection that has closed, and what was in flight on it.
    pub fn closed(&mut self, conn: Conn) {
        self.transfers.remove(&conn);
    }

    /// Bytes of large updates in flight.
    pub fn in_flight(&self) -> usize {
        self.transfers.values().map(|t| t.bytes).sum()
    }

    fn has_capacity(&self, bytes: usize) -> bool {
        let in_flight = self.in_flight();
        in_flight == 0 || in_flight + bytes <= MAX_IN_FLIGHT
    }

    fn encoded(&mut self, state: &ReplicatedState, base: u64) -> EncodedUpdate {
        if self.revision != state.revision() || self.encoded.len() > MAX_ENCODED {
            self.encoded.clear();
            self.revision = state.revision();
        }
        let encode = || EncodedUpdate::new(&state.delta_since(base));
        self.encoded.entry(base).or_insert_with(encode).clone()
    }
}
