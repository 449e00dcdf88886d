//! A site of any size in one process and in virtual time: the cores' real
//! reducers, before them many hollow nodes, and every frame packed as it would
//! be sent, so that what control costs can be counted and its slopes fitted.

mod cli;
mod core;
mod fault;
mod fit;
mod given;
mod lines;
mod meter;
mod node;
mod report;

pub use cli::{hollow, HollowArgs};
pub use fit::{fit, read_rows, solve, Found, Row};
pub use given::configuration;
pub use report::{dims, run, Heap, Report};

use self::core::Core;
use crate::rand::Rand;
use lines::{Body, Line};
use meter::{Meter, Parts};
use node::Node;
use sorreldoor::configuration::Site;
use sorreldoor::runtime::Now;
use sorreldoor::types::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// What befalls the site after the measured window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// The leader's machine stops without a word.
    Core,
    /// One node in ten is restarted at once.
    Restart,
    /// A zone's nodes and cores stop without a word.
    Zone,
    /// The first region and the rest lose each other for 20 s.
    Part,
}

/// How large a site is, and what happens in it.
#[derive(Clone, Debug)]
pub struct Size {
    pub nodes: usize,
    pub cores: usize,
    pub regions: usize,
    pub zones: usize,
    pub workers: usize,
    pub routes: usize,
    /// Operators' changes a second over the whole site.
    pub changes: f64,
    /// Errand ids claimed a second over the whole site.
    pub claims: f64,
    /// Virtual seconds that are measured, after the site has settled.
    pub seconds: u64,
    /// Nodes that run the edge's whole reducer; their host time is measured.
    pub full: usize,
    /// Routes, in percent, of which a node tells what its errands took.
    pub told: usize,
    /// One way between regions, in milliseconds.
    pub far: Millis,
    /// Ids a core remembers at most, as the setting of that name.
    pub most_claims: usize,
    pub seed: u64,
    pub fault: Fault,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            nodes: 12,
            cores: 3,
            regions: 3,
            zones: 6,
            workers: 18,
            routes: 8,
            changes: 0.0,
            claims: 0.0,
            seconds: 10,
            full: 2,
            told: 100,
            far: 30,
            most_claims: 200_000,
            seed: 1,
            fault: Fault::None,
        }
    }
}

enum Role {
    Down,
    Core(Box<Core>),
    Node(Box<Node>),
}

struct Proc {
    name: String,
    id: u64,
    zone: u16,
    region: u8,
    addr: Option<SocketAddr>,
    role: Role,
    incarnation: u64,
    peer_addresses: BTreeSet<SocketAddr>,
    meter: Meter,
    /// When it last held a permit, and how long it had to do without.
    lit: Millis,
    dark: Millis,
}

/// What is due at a time.
enum Act {
    Tick(usize, u64),
    Connect(usize, u64, SocketAddr),
    Up(usize, u64, u64, Option<SocketAddr>),
    Down(usize, u64, u64),
    Frame(u64, usize, Body),
    Saved(usize, u64, u64),
    Poll(usize, u64),
    Rows(usize, u64, u64),
    Change,
    Again(Pending),
    Claim,
    Watch,
    Start(usize),
}

/// An operator's change that is not in force everywhere yet.
#[derive(Clone, Debug)]
struct Pending {
    request_id: u64,
    since: Millis,
    version: Option<u64>,
}

pub struct World {
    now: Millis,
    size: Size,
    site: Arc<Site>,
    rng: Rand,
    procs: Vec<Proc>,
    lines: BTreeMap<u64, Line>,
    parts: Parts,
    queue: BTreeMap<(Millis, u64), Act>,
    count: u64,
    registry: String,
    pending: Vec<Pending>,
    /// How long each change took to be acked, and to be everywhere.
    acked: Vec<Millis>,
    spread: Vec<Millis>,
    /// Frames that a receiver would not take for their length.
    refused: u64,
    parted: bool,
    /// Bytes by second of virtual time, over all cores.
    by_second: BTreeMap<Millis, u64>,
}

impl World {
    pub fn new(size: Size) -> World {
        let site = given::site(&size);
        let mut w = World {
            now: 0,
            registry: given::registry(&size, 1),
            rng: Rand::new(size.seed),
            site,
            size,
            procs: Vec::new(),
            lines: BTreeMap::new(),
            parts: Parts::default(),
            queue: BTreeMap::new(),
            count: 0,
            pending: Vec::new(),
            acked: Vec::new(),
            spread: Vec::new(),
            refused: 0,
            parted: false,
            by_second: BTreeMap::new(),
        };
        for i in 0..w.size.cores {
            let addr = ([10, 0, 0, i as u8 + 1], 7000).into();
            w.lay(format!("core-{i}"), i, Some(addr));
        }
        for i in 0..w.size.nodes {
            w.lay(format!("node-{i:03}"), i, None);
        }
        for p in 0..w.procs.len() {
            let at = w.rng.below(400);
            w.at(at, Act::Start(p));
        }
        w.at(500, Act::Watch);
        w
    }

    fn lay(&mut self, name: String, i: usize, addr: Option<SocketAddr>) {
        let zone = (i % self.size.zones) as u16;
        let region = self.site.region_of_zone(zone).unwrap_or(0);
        self.procs.push(Proc {
            name,
            id: self.rng.draw() >> 1,
            zone,
            region,
            addr,
            role: Role::Down,
            incarnation: 0,
            peer_addresses: BTreeSet::new(),
            meter: Meter::default(),
            lit: 0,
            dark: 0,
        });
    }

    fn cores(&self) -> std::ops::Range<usize> {
        0..self.size.cores
    }

    fn nodes(&self) -> std::ops::Range<usize> {
        self.size.cores..self.procs.len()
    }

    fn clock(&self) -> Now {
        Now {
            monotonic_ms: self.now,
            wall: self.now as i64,
        }
    }

    fn at(&mut self, at: Millis, a: Act) {
        self.count += 1;
        self.queue.insert((at.max(self.now), self.count), a);
    }

    fn after(&mut self, ms: Millis, a: Act) {
        self.at(self.now + ms, a);
    }

    /// Run until `end`, or until `f` holds at a whole tenth of a second.
    fn until(&mut self, end: Millis, f: impl Fn(&World) -> bool) -> bool {
        let mut look = self.now;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            if at >= look {
                look = at + 100;
                if f(self) {
                    return true;
                }
            }
            self.now = self.now.max(at);
            if let Some((_, a)) = self.queue.pop_first() {
                self.act(a);
            }
        }
        self.now = self.now.max(end);
        f(self)
    }

    fn same(&self, p: usize, incarnation: u64) -> bool {
        self.procs[p].incarnation == incarnation && !matches!(self.procs[p].role, Role::Down)
    }

    fn act(&mut self, a: Act) {
        match a {
            Act::Start(p) => self.start(p),
            Act::Tick(p, b) if self.same(p, b) => self.tick(p, b),
            Act::Connect(p, b, a) if self.same(p, b) => self.dial(p, b, a),
            Act::Up(p, b, conn, dialled) if self.same(p, b) => self.up(p, conn, dialled),
            Act::Down(p, b, conn) if self.same(p, b) => self.down(p, conn),
            Act::Frame(conn, half, body) => self.frame(conn, half, body),
            Act::Saved(p, b, seq) if self.same(p, b) => self.saved(p, seq),
            Act::Poll(p, b) if self.same(p, b) => self.poll(p, b),
            Act::Rows(p, b, epoch) if self.same(p, b) => self.rows(p, epoch),
            Act::Change => self.change(),
            Act::Again(c) => self.propose(c),
            Act::Claim => self.claim(),
            Act::Watch => self.watch(),
            _ => {}
        }
    }

    fn start(&mut self, p: usize) {
        let incarnation = self.rng.draw() >> 1;
        self.procs[p].incarnation = incarnation;
        self.procs[p].peer_addresses.clear();
        if p < self.size.cores {
            self.start_core(p, incarnation);
        } else {
            self.start_node(p, incarnation);
        }
        let wait = self.rng.below(20);
        self.after(wait, Act::Tick(p, incarnation));
    }

    fn start_node(&mut self, p: usize, incarnation: u64) {
        let seeds = self.seeds();
        let took = given::took(&self.size, &mut self.rng);
        let (me, now) = (self.hello(p, incarnation), self.clock());
        let whole = p - self.size.cores < self.size.full;
        let node = if whole {
            Node::full(me, &seeds, took, now, self.site.clone())
        } else {
            Node::new(me, &seeds, took, now)
        };
        self.procs[p].lit = self.now;
        self.procs[p].role = Role::Node(Box::new(node));
    }

    fn tick(&mut self, p: usize, incarnation: u64) {
        let now = self.clock();
        let at = self.now;
        let q = &mut self.procs[p];
        let outs = match &mut q.role {
            Role::Node(n) => {
                let outs = q.meter.time("alarm", || n.tick(now));
                if n.lease(at) {
                    q.lit = at;
                }
                q.dark = q.dark.max(at.saturating_sub(q.lit));
                outs
            }
            _ => Vec::new(),
        };
        let every = if p < self.size.cores { 10 } else { 20 };
        self.after(every, Act::Tick(p, incarnation));
        if p < self.size.cores {
            return self.controller(p, "alarm", sorreldoor::control_plane::ControllerEvent::Tick);
        }
        self.outs(p, outs);
    }
}
