//! Distribution of state to edges: what each lacks, source by source.

use super::sessions::EndpointList;
use super::updates::{NextUpdate, Updates};
use crate::consensus::Member;
use crate::discovery::{Loads, WorkerRegistry};
use crate::invariants::{broken, Invariant};
use crate::net::Conn;
use crate::replicated_state::{encode, ReplicatedState};
use crate::types::Millis;
use crate::wire::{stable_hash, KnownVersions, StateDelta};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The newest state of each source that edges subscribe to.
pub(super) struct Sources<'a> {
    /// None before this core is part of a site.
    pub record: Option<&'a ReplicatedState>,
    pub members: &'a [Member],
    pub registry: Option<Arc<WorkerRegistry>>,
    pub loads: &'a Arc<Loads>,
    pub endpoints: &'a EndpointList,
    /// Edges that subscribe here.
    pub subscribers: usize,
}

/// Bytes of endpoint lists that one core sends per millisecond at most, about:
/// while many edges come and go, the list changes with each of them, and each
/// of them lacks it.
const ENDPOINT_BYTES_PER_MS: usize = 1000;

/// Deltas to edges, and the large ones that are still in flight.
#[derive(Default)]
pub(super) struct Distribution {
    updates: Updates,
    /// When each connection was last sent a list of endpoints.
    endpoints_sent_at: BTreeMap<Conn, Millis>,
}

impl Distribution {
    /// A connection has closed; nothing is in flight on it any more.
    pub fn closed(&mut self, conn: Conn) {
        self.updates.closed(conn);
        self.endpoints_sent_at.remove(&conn);
    }

    /// Whether a connection may be sent a newer list of endpoints now; the first
    /// one always. If so it counts as sent.
    fn begin_endpoints(&mut self, conn: Conn, sources: &Sources, now: Millis) -> bool {
        let bytes = sources.endpoints.encoded_bytes * sources.subscribers;
        let interval = (bytes / ENDPOINT_BYTES_PER_MS) as Millis;
        let sent_at = self.endpoints_sent_at.get(&conn);
        let due = sent_at.is_none_or(|sent_at| now.saturating_sub(*sent_at) >= interval);
        if due || broken(Invariant::EndpointsPaced) {
            self.endpoints_sent_at.insert(conn, now);
            return true;
        }
        false
    }

    /// All that a subscriber with the versions `known` lacks.
    pub fn delta(
        &mut self,
        conn: Conn,
        known: &KnownVersions,
        sources: Sources,
        now: Millis,
    ) -> StateDelta {
        let update = sources.record.map_or(NextUpdate::UpToDate, |record| {
            self.updates.next(record, conn, known.record, now)
        });
        let (record, record_withheld) = match update {
            NextUpdate::UpToDate => (None, false),
            NextUpdate::Send(update) => (Some(update), false),
            NextUpdate::Withheld => (None, true),
        };
        let endpoints = sources.endpoints;
        let endpoints_changed = endpoints.version != known.edge_sessions;
        let sends_endpoints = endpoints_changed && self.begin_endpoints(conn, &sources, now);
        StateDelta {
            cores: cores_delta(sources.members, known.cores),
            record,
            record_withheld,
            registry: sources
                .registry
                .filter(|list| list.version > known.registry),
            loads: Some(sources.loads.clone()).filter(|loads| loads.mark() > known.loads),
            edge_sessions: sends_endpoints
                .then(|| (endpoints.version, endpoints.endpoints.to_vec())),
        }
    }
}

/// Addresses and regions of the voters under a hash of them, unless they are
/// the ones that the subscriber knows.
fn cores_delta(members: &[Member], known: u64) -> Option<(u64, Vec<(String, u8)>)> {
    let voters = members.iter().filter(|member| member.voter);
    let cores: Vec<(String, u8)> = voters
        .map(|member| (member.addr.clone(), member.region))
        .collect();
    let version = stable_hash(&encode(&cores));
    (version != known && !cores.is_empty()).then_some((version, cores))
}
