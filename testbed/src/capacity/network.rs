//! The simulated network: ordered connections with a delay by distance; every
//! frame is encoded, and decoded where its reader's host time is measured.

use super::hollow_node::{Node, NodeEffect};
use super::meter::kind;
use super::{Process, Role, SimEvent, World};
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::net::NetEvent;
use sorreldoor::types::Millis;
use sorreldoor::wire::{self, Payload};
use std::net::SocketAddr;

/// As the daemon's connections have it.
const IDLE_TIMEOUT_MS: Millis = 3000;
const SITE_MARK: &str = "press";

pub struct Connection {
    /// Process and incarnation of both ends, the client first.
    endpoints: [(usize, u64); 2],
    last_received_at: [Millis; 2],
}

/// A frame in flight; for a hollow node it is not decoded.
pub enum FrameBody {
    Packed(Vec<u8>, &'static str),
    Plain(Box<Payload>),
}

impl World {
    fn delay(&self, a: usize, b: usize) -> Millis {
        let runs = self.processes[a].region == self.processes[b].region;
        if runs {
            1
        } else {
            self.size.cross_region_ms
        }
    }

    /// Whether the two are partitioned.
    fn is_blocked(&self, a: usize, b: usize) -> bool {
        self.partitioned && (self.processes[a].region == 0) != (self.processes[b].region == 0)
    }

    fn peer(&self, p: usize) -> &'static str {
        if p < self.size.cores {
            "core"
        } else {
            "edge"
        }
    }

    pub(super) fn node_effects(&mut self, p: usize, node_effects: Vec<NodeEffect>) {
        for o in node_effects {
            match o {
                NodeEffect::Send(c, m) => self.send(p, c, m),
                NodeEffect::Connect(a) => self.peer_addresses(p, a),
                NodeEffect::Disconnect(a) => self.disconnect(p, a),
            }
        }
    }

    pub(super) fn peer_addresses(&mut self, p: usize, a: SocketAddr) {
        let incarnation = self.processes[p].incarnation;
        if self.processes[p].peer_addresses.insert(a) {
            self.connect(p, incarnation, a);
        }
    }

    /// Connects, or retries for as long as the process wants the address.
    pub(super) fn connect(&mut self, p: usize, incarnation: u64, addr: SocketAddr) {
        if !self.processes[p].peer_addresses.contains(&addr) {
            return;
        }
        let up = |q: &Process| q.addr == Some(addr) && !matches!(q.role, Role::Down);
        let to = self.processes.iter().position(up);
        let Some(t) = to.filter(|t| !self.is_blocked(p, *t)) else {
            self.after(300, SimEvent::Connect(p, incarnation, addr));
            return;
        };
        self.count += 1;
        let conn = self.count;
        let d = self.delay(p, t);
        let (tb, now) = (self.processes[t].incarnation, self.now);
        let endpoints = [(p, incarnation), (t, tb)];
        let last_received_at = [now + 2 * d; 2];
        self.connections.insert(
            conn,
            Connection {
                endpoints,
                last_received_at,
            },
        );
        self.after(d, SimEvent::Up(t, tb, conn, None));
        self.after(2 * d, SimEvent::Up(p, incarnation, conn, Some(addr)));
    }

    pub(super) fn disconnect(&mut self, p: usize, a: SocketAddr) {
        self.processes[p].peer_addresses.remove(&a);
        let mine = |l: &Connection| {
            l.endpoints[0].0 == p && self.processes[l.endpoints[1].0].addr == Some(a)
        };
        let all: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, l)| mine(l))
            .map(|(c, _)| *c)
            .collect();
        all.into_iter().for_each(|c| self.close(c));
    }

    pub(super) fn close(&mut self, conn: u64) {
        let Some(l) = self.connections.remove(&conn) else {
            return;
        };
        let [(a, ab), (b, bb)] = l.endpoints;
        let wait = if self.is_blocked(a, b) {
            IDLE_TIMEOUT_MS
        } else {
            2
        };
        self.after(wait, SimEvent::Down(a, ab, conn));
        self.after(wait, SimEvent::Down(b, bb, conn));
        if let Some(addr) = self.processes[b].addr {
            self.after(wait + 50, SimEvent::Connect(a, ab, addr));
        }
    }

    /// Closes all connections of an ended process, as its system would.
    pub(super) fn close_all(&mut self, p: usize) {
        let mine = |l: &Connection| l.endpoints.iter().any(|(q, _)| *q == p);
        let all: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, l)| mine(l))
            .map(|(c, _)| *c)
            .collect();
        all.into_iter().for_each(|c| self.close(c));
    }

    /// Closes connections that are idle for too long or whose peer is down.
    pub(super) fn close_idle_connections(&mut self) {
        let now = self.now;
        let old = |l: &Connection| {
            l.last_received_at
                .iter()
                .any(|h| now.saturating_sub(*h) > IDLE_TIMEOUT_MS)
        };
        let all: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, l)| old(l))
            .map(|(c, _)| *c)
            .collect();
        all.into_iter().for_each(|c| self.close(c));
        self.after(100, SimEvent::CloseIdle);
    }

    pub(super) fn send(&mut self, p: usize, conn: u64, payload: Payload) {
        let Some(l) = self.connections.get(&conn) else {
            return;
        };
        let half = usize::from(l.endpoints[0].0 == p);
        let t = l.endpoints[half].0;
        if self.is_blocked(p, t) {
            return;
        }
        let (me, to, k) = (self.peer(p), self.peer(t), kind(&payload));
        let parts = match &payload {
            Payload::Grant { delta, .. } => self.parts.of(p, delta),
            _ => Vec::new(),
        };
        let m = &mut self.processes[p].meter;
        let b = m.time("pack", || wire::encode_frame(SITE_MARK, &payload));
        m.flow("out", to, k, b.len());
        parts.iter().for_each(|(k, n)| m.part("out", k, *n));
        let q = &mut self.processes[t].meter;
        q.flow("in", me, k, b.len());
        parts.iter().for_each(|(k, n)| q.part("in", k, *n));
        if me == "core" || to == "core" {
            *self.by_second.entry(self.now / 1000).or_default() += b.len() as u64;
        }
        let hollow = matches!(&self.processes[t].role,
            Role::Node(n) if matches!(**n, Node::HollowNode(_)));
        // a frame too long for a receiver must be rejected here too
        let body = if hollow && b.len() - 4 <= wire::MAX_FRAME_BYTES {
            FrameBody::Plain(Box::new(payload))
        } else {
            FrameBody::Packed(b, k)
        };
        let d = self.delay(p, t);
        self.after(d, SimEvent::Frame(conn, half, body));
    }

    pub(super) fn frame(&mut self, conn: u64, half: usize, body: FrameBody) {
        let now = self.now;
        let Some(l) = self.connections.get_mut(&conn) else {
            return;
        };
        let (p, incarnation) = l.endpoints[half];
        l.last_received_at[half] = now;
        if !self.runs(p, incarnation) {
            return;
        }
        let (k, payload) = match body {
            FrameBody::Plain(p) => (kind(&p), Some(p)),
            FrameBody::Packed(b, k) => {
                let head = [b[0], b[1], b[2], b[3]];
                let m = &mut self.processes[p].meter;
                let read = || {
                    wire::frame_length(head).and_then(|_| wire::decode_frame(SITE_MARK, &b[4..]))
                };
                (k, m.time("unpack", read).ok().map(Box::new))
            }
        };
        match payload {
            Some(payload) => self.net(p, k, NetEvent::Frame { conn, payload }),
            None => {
                self.rejected_frames += 1;
                self.close(conn);
            }
        }
    }

    fn net(&mut self, p: usize, k: &'static str, n: NetEvent) {
        if p < self.size.cores {
            return self.controller(p, k, ControllerEvent::Net(n));
        }
        let now = self.clock();
        let Process { role, meter, .. } = &mut self.processes[p];
        let Role::Node(e) = role else { return };
        let was = e.version();
        let node_effects = meter.time(k, || e.net(n, now));
        let grew = e.version() > was;
        self.node_effects(p, node_effects);
        if grew {
            self.record_applied_changes();
        }
    }

    pub(super) fn up(&mut self, p: usize, conn: u64, dialled: Option<SocketAddr>) {
        self.net(p, "line", NetEvent::Up { conn, dialled });
    }

    pub(super) fn down(&mut self, p: usize, conn: u64) {
        self.net(p, "line", NetEvent::Down { conn });
    }
}
