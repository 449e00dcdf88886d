//! Catch-up of a core that has lost its claims: it reads the claim table of every
//! peer page by page, and does not vote until it has read enough tables to know
//! every claim that it may have granted before.

use super::claim_table::MAX_RETENTION_MS;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use std::collections::BTreeMap;

/// Interval of reads of the peers' tables by a core that is caught up.
const ANTI_ENTROPY_INTERVAL_MS: Millis = 2000;

/// A voter from which a frame arrived recently.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// Its identity.
    pub id: NodeId,
    /// Number that differs at every start of its process.
    pub incarnation: u64,
    /// The connection to it.
    pub conn: Conn,
}

/// Read position in the table of one incarnation of a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    incarnation: u64,
    next_offset: u64,
    reached_end: bool,
}

/// The next step in reading the peers' tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadStep {
    /// The next read is not due yet.
    Wait,
    /// Read the tables now.
    Read,
    /// Every claim from before this core's start has expired, so it is caught up
    /// without reading.
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

    pub(super) fn next_step(&mut self, now: Millis) -> ReadStep {
        if !self.is_due(now) {
            return ReadStep::Wait;
        }
        // cores that are caught up keep reading, at an interval, so that claims
        // which one of them missed reach it before another core is lost
        let interval = if self.caught_up {
            ANTI_ENTROPY_INTERVAL_MS
        } else {
            0
        };
        self.next_read_at = now + interval;
        let started_at = *self.started_at.get_or_insert(now);
        if !self.caught_up && now.saturating_sub(started_at) > MAX_RETENTION_MS {
            return ReadStep::Expired;
        }
        ReadStep::Read
    }

    /// Offset at which the next page of this peer's table starts.
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

    /// Moves the cursor past a page; false if the page does not start at the cursor
    /// or is of another incarnation.
    pub(super) fn advance(&mut self, peer: &Peer, start: u64, next: u64, last: bool) -> bool {
        let cursor = self.cursors.entry(peer.id).or_default();
        if cursor.incarnation != peer.incarnation || cursor.next_offset != start {
            return false;
        }
        cursor.next_offset = next;
        cursor.reached_end = last;
        true
    }

    /// Whether enough voters' tables were read to the end that every claim with a
    /// quorum is in one of them: any majority of `cores` cores overlaps with any
    /// `cores - cores / 2` of them.
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
