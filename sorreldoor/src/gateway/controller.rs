//! The edge controller: the reducer that owns the edge's state.

use super::event::{EdgeEffect, EdgeEvent};
use super::releases::PendingReleases;
use crate::error::ErrorCode;
use crate::gateway::request_table::{
    Admission, ClusterView, RequestEffect, RequestId, RequestProfile, RequestSpec, RequestTable,
};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::replicated_state;
use crate::runtime::{Now, Reducer};
use crate::subscription::{CoreSubscription, SubscriptionEffect};
use crate::types::Millis;
use crate::wire::{EdgeStatus, Hello, Payload, RouteLatency, Unverified};
use simd_json::prelude::*;
use std::collections::BTreeMap;

/// State of an edge: its subscription to the control plane, its view of the
/// cluster and its requests.
pub struct EdgeController {
    pub(super) hello: Hello,
    /// What this edge has received from the control plane.
    pub cluster: ClusterView,
    /// The requests in progress.
    pub table: RequestTable,
    /// The subscription to a core, with the lease.
    pub pull: CoreSubscription,
    /// Replica of the replicated state, advanced by updates.
    pub(super) replica: replicated_state::StateReplica,
    /// Callers that wait for a proof that the configuration is current, each
    /// with the number of the renewal that proves it.
    pub(super) pending_reads: Vec<(RequestId, u64)>,
    /// Callers that wait for the result of a proposal, each with the
    /// connection that it was sent on.
    pub(super) pending_proposals: BTreeMap<RequestId, Conn>,
    pub(super) pending_releases: PendingReleases,
    pub(super) shutting_down: bool,
    /// Monotonic time of the latest event.
    pub(super) now: Millis,
    pub(super) effects: Vec<EdgeEffect>,
}

impl Reducer for EdgeController {
    type Event = EdgeEvent;
    type Effect = EdgeEffect;

    fn step(&mut self, event: EdgeEvent, at: Now) -> Vec<EdgeEffect> {
        self.now = self.now.max(at.monotonic_ms);
        // after a suspension any event may precede the first tick; the lease
        // must be invalid for it as well
        if let Some(effect) = self.pull.detect_suspension(self.now, at.wall) {
            self.on_subscription_effect(effect);
        }
        self.handle(event);
        if self.pull.has_lease(self.now) {
            self.table.match_waiting(&mut self.cluster, self.now);
        }
        for effect in std::mem::take(&mut self.table.effects) {
            self.on_request_effect(&effect);
            self.effects.push(EdgeEffect::Request(effect));
        }
        std::mem::take(&mut self.effects)
    }
}

impl EdgeController {
    /// A controller that sends `hello` on each new connection to a core.
    pub fn new(hello: Hello, cluster: ClusterView, pull: CoreSubscription) -> EdgeController {
        EdgeController {
            hello,
            cluster,
            table: RequestTable::default(),
            pull,
            replica: Default::default(),
            pending_reads: Vec::new(),
            pending_proposals: BTreeMap::new(),
            pending_releases: PendingReleases::default(),
            shutting_down: false,
            now: 0,
            effects: Vec::new(),
        }
    }

    fn handle(&mut self, event: EdgeEvent) {
        match event {
            EdgeEvent::Tick => self.tick(),
            EdgeEvent::Net(event) => self.on_net_event(event),
            EdgeEvent::CheckAdmission { request_id, spec } => {
                self.check_admission(request_id, &spec)
            }
            EdgeEvent::Submit { request_id, spec } => self.submit(request_id, spec),
            EdgeEvent::CallerDisconnected { request_id } => {
                self.table.on_disconnect(&mut self.cluster, request_id)
            }
            EdgeEvent::Attempt(report) => {
                let lease_valid = self.pull.has_lease(self.now);
                self.table
                    .on_attempt_event(&mut self.cluster, report, lease_valid, self.now);
            }
            EdgeEvent::LocateEdges { request_id, spec } => self.locate_edges(request_id, &spec),
            EdgeEvent::Propose {
                request_id,
                proposal_id,
                cmd,
            } => {
                let payload = Payload::Propose {
                    request_id,
                    proposal_id,
                    cmd,
                };
                self.forward_proposal(request_id, payload)
            }
            EdgeEvent::QueryProposal {
                request_id,
                proposal_id,
            } => {
                let payload = Payload::OutcomeQuery {
                    request_id,
                    proposal_id,
                };
                self.forward_proposal(request_id, payload)
            }
            EdgeEvent::Explain { request_id, spec } => self.explain(request_id, spec),
            EdgeEvent::ReadConfiguration { request_id } => self.read_configuration(request_id),
            EdgeEvent::Status { request_id } => {
                let status = self.status().encode();
                self.effects.push(EdgeEffect::Status(request_id, status));
            }
            EdgeEvent::SeedsRead(seeds) => self.pull.on_seeds(seeds, self.now),
            EdgeEvent::Shutdown => {
                self.shutting_down = true;
                self.log_event(LogEvent::ShuttingDown, "edge");
            }
        }
    }

    fn tick(&mut self) {
        for effect in self.pull.tick(self.now) {
            self.on_subscription_effect(effect);
        }
        self.resend_releases();
        self.table.retry_pending_claims(self.now);
        self.table.expire_requests(&mut self.cluster, self.now);
        self.table.reject_unservable(&self.cluster, self.now);
        if !self.pull.has_lease(self.now) {
            self.table.reject_without_lease(self.now);
        }
    }

    pub(super) fn log_event(&mut self, event: LogEvent, about: impl Into<String>) {
        self.effects.push(EdgeEffect::Log(event, about.into()));
    }

    /// Checks that the edge accepts new requests.
    ///
    /// # Errors
    /// `ShuttingDown` during shutdown, `NoLease` without a valid lease.
    pub(super) fn check_accepting(&self) -> Result<(), ErrorCode> {
        if self.shutting_down {
            return Err(ErrorCode::ShuttingDown);
        }
        if !self.pull.has_lease(self.now) {
            return Err(ErrorCode::NoLease);
        }
        Ok(())
    }

    /// Checks that the edge can serve requests.
    ///
    /// # Errors
    /// The reason why it cannot.
    pub fn ready(&self) -> Result<(), ErrorCode> {
        self.check_accepting()?;
        if self.cluster.configuration.is_none() {
            return Err(ErrorCode::NoConfiguration);
        }
        if self.cluster.is_evacuated(self.cluster.zone) {
            return Err(ErrorCode::ShuttingDown);
        }
        Ok(())
    }

    /// Whether a shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Whether no request is in the table.
    pub fn is_idle(&self) -> bool {
        self.table.requests.is_empty()
    }

    fn check_admission(&mut self, request_id: RequestId, spec: &RequestSpec) {
        self.table.record_arrival(&self.cluster, self.now);
        let admission = self
            .check_accepting()
            .and_then(|()| self.table.check_admission(&self.cluster, request_id, spec));
        match admission {
            Ok(Admission::Accepted) => {
                let profile = self.profile(&spec.route);
                self.effects.push(EdgeEffect::Admitted(request_id, profile));
            }
            Ok(Admission::Redirected) => {}
            Err(error_code) => self.table.reject(request_id, error_code, self.now),
        }
    }

    fn profile(&self, route: &str) -> RequestProfile {
        let route = self.cluster.route(route).ok();
        route.map_or(RequestProfile::default(), |(configuration, index)| {
            RequestProfile::of(&configuration.routes[index as usize])
        })
    }

    fn submit(&mut self, request_id: RequestId, spec: RequestSpec) {
        match self.check_accepting() {
            Ok(()) => self.table.submit(&self.cluster, request_id, spec, self.now),
            Err(error_code) => self.table.reject(request_id, error_code, self.now),
        }
    }

    fn on_request_effect(&mut self, effect: &RequestEffect) {
        match effect {
            RequestEffect::Claim { request_id, claim } => {
                self.send_claim(*request_id, claim.clone())
            }
            RequestEffect::Release { request_id, id } => self.release(*request_id, id.clone()),
            RequestEffect::OutcomeUnknown { id, worker } => {
                self.log_event(LogEvent::OutcomeUnknown, format!("{id} at {worker}"))
            }
            RequestEffect::AttemptFailed {
                id,
                worker,
                error_code,
            } => {
                let event = if *error_code == ErrorCode::StreamInterrupted {
                    LogEvent::StreamInterrupted
                } else {
                    LogEvent::WorkerResponseRejected
                };
                self.log_event(event, format!("{id} at {worker}: {}", error_code.code()));
            }
            _ => {}
        }
    }

    pub(super) fn on_subscription_effect(&mut self, effect: SubscriptionEffect) {
        match effect {
            SubscriptionEffect::Connect(addr) => self.effects.push(EdgeEffect::Connect(addr)),
            SubscriptionEffect::Disconnect(addr) => self.effects.push(EdgeEffect::Disconnect(addr)),
            SubscriptionEffect::Renew {
                conn,
                number,
                unverified,
            } => self.send_renewal(conn, number, unverified),
            SubscriptionEffect::AskCores(conn) => self
                .effects
                .push(EdgeEffect::Send(conn, Payload::CoreAddressesRequest)),
            SubscriptionEffect::ReadSeeds => self.effects.push(EdgeEffect::ReadSeeds),
            SubscriptionEffect::SessionReplaced => self.log_event(LogEvent::SessionLost, "silent"),
            SubscriptionEffect::Suspended(cause) => self.log_event(LogEvent::ClockJump, cause),
            SubscriptionEffect::LeaseExpired => self.log_event(LogEvent::LeaseExpired, ""),
            SubscriptionEffect::LeaseRenewed => self.log_event(LogEvent::LeaseRenewed, ""),
            SubscriptionEffect::NoConfirmation(details) => {
                self.log_event(LogEvent::NoConfirmation, details)
            }
        }
    }

    fn send_renewal(&mut self, conn: Conn, no: u64, unverified: Unverified) {
        let payload = Payload::Renew {
            no,
            have: self.pull.known_versions.clone(),
            edge_status: self.edge_status(),
            unverified,
        };
        self.effects.push(EdgeEffect::Send(conn, payload));
    }

    fn edge_status(&self) -> EdgeStatus {
        let counters = &self.table.counters;
        EdgeStatus {
            version: self.cluster.snapshot.view.version,
            lease: self.ready().is_ok(),
            running: self.table.requests.len() as u32,
            first: counters.accepted,
            again: counters.retries,
            shed: counters.rejected,
            took: self.route_latencies(),
        }
    }

    /// Latency totals of the routes in the current configuration.
    fn route_latencies(&self) -> Vec<RouteLatency> {
        let totals = self.table.latency_totals.iter();
        totals
            .filter(|((route, _), _)| self.cluster.route(route).is_ok())
            .map(|((route, service), (count, total_ms))| RouteLatency {
                route: route.clone(),
                service: service.clone(),
                n: *count,
                ms: *total_ms,
            })
            .collect()
    }
}
