//! An edge without its errands: the session's own half (`Pull`), hollow, or
//! the whole reducer where its processor time and memory are to be measured.

use sorreldoor::configuration::Site;
use sorreldoor::consensus::ClaimRecord;
use sorreldoor::gateway::request_table::ClusterView;
use sorreldoor::gateway::{EdgeController, EdgeEffect, EdgeEvent};
use sorreldoor::net::{Conn, NetEvent};
use sorreldoor::runtime::{Now, Reducer};
use sorreldoor::subscription::{Granted, Pull, SubscriptionEffect};
use sorreldoor::types::Millis;
use sorreldoor::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a node asks of its surroundings.
pub enum Out {
    Send(Conn, Payload),
    Connect(SocketAddr),
    Disconnect(SocketAddr),
}

pub struct Hollow {
    me: Hello,
    pull: Pull,
    version: u64,
    running: u32,
    took: Vec<RouteLatency>,
    claims: u64,
    out: Vec<Out>,
}

pub enum Node {
    Hollow(Box<Hollow>),
    Full(Box<EdgeController>),
}

/// How long a node serves on one renewal, in milliseconds, as the daemon has it.
const LEASE: Millis = 2000;

impl Node {
    pub fn new(me: Hello, seeds: &[SocketAddr], took: Vec<RouteLatency>, now: Now) -> Node {
        let pull = Pull::new(seeds, LEASE, now.monotonic_ms, now.wall).named(&me.node);
        Node::Hollow(Box::new(Hollow {
            me,
            pull,
            version: 0,
            running: 0,
            took,
            claims: 0,
            out: Vec::new(),
        }))
    }

    pub fn full(
        me: Hello,
        seeds: &[SocketAddr],
        took: Vec<RouteLatency>,
        now: Now,
        site: Arc<Site>,
    ) -> Node {
        let pull = Pull::new(seeds, LEASE, now.monotonic_ms, now.wall).named(&me.node);
        let cluster = ClusterView::new(site, me.node.clone(), me.zone, me.region);
        let mut h = EdgeController::new(me, cluster, pull);
        let rows = took
            .into_iter()
            .map(|t| ((t.route, t.service), (t.n, t.ms)));
        h.table.latency_totals = rows.collect();
        Node::Full(Box::new(h))
    }

    fn pull(&self) -> &Pull {
        match self {
            Node::Hollow(h) => &h.pull,
            Node::Full(h) => &h.pull,
        }
    }

    pub fn lease(&self, now: Millis) -> bool {
        self.pull().lease(now)
    }

    /// The operators' serial this node acts on.
    pub fn version(&self) -> u64 {
        match self {
            Node::Hollow(h) => h.version,
            Node::Full(h) => h.cluster.snapshot.view.version,
        }
    }

    pub fn ready(&self, now: Millis) -> bool {
        let have = &self.pull().have;
        self.lease(now) && self.version() > 0 && have.registry > 0
    }

    /// Ask for an errand id, as an errand that may not be repeated does.
    pub fn claim(&mut self) -> Option<Out> {
        let Node::Hollow(h) = self else { return None };
        h.claims += 1;
        let request_id = h.claims;
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
            .map(|c| Out::Send(c, Payload::Claim { request_id, claim }))
    }

    /// Nothing but time has come.
    pub fn tick(&mut self, now: Now) -> Vec<Out> {
        match self {
            Node::Hollow(h) => h.tick(now),
            Node::Full(h) => outs(h.step(EdgeEvent::Tick, now)),
        }
    }

    pub fn net(&mut self, n: NetEvent, now: Now) -> Vec<Out> {
        match self {
            Node::Hollow(h) => h.net(n, now),
            Node::Full(h) => outs(h.step(EdgeEvent::Net(n), now)),
        }
    }
}

fn outs(fx: Vec<EdgeEffect>) -> Vec<Out> {
    fx.into_iter()
        .filter_map(|f| match f {
            EdgeEffect::Send(c, p) => Some(Out::Send(c, p)),
            EdgeEffect::Connect(a) => Some(Out::Connect(a)),
            EdgeEffect::Disconnect(a) => Some(Out::Disconnect(a)),
            _ => None,
        })
        .collect()
}

impl Hollow {
    fn tick(&mut self, now: Now) -> Vec<Out> {
        self.woken(now);
        let fx = self.pull.tick(now.monotonic_ms);
        fx.into_iter().for_each(|f| self.pulled(f));
        std::mem::take(&mut self.out)
    }

    fn woken(&mut self, now: Now) {
        let f = self.pull.awake(now.monotonic_ms, now.wall);
        f.into_iter().for_each(|f| self.pulled(f));
    }

    fn net(&mut self, n: NetEvent, now: Now) -> Vec<Out> {
        self.woken(now);
        match n {
            NetEvent::Up { conn, dialled } => {
                let h = self.me.clone();
                self.out.push(Out::Send(conn, Payload::Hello(h)));
                let fx = dialled.map(|a| self.pull.up(conn, a, now.monotonic_ms));
                fx.into_iter().flatten().for_each(|f| self.pulled(f));
            }
            NetEvent::Down { conn } => self.pull.down(conn),
            NetEvent::Frame { conn, payload } => match *payload {
                Payload::Ping { .. } => {
                    self.out.push(Out::Send(conn, Payload::Ping { no: 0 }));
                }
                Payload::Grant { no, ok, delta } => {
                    let some = delta.record.as_ref().is_some_and(|r| r.has_document);
                    if delta.record_withheld {
                        self.pull.withheld(no, now.monotonic_ms);
                    } else if self.pull.granted(no, ok, some, now.monotonic_ms) != Granted::No {
                        self.take(delta);
                    }
                }
                _ => {}
            },
        }
        std::mem::take(&mut self.out)
    }

    fn pulled(&mut self, f: SubscriptionEffect) {
        match f {
            SubscriptionEffect::Connect(a) => self.out.push(Out::Connect(a)),
            SubscriptionEffect::Disconnect(a) => self.out.push(Out::Disconnect(a)),
            SubscriptionEffect::Renew {
                conn,
                no,
                unverified,
            } => {
                // at a few dozen errands a second no two renewals tell the same
                self.running = (self.running + 7) % 97;
                self.took.iter_mut().for_each(|t| t.n += 1);
                let have = self.pull.have.clone();
                let edge_status = EdgeStatus {
                    version: self.version,
                    lease: self.version > 0,
                    running: self.running,
                    first: self.claims,
                    took: self.took.clone(),
                    ..EdgeStatus::default()
                };
                let p = Payload::Renew {
                    no,
                    have,
                    edge_status,
                    unverified,
                };
                self.out.push(Out::Send(conn, p));
            }
            _ => {}
        }
    }

    fn take(&mut self, n: StateDelta) {
        let have = &mut self.pull.have;
        if let Some(v) = n.record {
            have.record = v.revision;
            self.version = self.version.max(v.version);
        }
        if let Some(r) = n.registry {
            have.registry = r.version;
        }
        if let Some(l) = n.loads {
            have.loads = l.mark();
        }
        if let Some(s) = n.edge_sessions {
            have.edge_sessions = s.0;
        }
        if let Some((at, cores)) = n.cores {
            have.cores = at;
            let near = |(a, r): (String, u8)| a.parse().ok().map(|a| (a, r == self.me.region));
            let cores = cores.into_iter().filter_map(near).collect();
            self.pull.take_cores(cores);
        }
    }
}
