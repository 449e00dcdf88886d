//! Updates of the record for edges: encoded once for all that lack the same
//! revisions, with flow control for large ones.

use crate::invariants::{broken, Invariant};
use crate::net::Conn;
use crate::replicated_state::ReplicatedState;
use crate::types::Millis;
use crate::wire::{EncodedUpdate, LARGE_UPDATE_BYTES};
use std::collections::BTreeMap;

/// Bytes of large updates in flight from one core, at most: what a link of
/// 100 Mbit/s carries in a third of a second.
pub const MAX_IN_FLIGHT: usize = 4 << 20;
/// A large update that was not acknowledged within this time counts as lost.
const TRANSFER_TIMEOUT_MS: Millis = 3000;
/// Base revisions for which an encoded update is cached, at most.
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
    /// It has the newest revision.
    UpToDate,
    /// Send this update.
    Send(EncodedUpdate),
    /// There is a newer revision, but the edge should ask again: too much is in
    /// flight, or it has not acknowledged the previous update.
    Withheld,
}

/// Encoded updates, and the large ones that are in flight.
#[derive(Default)]
pub struct Updates {
    /// The revision that the cached updates lead to.
    revision: u64,
    /// By base revision.
    encoded: BTreeMap<u64, EncodedUpdate>,
    transfers: BTreeMap<Conn, Transfer>,
}

impl Updates {
    /// What an edge that has revision `known` should be sent now.
    pub fn next(
        &mut self,
        record: &ReplicatedState,
        conn: Conn,
        known: u64,
        now: Millis,
    ) -> NextUpdate {
        let acknowledged = |t: &Transfer| known >= t.revision;
        if self.transfers.get(&conn).is_some_and(acknowledged) {
            self.transfers.remove(&conn);
        }
        if record.revision() <= known {
            return NextUpdate::UpToDate;
        }
        self.transfers
            .retain(|_, t| now.saturating_sub(t.since) < TRANSFER_TIMEOUT_MS);
        if self.transfers.contains_key(&conn) {
            return NextUpdate::Withheld;
        }
        let update = self.encoded(record, known);
        let bytes = update.bytes.len();
        if bytes > LARGE_UPDATE_BYTES && !broken(Invariant::CopiesBounded) {
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

    /// A connection has closed; nothing is in flight on it any more.
    pub fn closed(&mut self, conn: Conn) {
        self.transfers.remove(&conn);
    }

    /// Bytes of large updates that were sent and not acknowledged yet.
    pub fn in_flight(&self) -> usize {
        self.transfers.values().map(|t| t.bytes).sum()
    }

    fn has_capacity(&self, bytes: usize) -> bool {
        let in_flight = self.in_flight();
        in_flight == 0 || in_flight + bytes <= MAX_IN_FLIGHT
    }

    fn encoded(&mut self, record: &ReplicatedState, from: u64) -> EncodedUpdate {
        if self.revision != record.revision() || self.encoded.len() > MAX_ENCODED {
            self.encoded.clear();
            self.revision = record.revision();
        }
        let encode = || EncodedUpdate::new(&record.delta_since(from));
        self.encoded.entry(from).or_insert_with(encode).clone()
    }
}
