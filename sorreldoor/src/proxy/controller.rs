//! Control loop of a proxy node, a pure reducer: subscribes to a core, applies
//! replicated state to the balancer, and reports readiness and usage.

use super::ready_edge::ReadyEdge;
use super::usage_reporter::UsageReporter;
use crate::balancer::Balancer;
use crate::configuration::hosted::Hosted;
use crate::configuration::Site;
use crate::discovery::WorkerRegistry;
use crate::invariants::{is_disabled, Invariant};
use crate::log_events::LogEvent;
use crate::metrics::EdgeFigures;
use crate::net::{Conn, NetEvent};
use crate::replicated_state::{DocumentDelta, StateUpdate, View};
use crate::runtime::{Now, Prioritized, Reducer};
use crate::subscription::{CoreSubscription, GrantOutcome, SubscriptionEffect};
use crate::types::Millis;
use crate::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time after the first membership update until the list of nodes counts as complete.
const MEMBERSHIP_DELAY_MS: Millis = 1000;

/// An input of [`ProxyController`].
#[derive(Debug)]
pub enum ControllerEvent {
    /// The periodic timer.
    Tick,
    /// A connection to a core was opened or closed, or a frame arrived.
    Net(NetEvent),
    /// The seeds in the settings, as read for `ControllerEffect::ReadSeeds`.
    SeedsRead(Vec<SocketAddr>),
    /// The process was signalled to shut down.
    Stop,
}

impl Prioritized for ControllerEvent {}

/// An output of [`ProxyController`], carried out by the daemon in order.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Send a frame to a core.
    Send(Conn, Payload),
    /// Connect to this core, and reconnect whenever the connection is lost.
    Connect(SocketAddr),
    /// Close the connection to this core, and do not reconnect.
    Disconnect(SocketAddr),
    /// Read the seeds from the settings again; `ControllerEvent::SeedsRead` has them.
    ReadSeeds,
    /// Write an event and its details to the event log.
    Log(LogEvent, String),
}

/// The controller of a proxy node, owned and driven by its daemon.
pub struct ProxyController {
    identity: Hello,
    site: Arc<Site>,
    pub(super) subscription: CoreSubscription,
    /// Chooses workers for requests; configured from the replicated state.
    pub balancer: Balancer,
    /// Requests in flight, as reported to cores; set by the daemon before each step.
    pub requests_in_flight: u32,
    /// The ready edges that a core last announced.
    ready_edges: Vec<ReadyEdge>,
    /// The replicated state last applied, without its document.
    view: View,
    draining: bool,
    now: Millis,
    /// The readiness that was last reported to cores.
    reported_ready: bool,
    usage_reporter: UsageReporter,
    /// All edges and their zones, ready or not, for the balancer's next update.
    pending_members: Vec<(String, u16)>,
    /// When the list of nodes is taken as complete; set by its first update.
    membership_complete_at: Option<Millis>,
    effects: Vec<ControllerEffect>,
}

impl Reducer for ProxyController {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn step(&mut self, event: ControllerEvent, at: Now) -> Vec<ControllerEffect> {
        self.now = self.now.max(at.monotonic_ms);
        if let Some(effect) = self.subscription.detect_suspension(self.now, at.wall) {
            self.on_subscription(effect);
        }
        match event {
            ControllerEvent::Tick => {
                let effects = self.subscription.tick(self.now);
                effects.into_iter().for_each(|e| self.on_subscription(e));
                self.report_usage();
            }
            ControllerEvent::Net(event) => self.on_net(event),
            ControllerEvent::SeedsRead(seeds) => self.subscription.on_seeds(seeds, self.now),
            ControllerEvent::Stop => {
                self.draining = true;
                self.log_event(LogEvent::ShuttingDown, "edge");
            }
        }
        self.report_readiness();
        self.apply_membership();
        std::mem::take(&mut self.effects)
    }
}

impl ProxyController {
    /// A node that starts, without configuration and workers.
    pub fn new(
        identity: Hello,
        site: Arc<Site>,
        subscription: CoreSubscription,
        balancer: Balancer,
    ) -> ProxyController {
        ProxyController {
            identity,
            site,
            subscription,
            balancer,
            requests_in_flight: 0,
            ready_edges: Vec::new(),
            view: View::default(),
            draining: false,
            now: 0,
            reported_ready: false,
            usage_reporter: UsageReporter::default(),
            pending_members: Vec::new(),
            membership_complete_at: None,
            effects: Vec::new(),
        }
    }

    fn log_event(&mut self, event: LogEvent, detail: impl Into<String>) {
        self.effects
            .push(ControllerEffect::Log(event, detail.into()));
    }

    fn send(&mut self, conn: Conn, payload: Payload) {
        self.effects.push(ControllerEffect::Send(conn, payload));
    }

    /// Whether the node has a configuration and workers, and is not shutting down.
    pub fn ready(&self) -> bool {
        !self.draining
            && self.balancer.hosted().is_some()
            && self.subscription.known_versions.registry > 0
    }

    /// The values of this node's metrics.
    pub fn figures(&self) -> EdgeFigures {
        EdgeFigures {
            ready: self.ready(),
            lease_valid: self.subscription.has_lease(self.now),
            configuration_version: self.view.version,
            ready_edges: self.ready_edges().len() as u64,
            counts: self.balancer.counts(),
        }
    }

    /// The ready edges that a core announced, and this one if it is ready.
    pub fn ready_edges(&self) -> Vec<ReadyEdge> {
        let own = ReadyEdge {
            node: self.identity.node.clone(),
            addr: self.identity.http.clone(),
            zone: self.identity.zone,
            region: self.identity.region,
        };
        let unlisted = self.ready() && self.ready_edges.iter().all(|e| e.node != own.node);
        let own = Some(own).filter(|_| unlisted);
        self.ready_edges.iter().cloned().chain(own).collect()
    }

    /// Reports a change of readiness at once, before the listener closes.
    fn report_readiness(&mut self) {
        if self.ready() != self.reported_ready {
            self.renew();
        }
    }

    /// Renews the lease now, which also acknowledges the state applied so far.
    fn renew(&mut self) {
        if let Some(conn) = self.subscription.conn {
            let effect = self.subscription.renew(conn, self.now);
            self.on_subscription(effect);
        }
    }

    /// Reports the tenants' usage of their quotas to a core.
    fn report_usage(&mut self) {
        let admission = &mut self.balancer.admission;
        let session = self.subscription.conn;
        if let Some((conn, report)) = self.usage_reporter.report(session, admission, self.now) {
            self.send(conn, Payload::UsageReport(report));
        }
    }

    /// Gives the balancer the nodes that share limits, once their list is complete.
    fn apply_membership(&mut self) {
        let complete = self.membership_complete_at.is_some_and(|t| self.now >= t);
        if complete && !self.pending_members.is_empty() {
            let nodes = std::mem::take(&mut self.pending_members);
            self.balancer.update_nodes(nodes);
        }
    }

    fn on_subscription(&mut self, effect: SubscriptionEffect) {
        match effect {
            SubscriptionEffect::Connect(addr) => {
                self.effects.push(ControllerEffect::Connect(addr));
            }
            SubscriptionEffect::Disconnect(addr) => {
                self.effects.push(ControllerEffect::Disconnect(addr));
            }
            SubscriptionEffect::Renew {
                conn,
                number,
                unverified,
            } => self.send_renewal(conn, number, unverified),
            SubscriptionEffect::AskCores(conn) => self.send(conn, Payload::CoreAddressesRequest),
            SubscriptionEffect::ReadSeeds => self.effects.push(ControllerEffect::ReadSeeds),
            SubscriptionEffect::SessionReplaced => {
                self.log_event(LogEvent::SessionLost, "no answer in time")
            }
            SubscriptionEffect::Suspended(detail) => self.log_event(LogEvent::ClockJump, detail),
            SubscriptionEffect::LeaseExpired => self.log_event(LogEvent::LeaseExpired, ""),
            SubscriptionEffect::LeaseRenewed => self.log_event(LogEvent::LeaseRenewed, ""),
            SubscriptionEffect::NoConfirmation(details) => {
                self.log_event(LogEvent::NoConfirmation, details)
            }
        }
    }

    fn send_renewal(&mut self, conn: Conn, no: u64, unverified: Unverified) {
        self.reported_ready = self.ready();
        let edge_status = EdgeStatus {
            version: self.view.version,
            lease: self.ready(),
            running: self.requests_in_flight,
            ..EdgeStatus::default()
        };
        let renewal = Payload::Renew {
            no,
            have: self.subscription.known_versions.clone(),
            edge_status,
            unverified,
        };
        self.send(conn, renewal);
    }

    fn on_net(&mut self, event: NetEvent) {
        match event {
            NetEvent::Up { conn, dialled } => self.on_connected(conn, dialled),
            NetEvent::Down { conn } => {
                self.usage_reporter.on_closed(conn);
                self.subscription.on_disconnected(conn);
            }
            NetEvent::Frame { conn, payload } => match *payload {
                Payload::Grant { no, ok, delta } => self.on_grant(no, ok, delta),
                Payload::WorkerRegistry(registry) => self.apply_registry(&registry),
                Payload::AdmissionUpdate(update) => {
                    let admission = &mut self.balancer.admission;
                    self.usage_reporter.on_update(conn, &update, admission);
                }
                Payload::CoreAddressesRequest => {
                    let answer = self.subscription.core_addresses(self.now);
                    self.send(conn, Payload::CoreAddresses(answer));
                }
                Payload::CoreAddresses(answer) => {
                    let effects = self.subscription.on_core_addresses(conn, &answer, self.now);
                    effects.into_iter().for_each(|e| self.on_subscription(e));
                }
                _ => {}
            },
        }
    }

    fn on_connected(&mut self, conn: Conn, dialled: Option<SocketAddr>) {
        // a node that connects to an edge only asks for the cores
        let Some(addr) = dialled else { return };
        let is_core = !self.subscription.is_asked_peer(addr);
        if is_core {
            self.send(conn, Payload::Hello(self.identity.clone()));
            self.log_event(LogEvent::SessionEstablished, addr.to_string());
        }
        let effects = self.subscription.on_connected(conn, addr, self.now);
        effects.into_iter().for_each(|e| self.on_subscription(e));
    }

    fn on_grant(&mut self, no: u64, ok: bool, delta: StateDelta) {
        let has_document = delta.record.as_ref().is_some_and(|r| r.has_document);
        if delta.record_withheld {
            self.subscription.on_withheld_grant(no, self.now);
            return;
        }
        // an unverified update may be stale; granted only while no confirmed state is known
        let granted = self.subscription.on_grant(no, ok, has_document, self.now);
        if granted != GrantOutcome::Rejected {
            self.apply_delta(delta);
        }
    }

    // grants and registries may arrive late, and must not replace newer state
    fn apply_delta(&mut self, delta: StateDelta) {
        let known = self.subscription.known_versions.record;
        if let Some(update) = delta.record.filter(|u| u.revision > known) {
            self.apply_update(&update);
        }
        if let Some(registry) = delta.registry {
            self.apply_registry(&registry);
        }
        if let Some((version, endpoints)) = delta.edge_sessions {
            self.subscription.known_versions.edge_sessions = version;
            self.update_edges(endpoints);
        }
        if let Some((version, cores)) = delta.cores {
            let own_region = self.identity.region;
            self.subscription.update_cores(version, &cores, own_region);
        }
    }

    fn apply_registry(&mut self, registry: &WorkerRegistry) {
        if registry.version > self.subscription.known_versions.registry {
            self.subscription.known_versions.registry = registry.version;
            self.balancer.update_registry(registry, self.now);
        }
    }

    fn apply_update(&mut self, encoded: &EncodedUpdate) {
        let applies = |u: &StateUpdate| u.from_revision <= self.view.revision;
        if self.view.revision > 0 && is_disabled(Invariant::UpdatesApplied) {
            self.subscription.known_versions.record = encoded.revision;
            return;
        }
        let Some(update) = encoded.update().filter(applies) else {
            return self.request_snapshot("an update that does not follow the known revision");
        };
        if let Some(changes) = &update.document {
            if let Err(faults) = self.apply_document(update.from_revision == 0, changes) {
                return self.request_snapshot(&faults.join("; "));
            }
        }
        if update.version != self.view.version {
            let detail = format!("serial {}", update.version);
            self.log_event(LogEvent::ConfigurationApplied, detail);
        }
        self.subscription.known_versions.record = update.revision;
        self.balancer
            .set_evacuated_zones(update.evacuated.clone(), self.now);
        self.view = View {
            revision: update.revision,
            version: update.version,
            document: update.document.map(|_| Arc::default()),
            evacuated: update.evacuated,
            weights: Vec::new(),
            regions: update.regions,
        };
        if encoded.bytes.len() > LARGE_UPDATE_BYTES {
            // the core sends no more state until a large update is acknowledged
            self.renew();
        }
    }

    /// Makes the next renewal request the complete state.
    fn request_snapshot(&mut self, reason: &str) {
        self.subscription.known_versions.record = 0;
        self.log_event(LogEvent::ConfigurationUnreadable, reason);
    }

    /// Applies the document or its changes; fails with the faults of the result.
    fn apply_document(
        &mut self,
        complete: bool,
        changes: &DocumentDelta,
    ) -> Result<(), Vec<String>> {
        let current = self.balancer.hosted().filter(|_| !complete).cloned();
        let current: Arc<Hosted> = current.unwrap_or_default();
        if let Some(hosted) = changes.hosted(&current, &self.site)? {
            self.balancer
                .apply_configuration(Arc::new(hosted), self.now);
        }
        Ok(())
    }

    fn update_edges(&mut self, endpoints: Vec<EdgeEndpoint>) {
        self.ready_edges = ReadyEdge::from_endpoints(&endpoints);
        self.subscription.update_peers(&endpoints);
        let nodes = endpoints.iter().map(|e| (e.node.clone(), e.zone));
        self.pending_members = nodes.collect();
        self.membership_complete_at
            .get_or_insert(self.now + MEMBERSHIP_DELAY_MS);
    }
}
