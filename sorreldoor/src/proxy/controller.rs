//! The controller of a node that serves hosted routes: its subscription to a
//! core, the updates it applies, and the balancer that they configure.

use super::usage_reporter::UsageReporter;
use crate::balancer::Balancer;
use crate::configuration::hosted::Hosted;
use crate::configuration::Site;
use crate::discovery::WorkerRegistry;
use crate::invariants::{broken, Invariant};
use crate::log_events::LogEvent;
use crate::metrics::EdgeFigures;
use crate::net::{Conn, NetEvent};
use crate::replicated_state::{DocumentDelta, StateUpdate, View};
use crate::runtime::{Now, Prioritized, Reducer};
use crate::subscription::{Granted, Pull, SubscriptionEffect};
use crate::types::Millis;
use crate::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// Milliseconds after its first membership update until a node assumes that
/// all nodes are listed.
const MEMBERSHIP_SETTLE_MS: Millis = 1000;

/// An input of [`ProxyController`].
#[derive(Debug)]
pub enum ControllerEvent {
    /// The periodic timer.
    Tick,
    /// A connection to a core was opened or closed, or a frame arrived.
    Net(NetEvent),
    /// The node was told to shut down.
    Stop,
}

impl Prioritized for ControllerEvent {}

/// An output of [`ProxyController`], carried out by the daemon in order.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Send a frame to a core.
    Send(Conn, Payload),
    /// Keep a connection to this core open, and reconnect when it is lost.
    Connect(SocketAddr),
    /// Stop connecting to this core.
    Disconnect(SocketAddr),
    /// Write a line to the event log: the event and its details.
    Log(LogEvent, String),
}

/// A ready edge as clients are sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyEdge {
    /// Name of the node.
    pub node: String,
    /// `IP:PORT` of its clients' listener.
    pub addr: String,
    /// Index of its zone.
    pub zone: u16,
    /// Index of its region.
    pub region: u8,
}

impl ReadyEdge {
    /// The ready ones of the announced edges.
    pub fn among(endpoints: &[EdgeEndpoint]) -> Vec<ReadyEdge> {
        let ready = endpoints.iter().filter(|e| e.ready);
        ready.map(ReadyEdge::from).collect()
    }
}

impl From<&EdgeEndpoint> for ReadyEdge {
    fn from(endpoint: &EdgeEndpoint) -> ReadyEdge {
        ReadyEdge {
            node: endpoint.node.clone(),
            addr: endpoint.http.clone(),
            zone: endpoint.zone,
            region: endpoint.region,
        }
    }
}

/// The control half of a proxy node; the daemon feeds it events.
pub struct ProxyController {
    identity: Hello,
    site: Arc<Site>,
    subscription: Pull,
    /// Places requests, under the configuration that is applied here.
    pub balancer: Balancer,
    /// Requests in flight, as reported to cores.
    pub running: u32,
    /// Ready edges, by the sessions that cores announce.
    ready_edges: Vec<ReadyEdge>,
    view: View,
    draining: bool,
    now: Millis,
    /// The readiness that was last reported to cores.
    reported_ready: bool,
    usage_reporter: UsageReporter,
    /// All edges and their zones, ready or not, until the balancer is given them.
    pending_nodes: Vec<(String, u16)>,
    /// When the membership counts as complete; set by its first update.
    membership_settled_at: Option<Millis>,
    effects: Vec<ControllerEffect>,
}

impl Reducer for ProxyController {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn step(&mut self, event: ControllerEvent, at: Now) -> Vec<ControllerEffect> {
        self.now = self.now.max(at.monotonic_ms);
        if let Some(effect) = self.subscription.awake(self.now, at.wall) {
            self.on_subscription(effect);
        }
        match event {
            ControllerEvent::Tick => {
                let effects = self.subscription.tick(self.now);
                effects.into_iter().for_each(|e| self.on_subscription(e));
                self.report_usage();
            }
            ControllerEvent::Net(event) => self.on_net(event),
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
    /// A node that starts, without configuration or workers yet.
    pub fn new(
        identity: Hello,
        site: Arc<Site>,
        subscription: Pull,
        balancer: Balancer,
    ) -> ProxyController {
        ProxyController {
            identity,
            site,
            subscription,
            balancer,
            running: 0,
            ready_edges: Vec::new(),
            view: View::default(),
            draining: false,
            now: 0,
            reported_ready: false,
            usage_reporter: UsageReporter::default(),
            pending_nodes: Vec::new(),
            membership_settled_at: None,
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

    /// Whether it has a configuration and workers, and is not shutting down.
    pub fn ready(&self) -> bool {
        !self.draining && self.balancer.hosted().is_some() && self.subscription.have.registry > 0
    }

    /// What this node's metrics are read from.
    pub fn figures(&self) -> EdgeFigures {
        EdgeFigures {
            ready: self.ready(),
            configuration_version: self.view.version,
            ready_edges: self.ready_edges().len() as u64,
            counts: self.balancer.counts(),
        }
    }

    /// The ready edges as this one knows them, with itself.
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

    /// A change of readiness is reported at once: clients must be sent here
    /// soon, and elsewhere before the listener closes.
    fn report_readiness(&mut self) {
        if self.ready() != self.reported_ready {
            self.renew();
        }
    }

    /// Renews the lease now, which also acknowledges what was applied.
    fn renew(&mut self) {
        if let Some(conn) = self.subscription.conn {
            let effect = self.subscription.renew(conn, self.now);
            self.on_subscription(effect);
        }
    }

    /// Reports to a core what tenants have requested.
    fn report_usage(&mut self) {
        let admission = &mut self.balancer.admission;
        let session = self.subscription.conn;
        if let Some((conn, report)) = self.usage_reporter.report(session, admission, self.now) {
            self.send(conn, Payload::UsageReport(report));
        }
    }

    /// The nodes that share limits: once all had time to start, also those
    /// that are not ready yet.
    fn apply_membership(&mut self) {
        let settled = self.membership_settled_at.is_some_and(|t| self.now >= t);
        if settled && !self.pending_nodes.is_empty() {
            let nodes = std::mem::take(&mut self.pending_nodes);
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
                no,
                unverified,
            } => self.send_renewal(conn, no, unverified),
            SubscriptionEffect::Lost => self.log_event(LogEvent::SessionLost, "silent"),
            SubscriptionEffect::Woken(detail) => self.log_event(LogEvent::ClockJump, detail),
            SubscriptionEffect::LeaseExpired | SubscriptionEffect::LeaseRenewed => {}
        }
    }

    fn send_renewal(&mut self, conn: Conn, no: u64, unverified: Unverified) {
        self.reported_ready = self.ready();
        let edge_status = EdgeStatus {
            version: self.view.version,
            lease: self.ready(),
            running: self.running,
            ..EdgeStatus::default()
        };
        let renewal = Payload::Renew {
            no,
            have: self.subscription.have.clone(),
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
                self.subscription.down(conn);
            }
            NetEvent::Frame { conn, payload } => match *payload {
                Payload::Grant { no, ok, delta } => self.on_grant(no, ok, delta),
                Payload::WorkerRegistry(registry) => self.apply_registry(&registry),
                Payload::AdmissionUpdate(update) => {
                    let admission = &mut self.balancer.admission;
                    self.usage_reporter.on_update(conn, &update, admission);
                }
                _ => {}
            },
        }
    }

    fn on_connected(&mut self, conn: Conn, dialled: Option<SocketAddr>) {
        self.send(conn, Payload::Hello(self.identity.clone()));
        if let Some(addr) = dialled {
            let effects = self.subscription.up(conn, addr, self.now);
            effects.into_iter().for_each(|e| self.on_subscription(e));
            self.log_event(LogEvent::SessionEstablished, addr.to_string());
        }
    }

    fn on_grant(&mut self, no: u64, ok: bool, delta: StateDelta) {
        let has_document = delta.record.as_ref().is_some_and(|r| r.has_document);
        if delta.record_withheld {
            self.subscription.withheld(no, self.now);
            return;
        }
        // an update of a core that could not prove itself current may be
        // stale, and is applied only by a node that has none at all
        let granted = self.subscription.granted(no, ok, has_document, self.now);
        if granted != Granted::No {
            self.apply_delta(delta);
        }
    }

    fn apply_delta(&mut self, delta: StateDelta) {
        // a late answer must not undo a newer one
        let known = self.subscription.have.record;
        if let Some(update) = delta.record.filter(|u| u.revision > known) {
            self.apply_update(&update);
        }
        if let Some(registry) = delta.registry {
            self.apply_registry(&registry);
        }
        if let Some((version, endpoints)) = delta.edge_sessions {
            self.subscription.have.edge_sessions = version;
            self.update_edges(endpoints);
        }
        if let Some((version, cores)) = delta.cores {
            let own_region = self.identity.region;
            self.subscription.update_cores(version, &cores, own_region);
        }
    }

    fn apply_registry(&mut self, registry: &WorkerRegistry) {
        // lists arrive by more than one way, and an older one may arrive later
        if registry.version > self.subscription.have.registry {
            self.subscription.have.registry = registry.version;
            self.balancer.update_registry(registry, self.now);
        }
    }

    fn apply_update(&mut self, encoded: &EncodedUpdate) {
        let applies = |u: &StateUpdate| u.from_revision <= self.view.revision;
        if self.view.revision > 0 && broken(Invariant::UpdatesApplied) {
            self.subscription.have.record = encoded.revision;
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
        self.subscription.have.record = update.revision;
        self.balancer
            .set_evacuated_zones(update.evacuated.clone(), self.now);
        // the text is parsed; keeping it would only cost its memory
        self.view = View {
            revision: update.revision,
            version: update.version,
            doc: update.document.map(|_| Arc::default()),
            evacuated: update.evacuated,
            weights: Vec::new(),
            regions: update.regions,
        };
        if encoded.bytes.len() > LARGE_UPDATE_BYTES {
            // the core sends nothing more until this is acknowledged
            self.renew();
        }
    }

    /// Has the next renewal ask for the complete state.
    fn request_snapshot(&mut self, reason: &str) {
        self.subscription.have.record = 0;
        self.log_event(LogEvent::ConfigurationUnreadable, reason);
    }

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
        self.ready_edges = ReadyEdge::among(&endpoints);
        let nodes = endpoints.iter().map(|e| (e.node.clone(), e.zone));
        self.pending_nodes = nodes.collect();
        self.membership_settled_at
            .get_or_insert(self.now + MEMBERSHIP_SETTLE_MS);
    }
}
