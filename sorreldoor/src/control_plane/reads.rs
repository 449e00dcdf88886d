//! Linearizable reads of this core's state (the ReadIndex scheme of section 6.4
//! of Ongaro's thesis). A read is answered as confirmed once a quorum has confirmed
//! the leader after the read was requested, or else as not confirmed when it times
//! out.

use super::events::Requester;
use crate::net::Conn;
use crate::types::{Millis, ProposalId};
use crate::wire::KnownVersions;
use std::collections::BTreeMap;

/// Maximum number of leadership confirmations in flight.
const MAX_IN_FLIGHT: usize = 4;

/// What is read once this core's state is confirmed current.
#[derive(Clone, Debug)]
pub(super) enum Read {
    /// The status document and the replicated state, for a local HTTP request.
    Status { request_id: u64 },
    /// The replicated state alone, for a local HTTP request.
    View { request_id: u64 },
    /// The outcome of a proposal.
    Outcome {
        requester: Requester,
        proposal_id: ProposalId,
    },
    /// An edge's lease renewal.
    Renewal {
        conn: Conn,
        renewal: u64,
        known: KnownVersions,
    },
}

#[derive(Clone, Debug)]
struct PendingRead {
    read: Read,
    since: Millis,
}

/// The reads that are not answered yet.
#[derive(Debug, Default)]
pub(super) struct Reads {
    /// Reads that no confirmation has been started for.
    queued: Vec<PendingRead>,
    /// Reads by the request id of the confirmation that they wait for.
    in_flight: BTreeMap<u64, Vec<PendingRead>>,
    has_quorum: bool,
    ever_confirmed: bool,
}

impl Reads {
    /// Whether the last confirmation that ended succeeded.
    pub fn has_quorum(&self) -> bool {
        self.has_quorum
    }

    /// Whether any confirmation has succeeded since this core started.
    pub fn ever_confirmed(&self) -> bool {
        self.ever_confirmed
    }

    /// Queues a read for the next confirmation.
    pub fn queue(&mut self, read: Read, now: Millis) {
        self.queued.push(PendingRead { read, since: now });
    }

    /// Whether a new confirmation should be started.
    pub fn confirmation_due(&self) -> bool {
        !self.queued.is_empty() && self.in_flight.len() < MAX_IN_FLIGHT
    }

    /// Assigns all queued reads to the confirmation `request_id`: it serves every
    /// read that was requested before it started.
    pub fn confirmation_started(&mut self, request_id: u64) {
        let reads = std::mem::take(&mut self.queued);
        self.in_flight.insert(request_id, reads);
    }

    /// Records the result of a confirmation; returns the reads that waited for it.
    pub fn confirmation_ended(&mut self, request_id: u64, confirmed: bool) -> Vec<Read> {
        self.has_quorum = confirmed;
        self.ever_confirmed |= confirmed;
        reads(self.in_flight.remove(&request_id).unwrap_or_default())
    }

    /// Removes and returns all queued reads.
    pub fn take_queued(&mut self) -> Vec<Read> {
        reads(std::mem::take(&mut self.queued))
    }

    /// Removes and returns the reads that were requested at `limit` or before.
    pub fn expire(&mut self, limit: Millis) -> Vec<Read> {
        let in_flight = self.in_flight.values_mut();
        let all = std::iter::once(&mut self.queued).chain(in_flight);
        let expired = all.flat_map(|reads| reads.extract_if(.., |read| read.since <= limit));
        expired.map(|pending| pending.read).collect()
    }
}

fn reads(pending: Vec<PendingRead>) -> Vec<Read> {
    pending.into_iter().map(|pending| pending.read).collect()
}
