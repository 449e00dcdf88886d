//! The reducer of a core node. [`Controller`] routes each event to the part that
//! owns the state concerned and converts the part's results into effects. The
//! parts are the sibling modules of `controller`; none of them depends on it.

mod bootstrap;
mod changes;
mod consensus;
mod core_search;
mod edges;
mod frames;
mod idempotency_keys;
mod membership;
mod metrics;
mod quotas;
mod reads;
mod singleton;
mod start;
mod status;
mod workers;

use self::changes::Evacuation;
use super::bootstrap::{Bootstrap, PeerAddresses};
use super::connections::{Connections, REACHABLE_TIMEOUT_MS};
use super::distribution::Distribution;
use super::events::{ControllerEffect, ControllerEvent, Requester};
use super::idempotency::{self, Idempotency};
use super::load_table::LoadTable;
use super::membership::Membership;
use super::proposals::{IdSequence, Proposals};
use super::reads::{Read, Reads};
use super::sessions::{EndpointList, Sessions};
use super::singleton::SingletonRole;
use super::worker_list::WorkerListCache;
use super::zone_history::ZoneHistory;
use crate::configuration::Site;
use crate::consensus::{Consensus, Event, Timing};
use crate::core_search::CoreSearch;
use crate::discovery::Loads;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::pacing::Pacing;
use crate::quota::UsageTracker;
use crate::replicated_state::ReplicatedState;
use crate::runtime::{Now, Reducer};
use crate::types::{Millis, NodeId};
use crate::wire::{EdgeSession, Hello, Payload};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Interval of periodic work that need not run on every tick.
const SLOW_TICK_MS: Millis = 250;

/// The state of a core node: its consensus replica and the parts around it.
/// Only [`Reducer::step`] changes it.
pub struct Controller {
    pub(super) own_hello: Hello,
    pub(super) site: Arc<Site>,
    pub(super) pacing: Pacing,
    pub(super) timing: Timing,
    pub(super) seed: u64,
    /// `None` until this core has bootstrapped or joined a site.
    pub(super) consensus: Option<Consensus<ReplicatedState>>,
    bootstrap: Bootstrap,
    peer_addresses: PeerAddresses,
    search: CoreSearch,
    /// When this core last had a leader, or as a joining core a founded core.
    in_contact_at: Millis,
    pub(super) connections: Connections,
    idempotency: Idempotency,
    membership: Membership,
    sessions: Sessions,
    distribution: Distribution,
    worker_list: WorkerListCache,
    loads: LoadTable,
    reads: Reads,
    proposals: Proposals,
    zone_history: ZoneHistory,
    ids: IdSequence,
    singleton: SingletonRole,
    usage: UsageTracker,
    /// Revision of the replicated state that the quotas in `usage` are from.
    quota_revision: u64,
    usage_report_at: Millis,
    slow_tick_at: Millis,
    /// The configuration version in the last `ConfigurationApplied` log event.
    logged_version: u64,
    stopping: bool,
    wall_ms: i64,
    pub(super) now: Millis,
    pub(super) effects: Vec<ControllerEffect>,
}

impl Reducer for Controller {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn step(&mut self, event: ControllerEvent, now: Now) -> Vec<ControllerEffect> {
        self.now = self.now.max(now.monotonic_ms);
        self.wall_ms = now.wall;
        self.dispatch(event);
        self.start_confirmation();
        std::mem::take(&mut self.effects)
    }
}

impl Controller {
    /// Whether this process has received the signal to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// This core's replica of the consensus group; `None` until it has
    /// bootstrapped or joined a site.
    #[must_use]
    pub fn consensus(&self) -> Option<&Consensus<ReplicatedState>> {
        self.consensus.as_ref()
    }

    /// The newest list of workers, and the schedule of its reads.
    #[must_use]
    pub fn worker_list(&self) -> &WorkerListCache {
        &self.worker_list
    }

    /// The newest known loads of the workers.
    #[must_use]
    pub fn loads(&self) -> &Arc<Loads> {
        self.loads.loads()
    }

    /// The sessions of all edges, one per edge.
    #[must_use]
    pub fn edge_sessions(&self) -> &[EdgeSession] {
        self.sessions.merged()
    }

    /// The list of edges in the form that is sent to edges.
    #[must_use]
    pub fn endpoints(&self) -> &EndpointList {
        self.sessions.endpoints()
    }

    fn dispatch(&mut self, event: ControllerEvent) {
        match event {
            ControllerEvent::Tick => self.tick(),
            ControllerEvent::Net(event) => self.on_net(event),
            ControllerEvent::Saved(seq) => self.on_saved(seq),
            ControllerEvent::SaveFailed(error) => self.on_save_failed(error),
            ControllerEvent::SaveRecovered => self.on_save_recovered(),
            ControllerEvent::Change {
                request_id,
                proposal_id,
                command,
            } => self.propose_change(Requester::Http { request_id }, proposal_id, command),
            ControllerEvent::Evacuate {
                request_id,
                proposal_id,
                zone,
                evacuated,
                sent_after,
            } => {
                let evacuation = Evacuation { zone, evacuated };
                let requester = Requester::Http { request_id };
                self.propose_evacuation(requester, proposal_id, evacuation, sent_after);
            }
            ControllerEvent::RemoveCore {
                request_id,
                proposal_id,
                core,
            } => self.remove_core(request_id, proposal_id, core),
            ControllerEvent::ReadStatus { request_id } => {
                self.request_read(Read::Status { request_id })
            }
            ControllerEvent::ReadView { request_id } => {
                self.request_read(Read::View { request_id })
            }
            ControllerEvent::ReadOutcome {
                request_id,
                proposal_id,
            } => {
                let requester = Requester::Http { request_id };
                self.request_read(Read::Outcome {
                    requester,
                    proposal_id,
                });
            }
            ControllerEvent::WorkerListRead(result) => self.on_worker_list(result),
            ControllerEvent::LoadsPolled { epoch, loads } => self.on_loads_polled(epoch, loads),
            ControllerEvent::SeedsRead(seeds) => self.on_seeds(seeds),
            ControllerEvent::Stop => self.stop(),
        }
    }

    fn on_saved(&mut self, seq: u64) {
        self.step_consensus(Event::Saved { seq });
        self.idempotency_event(idempotency::Event::Synced { seq });
    }

    fn on_save_failed(&mut self, error: String) {
        self.log_event(LogEvent::DiskFailed, error);
        self.step_consensus(Event::SaveFailed);
    }

    fn on_save_recovered(&mut self) {
        self.log_event(LogEvent::DiskRecovered, "participating again");
        self.step_consensus(Event::SaveRecovered);
    }

    pub(super) fn log_event(&mut self, event: LogEvent, details: impl Into<String>) {
        self.effects
            .push(ControllerEffect::Log(event, details.into()));
    }

    pub(super) fn send(&mut self, conn: Conn, payload: Payload) {
        self.connections.sent(conn, self.now);
        self.effects.push(ControllerEffect::Send(conn, payload));
    }

    /// One connection to each core that receives broadcasts.
    fn reachable_cores(&self) -> Vec<Conn> {
        let cores = self.live_cores(REACHABLE_TIMEOUT_MS).into_values();
        cores.map(|(conn, _)| conn).collect()
    }

    /// Cores that sent a frame within the last `max_silence_ms`, by id, each with
    /// a connection to send on.
    pub(super) fn live_cores(&self, max_silence_ms: Millis) -> BTreeMap<NodeId, (Conn, Hello)> {
        self.connections
            .cores_since(self.now.saturating_sub(max_silence_ms))
    }

    fn tick(&mut self) {
        self.step_consensus(Event::Tick);
        self.check_membership();
        self.expire_reads();
        self.flush_sessions();
        self.tick_quotas();
        if self.now >= self.slow_tick_at {
            self.slow_tick_at = self.now + SLOW_TICK_MS;
            self.slow_tick();
        }
    }

    fn slow_tick(&mut self) {
        match &self.consensus {
            None => self.tick_bootstrap(),
            Some(consensus) if consensus.members().is_empty() => {
                self.query_founded_core();
            }
            Some(_) => self.tick_singleton(),
        }
        self.tick_core_search();
        self.read_first_worker_list();
        self.tick_sessions();
        self.tick_idempotency();
        self.send_heartbeats();
    }

    fn send_heartbeats(&mut self) {
        let interval = self.pacing.ping_ms;
        for conn in self.connections.heartbeats_due(interval, self.now) {
            self.send(conn, Payload::Ping { no: 0 });
        }
    }
}
