//! Connections of a hollow site: ordered, delayed by distance, every frame
//! packed, and unpacked again where its reader's host time counts.

use super::meter::kind;
use super::node::{Node, Out};
use super::{Act, Proc, Role, World};
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::net::NetEvent;
use sorreldoor::types::Millis;
use sorreldoor::wire::{self, Payload};
use std::net::SocketAddr;

/// As the daemon's connections have it.
const IDLE: Millis = 3000;
const MARK: &str = "press";

pub struct Line {
    /// The one that dialled comes first.
    ends: [(usize, u64); 2],
    heard: [Millis; 2],
}

/// A frame on its way; what a hollow node reads need not be decoded again.
pub enum Body {
    Packed(Vec<u8>, &'static str),
    Plain(Box<Payload>),
}

impl World {
    fn delay(&self, a: usize, b: usize) -> Millis {
        let same = self.procs[a].region == self.procs[b].region;
        if same {
            1
        } else {
            self.size.far
        }
    }

    /// Whether nothing passes between the two now.
    fn cut(&self, a: usize, b: usize) -> bool {
        self.parted && (self.procs[a].region == 0) != (self.procs[b].region == 0)
    }

    fn peer(&self, p: usize) -> &'static str {
        if p < self.size.cores {
            "core"
        } else {
            "edge"
        }
    }

    pub(super) fn outs(&mut self, p: usize, outs: Vec<Out>) {
        for o in outs {
            match o {
                Out::Send(c, m) => self.send(p, c, m),
                Out::Connect(a) => self.peer_addresses(p, a),
                Out::Disconnect(a) => self.undial(p, a),
            }
        }
    }

    pub(super) fn peer_addresses(&mut self, p: usize, a: SocketAddr) {
        let incarnation = self.procs[p].incarnation;
        if self.procs[p].peer_addresses.insert(a) {
            self.dial(p, incarnation, a);
        }
    }

    /// Keep trying to connect for as long as the process wants the address.
    pub(super) fn dial(&mut self, p: usize, incarnation: u64, addr: SocketAddr) {
        if !self.procs[p].peer_addresses.contains(&addr) {
            return;
        }
        let up = |q: &Proc| q.addr == Some(addr) && !matches!(q.role, Role::Down);
        let to = self.procs.iter().position(up);
        let Some(t) = to.filter(|t| !self.cut(p, *t)) else {
            self.after(300, Act::Connect(p, incarnation, addr));
            return;
        };
        self.count += 1;
        let conn = self.count;
        let d = self.delay(p, t);
        let (tb, now) = (self.procs[t].incarnation, self.now);
        let ends = [(p, incarnation), (t, tb)];
        let heard = [now + 2 * d; 2];
        self.lines.insert(conn, Line { ends, heard });
        self.after(d, Act::Up(t, tb, conn, None));
        self.after(2 * d, Act::Up(p, incarnation, conn, Some(addr)));
    }

    pub(super) fn undial(&mut self, p: usize, a: SocketAddr) {
        self.procs[p].peer_addresses.remove(&a);
        let mine = |l: &Line| l.ends[0].0 == p && self.procs[l.ends[1].0].addr == Some(a);
        let all: Vec<u64> = self
            .lines
            .iter()
            .filter(|(_, l)| mine(l))
            .map(|(c, _)| *c)
            .collect();
        all.into_iter().for_each(|c| self.close(c));
    }

    pub(super) fn close(&mut self, conn: u64) {
        let Some(l) = self.lines.remove(&conn) else {
            return;
        };
        let [(a, ab), (b, bb)] = l.ends;
        let wait = if self.cut(a, b) { IDLE } else { 2 };
        self.after(wait, Act::Down(a, ab, conn));
        self.after(wait, Act::Down(b, bb, conn));
        if let Some(addr) = self.procs[b].addr {
            self.after(wait + 50, Act::Connect(a, ab, addr));
        }
    }

    /// Every line of a process that ended, as its system would close them.
    pub(super) fn close_all(&mut self, p: usize) {
        let mine = |l: &Line| l.ends.iter().any(|(q, _)| *q == p);
        let all: Vec<u64> = self
            .lines
            .iter()
            .filter(|(_, l)| mine(l))
            .map(|(c, _)| *c)
            .collect();
        all.into_iter().for_each(|c| self.close(c));
    }

    /// Lines that were silent for too long, and those of what is no more.
    pub(super) fn watch(&mut self) {
        let now = self.now;
        let old = |l: &Line| l.heard.iter().any(|h| now.saturating_sub(*h) > IDLE);
        let all: Vec<u64> = self
            .lines
            .iter()
            .filter(|(_, l)| old(l))
            .map(|(c, _)| *c)
            .collect();
        all.into_iter().for_each(|c| self.close(c));
        self.after(100, Act::Watch);
    }

    pub(super) fn send(&mut self, p: usize, conn: u64, payload: Payload) {
        let Some(l) = self.lines.get(&conn) else {
            return;
        };
        let half = usize::from(l.ends[0].0 == p);
        let t = l.ends[half].0;
        if self.cut(p, t) {
            return;
        }
        let (me, to, k) = (self.peer(p), self.peer(t), kind(&payload));
        let parts = match &payload {
            Payload::Grant { delta, .. } => self.parts.of(p, delta),
            _ => Vec::new(),
        };
        let m = &mut self.procs[p].meter;
        let b = m.time("pack", || wire::pack(MARK, &payload));
        m.flow("out", to, k, b.len());
        parts.iter().for_each(|(k, n)| m.part("out", k, *n));
        let q = &mut self.procs[t].meter;
        q.flow("in", me, k, b.len());
        parts.iter().for_each(|(k, n)| q.part("in", k, *n));
        if me == "core" || to == "core" {
            *self.by_second.entry(self.now / 1000).or_default() += b.len() as u64;
        }
        let hollow = matches!(&self.procs[t].role,
            Role::Node(n) if matches!(**n, Node::Hollow(_)));
        // what a receiver would not take for its length must end here too
        let body = if hollow && b.len() - 4 <= wire::MOST_FRAME {
            Body::Plain(Box::new(payload))
        } else {
            Body::Packed(b, k)
        };
        let d = self.delay(p, t);
        self.after(d, Act::Frame(conn, half, body));
    }

    pub(super) fn frame(&mut self, conn: u64, half: usize, body: Body) {
        let now = self.now;
        let Some(l) = self.lines.get_mut(&conn) else {
            return;
        };
        let (p, incarnation) = l.ends[half];
        l.heard[half] = now;
        if !self.same(p, incarnation) {
            return;
        }
        let (k, payload) = match body {
            Body::Plain(p) => (kind(&p), Some(p)),
            Body::Packed(b, k) => {
                let head = [b[0], b[1], b[2], b[3]];
                let m = &mut self.procs[p].meter;
                let read = || wire::length(head).and_then(|_| wire::unpack(MARK, &b[4..]));
                (k, m.time("unpack", read).ok().map(Box::new))
            }
        };
        match payload {
            Some(payload) => self.net(p, k, NetEvent::Frame { conn, payload }),
            None => {
                self.refused += 1;
                self.close(conn);
            }
        }
    }

    fn net(&mut self, p: usize, k: &'static str, n: NetEvent) {
        if p < self.size.cores {
            return self.controller(p, k, ControllerEvent::Net(n));
        }
        let now = self.clock();
        let Proc { role, meter, .. } = &mut self.procs[p];
        let Role::Node(e) = role else { return };
        let was = e.version();
        let outs = meter.time(k, || e.net(n, now));
        let grew = e.version() > was;
        self.outs(p, outs);
        if grew {
            self.everywhere();
        }
    }

    pub(super) fn up(&mut self, p: usize, conn: u64, dialled: Option<SocketAddr>) {
        self.net(p, "line", NetEvent::Up { conn, dialled });
    }

    pub(super) fn down(&mut self, p: usize, conn: u64) {
        self.net(p, "line", NetEvent::Down { conn });
    }
}
