//! Updates of the record as edges are sent them: encoded once for all who lack
//! the same, and never more large ones on their way than links take.

use crate::invariants::{broken, Invariant};
use crate::net::Conn;
use crate::replicated_state::ReplicatedState;
use crate::types::Millis;
use crate::wire::{EncodedUpdate, LARGE_UPDATE};
use std::collections::BTreeMap;

/// Bytes of large updates on their way from one core, at most: what a link of
/// 100 Mbit/s carries in a third of a second.
pub const MAX_IN_FLIGHT: usize = 4 << 20;
/// A large update that was not taken within this is thought lost.
const LOST_MS: Millis = 3000;
/// Revisions that updates are kept encoded from, at most.
const MAX_ENCODED: usize = 64;

/// A large update on its way.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    revision: u64,
    bytes: usize,
    since: Millis,
}

/// What is to be sent to an edge.
#[derive(Clone, Debug, PartialEq)]
pub enum Due {
    /// It has the newest.
    Nothing,
    Update(EncodedUpdate),
    /// It lacks something and is to ask again: the link is full, or it has not
    /// yet taken what was sent before.
    Later,
}

/// Updates encoded and under way.
#[derive(Default)]
pub struct Updates {
    /// Updates to this revision, by where they lead from.
    revision: u64,
    encoded: BTreeMap<u64, EncodedUpdate>,
    transfers: BTreeMap<Conn, Transfer>,
}

impl Updates {
    /// What an edge that has revision `have` is to be sent now.
    pub fn due(&mut self, record: &ReplicatedState, conn: Conn, have: u64, now: Millis) -> Due {
        let taken = |t: &Transfer| have >= t.revision;
        if self.transfers.get(&conn).is_some_and(taken) {
            self.transfers.remove(&conn);
        }
        if record.revision() <= have {
            return Due::Nothing;
        }
        self.transfers
            .retain(|_, t| now.saturating_sub(t.since) < LOST_MS);
        if self.transfers.contains_key(&conn) {
            return Due::Later;
        }
        let update = self.encoded(record, have);
        let bytes = update.bytes.len();
        if bytes > LARGE_UPDATE && !broken(Invariant::CopiesBounded) {
            if !self.fits(bytes) {
                return Due::Later;
            }
            let transfer = Transfer {
                revision: update.revision,
                bytes,
                since: now,
            };
            self.transfers.insert(conn, transfer);
        }
        Due::Update(update)
    }

    /// The connection is no more.
    pub fn closed(&mut self, conn: Conn) {
        self.transfers.remove(&conn);
    }

    /// Bytes of large updates that were sent and are not known to be taken.
    pub fn in_flight(&self) -> usize {
        self.transfers.values().map(|t| t.bytes).sum()
    }

    fn fits(&self, bytes: usize) -> bool {
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
