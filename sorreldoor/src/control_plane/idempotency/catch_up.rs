//! How a core without state catches up on the claims: it reads the claim table
//! of every peer page by page, and takes no part in votes until it has read
//! enough tables to know every claim that it may have granted before.

use super::claim_table::MAX_RETENTION_MS;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use std::collections::BTreeMap;

/// Milliseconds between two reads of a peer's table by a core that is caught up.
const ANTI_ENTROPY_INTERVAL_MS: Millis = 2000;

/// A voter from which a frame arrived recently.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// Its identity.
    pub id: NodeId,
    /// Differs at every start of its process.
    pub incarnation: u64,
    /// The connection to it.
    pub conn: Conn,
}

/// How far the table of one incarnation of a peer was read.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    incarnation: u64,
    next_offset: u64,
    reached_end: bool,
}

/// What a core that may read its peers' tables now should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pace {
    /// It has read them a short while ago.
    Wait,
    /// Read them.
    Read,
    /// All that was claimed before this core started has expired: it is caught
    /// up without reading.
    Expired,
}

/// Progress of one core in reading its peers' claim tables.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    caught_up: bool,
    cursors: BTreeMap<NodeId, Cursor>,
    next_read_at: Millis,
    started_at: Option<Millis>,
}

impl CatchUp {
    pub(super) fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Marks this core as caught up; returns whether it was not before.
    pub(super) fn finish(&mut self) -> bool {
        !std::mem::replace(&mut self.caught_up, true)
    }

    pub(super) fn is_due(&self, now: Millis) -> bool {
        now >= self.next_read_at
    }

    pub(super) fn pace(&mut self, now: Millis) -> Pace {
        if !self.is_due(now) {
            return Pace::Wait;
        }
        // cores that are caught up go on reading, slowly, so that what one of
        // them missed while partitioned is on all before the next one is lost
        let interval = if self.caught_up {
            ANTI_ENTROPY_INTERVAL_MS
        } else {
            0
        };
        self.next_read_at = now + interval;
        let started_at = *self.started_at.get_or_insert(now);
        if !self.caught_up && now.saturating_sub(started_at) > MAX_RETENTION_MS {
            return Pace::Expired;
        }
        Pace::Read
    }

    /// Offset from which to read on in the table of this peer.
    pub(super) fn next_offset(&mut self, peer: &Peer) -> u64 {
        let cursor = self.cursors.entry(peer.id).or_default();
        if cursor.incarnation != peer.incarnation {
            *cursor = Cursor {
                incarnation: peer.incarnation,
                ..Cursor::default()
            };
        }
        cursor.next_offset
    }

    /// Moves the cursor past a page; returns false for a page that is stale.
    pub(super) fn advance(&mut self, peer: &Peer, start: u64, next: u64, last: bool) -> bool {
        let cursor = self.cursors.entry(peer.id).or_default();
        if cursor.incarnation != peer.incarnation || cursor.next_offset != start {
            return false;
        }
        cursor.next_offset = next;
        cursor.reached_end = last;
        true
    }

    /// Whether so many tables of voters were read to the end that every claim
    /// with a quorum is in one of them: any majority of `cores` cores overlaps
    /// with any `cores - cores / 2` of them.
    pub(super) fn has_read_enough(&self, voters: &[NodeId], founding_cores: usize) -> bool {
        let complete = self
            .cursors
            .iter()
            .filter(|(id, cursor)| cursor.reached_end && voters.contains(id))
            .count();
        let cores = founding_cores.max(voters.len());
        complete >= cores - cores / 2
    }
}
