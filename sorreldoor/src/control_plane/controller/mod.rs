//! The core's reducer. It routes each event to the part that owns the state it
//! concerns and turns what the part returns into effects; see the sibling
//! modules of this folder's parent for the parts.

mod bootstrap;
mod changes;
mod consensus;
mod edges;
mod figures;
mod frames;
mod idempotency_keys;
mod membership;
mod quotas;
mod reads;
mod singleton;
mod start;
mod status;
mod workers;

use super::bootstrap::{Bootstrap, PeerAddresses};
use super::connections::{Connections, REACHABLE_MS};
use super::distribution::Distribution;
use super::events::{ControllerEffect, ControllerEvent, Requester};
use super::idempotency::{self, Idempotency};
use super::load_table::LoadTable;
use super::membership::Membership;
use super::proposals::{IdSequence, Proposals};
use super::reads::{Read, Reads};
use super::sessions::{EndpointList, Sessions};
use super::singleton::SingletonRole;
use super::worker_list::WorkerList;
use crate::configuration::Site;
use crate::consensus::{Consensus, Event, Timing};
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

/// Interval of the work that need not be done at each tick.
const SLOW_TICK_MS: Millis = 250;

/// A core node: consensus, and the parts around it.
pub struct Controller {
    pub(super) me: Hello,
    pub(super) site: Arc<Site>,
    pub(super) pacing: Pacing,
    pub(super) timing: Timing,
    pub(super) seed: u64,
    /// None while this core is part of no site.
    pub(super) consensus: Option<Consensus<ReplicatedState>>,
    bootstrap: Bootstrap,
    peer_addresses: PeerAddresses,
    pub(super) connections: Connections,
    idempotency: Idempotency,
    membership: Membership,
    sessions: Sessions,
    distribution: Distribution,
    worker_list: WorkerList,
    loads: LoadTable,
    reads: Reads,
    proposals: Proposals,
    ids: IdSequence,
    singleton: SingletonRole,
    usage: UsageTracker,
    /// The revision whose quotas `usage` has.
    quota_revision: u64,
    usage_report_at: Millis,
    slow_tick_at: Millis,
    /// The configuration version that was logged last.
    logged_version: u64,
    leaving: bool,
    wall: i64,
    pub(super) now: Millis,
    pub(super) out: Vec<ControllerEffect>,
}

impl Reducer for Controller {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn step(&mut self, event: ControllerEvent, now: Now) -> Vec<ControllerEffect> {
        self.now = self.now.max(now.monotonic_ms);
        self.wall = now.wall;
        self.route(event);
        self.start_proof();
        std::mem::take(&mut self.out)
    }
}

impl Controller {
    /// Whether this process was told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The consensus group's state here; none while this core is part of no
    /// site.
    #[must_use]
    pub fn consensus(&self) -> Option<&Consensus<ReplicatedState>> {
        self.consensus.as_ref()
    }

    /// The newest list of workers.
    #[must_use]
    pub fn worker_list(&self) -> &WorkerList {
        &self.worker_list
    }

    /// The newest loads of the workers.
    #[must_use]
    pub fn loads(&self) -> &Arc<Loads> {
        self.loads.loads()
    }

    /// The sessions of all edges, one for each edge.
    #[must_use]
    pub fn edge_sessions(&self) -> &[EdgeSession] {
        self.sessions.merged()
    }

    /// The edges as other edges are shown them.
    #[must_use]
    pub fn endpoints(&self) -> &EndpointList {
        self.sessions.endpoints()
    }

    fn route(&mut self, event: ControllerEvent) {
        match event {
            ControllerEvent::Tick => self.tick(),
            ControllerEvent::Net(event) => self.on_net(event),
            ControllerEvent::Saved(seq) => self.on_saved(seq),
            ControllerEvent::SaveFailed(error) => self.on_save_failed(error),
            ControllerEvent::SaveRecovered => self.on_save_recovered(),
            ControllerEvent::Change {
                request_id,
                proposal_id,
                cmd,
            } => self.change(Requester::Http { request_id }, proposal_id, cmd),
            ControllerEvent::RemoveCore {
                request_id,
                proposal_id,
                core,
            } => self.remove_core(request_id, proposal_id, core),
            ControllerEvent::ReadStatus { request_id } => self.read(Read::Status { request_id }),
            ControllerEvent::ReadView { request_id } => self.read(Read::View { request_id }),
            ControllerEvent::ReadOutcome {
                request_id,
                proposal_id,
            } => {
                let requester = Requester::Http { request_id };
                self.read(Read::Outcome {
                    requester,
                    proposal_id,
                });
            }
            ControllerEvent::WorkerRegistry(result) => self.on_worker_list(result),
            ControllerEvent::Loads { epoch, rows } => self.on_loads_polled(epoch, rows),
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

    pub(super) fn log_event(&mut self, event: LogEvent, about: impl Into<String>) {
        self.out.push(ControllerEffect::Log(event, about.into()));
    }

    pub(super) fn send(&mut self, conn: Conn, payload: Payload) {
        self.connections.sent(conn, self.now);
        self.out.push(ControllerEffect::Send(conn, payload));
    }

    /// Connections to the cores that broadcasts go to.
    fn reachable_cores(&self) -> Vec<Conn> {
        let cores = self.live_cores(REACHABLE_MS).into_values();
        cores.map(|(conn, _)| conn).collect()
    }

    /// Cores from which a frame came within `ms`, by identity, each with a
    /// connection to send on.
    pub(super) fn live_cores(&self, ms: Millis) -> BTreeMap<NodeId, (Conn, Hello)> {
        self.connections.cores_since(self.now.saturating_sub(ms))
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
                self.query_founded();
            }
            Some(_) => self.tick_singleton(),
        }
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
