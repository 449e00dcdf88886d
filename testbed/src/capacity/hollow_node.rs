//! Hollow nodes: edges without requests that run only the subscription
//! (`CoreSubscription`), or the complete reducer where host time and memory are measured.

use sorreldoor::configuration::Site;
use sorreldoor::consensus::ClaimRecord;
use sorreldoor::gateway::request_table::ClusterView;
use sorreldoor::gateway::{EdgeController, EdgeEffect, EdgeEvent};
use sorreldoor::net::{Conn, NetEvent};
use sorreldoor::runtime::{Now, Reducer};
use sorreldoor::subscription::{CoreSubscription, GrantOutcome, SubscriptionEffect};
use sorreldoor::types::Millis;
use sorreldoor::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// An effect of a node on the simulated network.
pub enum NodeEffect {
    Send(Conn, Payload),
    Connect(SocketAddr),
    Disconnect(SocketAddr),
}

/// An edge reduced to its subscription, with made-up load figures.
pub struct HollowNode {
    me: Hello,
    pull: CoreSubscription,
    version: u64,
    running: u32,
    route_latencies: Vec<RouteLatency>,
    claims_sent: u64,
    out: Vec<NodeEffect>,
}

/// A simulated edge.
pub enum Node {
    HollowNode(Box<HollowNode>),
    Full(Box<EdgeController>),
}

/// The lease of a renewal in milliseconds, as the daemon has it.
const LEASE_MS: Millis = 2000;

impl Node {
    pub fn new(
        me: Hello,
        seeds: &[SocketAddr],
        route_latencies: Vec<RouteLatency>,
        now: Now,
    ) -> Node {
        let pull = CoreSubscription::new(seeds, LEASE_MS, now.monotonic_ms, now.wall)
            .with_node_name(&me.node);
        Node::HollowNode(Box::new(HollowNode {
            me,
            pull,
            version: 0,
            running: 0,
            route_latencies,
            claims_sent: 0,
            out: Vec::new(),
        }))
    }

    pub fn full(
        me: Hello,
        seeds: &[SocketAddr],
        route_latencies: Vec<RouteLatency>,
        now: Now,
        site: Arc<Site>,
    ) -> Node {
        let pull = CoreSubscription::new(seeds, LEASE_MS, now.monotonic_ms, now.wall)
            .with_node_name(&me.node);
        let cluster = ClusterView::new(site, me.node.clone(), me.zone, me.region);
        let mut h = EdgeController::new(me, cluster, pull);
        let rows = route_latencies
            .into_iter()
            .map(|t| ((t.route, t.service), (t.n, t.ms)));
        h.table.latency_totals = rows.collect();
        Node::Full(Box::new(h))
    }

    fn pull(&self) -> &CoreSubscription {
        match self {
            Node::HollowNode(h) => &h.pull,
            Node::Full(h) => &h.pull,
        }
    }

    pub fn lease(&self, now: Millis) -> bool {
        self.pull().has_lease(now)
    }

    /// The configuration version that this node has applied.
    pub fn version(&self) -> u64 {
        match self {
            Node::HollowNode(h) => h.version,
            Node::Full(h) => h.cluster.snapshot.view.version,
        }
    }

    pub fn ready(&self, now: Millis) -> bool {
        let have = &self.pull().known_versions;
        self.lease(now) && self.version() > 0 && have.registry > 0
    }

    /// Claims a request id, as a request that is not idempotent does.
    pub fn claim(&mut self) -> Option<NodeEffect> {
        let Node::HollowNode(h) = self else {
            return None;
        };
        h.claims_sent += 1;
        let request_id = h.claims_sent;
        let id = format!("{:016x}{request_id:016x}", h.me.incarnation);
        let (claimant, retention_ms) = (
            (u128::from(h.me.incarnation) << 64) | u128::from(request_id),
            360_000,
        );
        let claim = ClaimRecord {
            id,
            claimant,
            retention_ms,
        };
        h.pull
            .conn
            .map(|c| NodeEffect::Send(c, Payload::Claim { request_id, claim }))
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Now) -> Vec<NodeEffect> {
        match self {
            Node::HollowNode(h) => h.tick(now),
            Node::Full(h) => node_effects(h.step(EdgeEvent::Tick, now)),
        }
    }

    pub fn net(&mut self, n: NetEvent, now: Now) -> Vec<NodeEffect> {
        match self {
            Node::HollowNode(h) => h.net(n, now),
            Node::Full(h) => node_effects(h.step(EdgeEvent::Net(n), now)),
        }
    }
}

fn node_effects(effects: Vec<EdgeEffect>) -> Vec<NodeEffect> {
    effects
        .into_iter()
        .filter_map(|f| match f {
            EdgeEffect::Send(c, p) => Some(NodeEffect::Send(c, p)),
            EdgeEffect::Connect(a) => Some(NodeEffect::Connect(a)),
            EdgeEffect::Disconnect(a) => Some(NodeEffect::Disconnect(a)),
            _ => None,
        })
        .collect()
}

impl HollowNode {
    fn tick(&mut self, now: Now) -> Vec<NodeEffect> {
        self.check_suspend(now);
        let effects = self.pull.tick(now.monotonic_ms);
        effects.into_iter().for_each(|f| self.apply_effect(f));
        std::mem::take(&mut self.out)
    }

    fn check_suspend(&mut self, now: Now) {
        let f = self.pull.detect_suspension(now.monotonic_ms, now.wall);
        f.into_iter().for_each(|f| self.apply_effect(f));
    }

    fn net(&mut self, n: NetEvent, now: Now) -> Vec<NodeEffect> {
        self.check_suspend(now);
        match n {
            NetEvent::Up { conn, dialled } => {
                let h = self.me.clone();
                self.out.push(NodeEffect::Send(conn, Payload::Hello(h)));
                let effects = dialled.map(|a| self.pull.on_connected(conn, a, now.monotonic_ms));
                effects
                    .into_iter()
                    .flatten()
                    .for_each(|f| self.apply_effect(f));
            }
            NetEvent::Down { conn } => self.pull.on_disconnected(conn),
            NetEvent::Frame { conn, payload } => match *payload {
                Payload::Ping { .. } => {
                    self.out
                        .push(NodeEffect::Send(conn, Payload::Ping { no: 0 }));
                }
                Payload::Grant { no, ok, delta } => {
                    let some = delta.record.as_ref().is_some_and(|r| r.has_document);
                    if delta.record_withheld {
                        self.pull.on_withheld_grant(no, now.monotonic_ms);
                    } else if self.pull.on_grant(no, ok, some, now.monotonic_ms)
                        != GrantOutcome::Rejected
                    {
                        self.take(delta);
                    }
                }
                _ => {}
            },
        }
        std::mem::take(&mut self.out)
    }

    fn apply_effect(&mut self, f: SubscriptionEffect) {
        match f {
            SubscriptionEffect::Connect(a) => self.out.push(NodeEffect::Connect(a)),
            SubscriptionEffect::Disconnect(a) => self.out.push(NodeEffect::Disconnect(a)),
            SubscriptionEffect::Renew {
                conn,
                number,
                unverified,
            } => {
                // at a few dozen requests per second all renewals differ
                self.running = (self.running + 7) % 97;
                self.route_latencies.iter_mut().for_each(|t| t.n += 1);
                let have = self.pull.known_versions.clone();
                let edge_status = EdgeStatus {
                    version: self.version,
                    lease: self.version > 0,
                    running: self.running,
                    first: self.claims_sent,
                    took: self.route_latencies.clone(),
                    ..EdgeStatus::default()
                };
                let p = Payload::Renew {
                    no: number,
                    have,
                    edge_status,
                    unverified,
                };
                self.out.push(NodeEffect::Send(conn, p));
            }
            _ => {}
        }
    }

    fn take(&mut self, n: StateDelta) {
        let have = &mut self.pull.known_versions;
        if let Some(v) = n.record {
            have.record = v.revision;
            self.version = self.version.max(v.version);
        }
        if let Some(r) = n.registry {
            have.registry = r.version;
        }
        if let Some(l) = n.loads {
            have.loads = l.epoch_and_version();
        }
        if let Some(s) = n.edge_sessions {
            have.edge_sessions = s.0;
        }
        if let Some((at, cores)) = n.cores {
            have.cores = at;
            let near = |(a, r): (String, u8)| a.parse().ok().map(|a| (a, r == self.me.region));
            let cores = cores.into_iter().filter_map(near).collect();
            self.pull.set_cores(cores);
        }
    }
}
