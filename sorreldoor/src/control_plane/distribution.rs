//! Distribution of state to edges: computes the delta that an edge lacks of each
//! source, and limits the rate of endpoint lists.

use super::sessions::EndpointList;
use super::updates::{NextUpdate, Updates};
use crate::consensus::Member;
use crate::discovery::{Loads, WorkerRegistry};
use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::replicated_state::{encode, ReplicatedState};
use crate::types::Millis;
use crate::wire::{stable_hash, KnownVersions, StateDelta};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The newest state of each source that edges are sent.
pub(super) struct Sources<'a> {
    /// `None` until this core has bootstrapped or joined a site.
    pub replicated_state: Option<&'a ReplicatedState>,
    pub members: &'a [Member],
    pub registry: Option<Arc<WorkerRegistry>>,
    pub loads: &'a Arc<Loads>,
    pub endpoints: &'a EndpointList,
    /// Number of edges that have a session on this core.
    pub subscriber_count: usize,
}

/// Approximate limit of the bytes of endpoint lists that one core sends per
/// millisecond. While many edges connect or disconnect, the list changes with
/// each of them and has to go to all of them.
const ENDPOINT_BYTES_PER_MS: usize = 1000;

/// The updates in flight to edges, and when each was last sent endpoints.
#[derive(Default)]
pub(super) struct Distribution {
    updates: Updates,
    /// When an endpoint list was last sent on each connection.
    endpoints_sent_at: BTreeMap<Conn, Millis>,
}

impl Distribution {
    /// Forgets a connection that has closed.
    pub fn connection_closed(&mut self, conn: Conn) {
        self.updates.closed(conn);
        self.endpoints_sent_at.remove(&conn);
    }

    /// Whether a newer endpoint list may be sent on a connection now; always true
    /// for its first one. If true, the time of sending is recorded.
    fn begin_endpoints(&mut self, conn: Conn, sources: &Sources, now: Millis) -> bool {
        let bytes = sources.endpoints.encoded_bytes * sources.subscriber_count;
        let interval = (bytes / ENDPOINT_BYTES_PER_MS) as Millis;
        let sent_at = self.endpoints_sent_at.get(&conn);
        let due = sent_at.is_none_or(|sent_at| now.saturating_sub(*sent_at) >= interval);
        if due || is_disabled(Invariant::EndpointListRate) {
            self.endpoints_sent_at.insert(conn, now);
            return true;
        }
        false
    }

    /// The delta from the versions `known` to the newest state, as far as rate and
    /// flow limits allow; the rest follows with a later delta.
    pub fn delta(
        &mut self,
        conn: Conn,
        known: &KnownVersions,
        sources: Sources,
        now: Millis,
    ) -> StateDelta {
        let update = sources
            .replicated_state
            .map_or(NextUpdate::UpToDate, |state| {
                self.updates.next(state, conn, known.record, now)
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
            loads: Some(sources.loads.clone())
                .filter(|loads| loads.epoch_and_version() > known.loads),
            edge_sessions: sends_endpoints
                .then(|| (endpoints.version, endpoints.endpoints.to_vec())),
        }
    }
}

/// The voters' addresses and regions, with their hash as a version; `None` if
/// `known` is that version or there are no voters.
fn cores_delta(members: &[Member], known: u64) -> Option<(u64, Vec<(String, u8)>)> {
    let voters = members.iter().filter(|member| member.voter);
    let cores: Vec<(String, u8)> = voters
        .map(|member| (member.addr.clone(), member.region))
        .collect();
    let version = stable_hash(&encode(&cores));
    (version != known && !cores.is_empty()).then_some((version, cores))
}
