//! Capacity measurement: a site of any size in one process and in virtual time,
//! with the cores' real controllers, many hollow nodes (edges without requests), and
//! every frame encoded as it would be sent, so that the cost of the control plane
//! can be counted and fitted to the size.

mod cli;
mod cores;
mod fault_injection;
mod hollow_node;
mod meter;
mod network;
mod regression;
mod report;
mod workload;

pub use cli::{hollow, HollowArgs};
pub use regression::{fit, read_rows, solve, FittedModel, Row};
pub use report::{dimensions, run, Heap, Report};
pub use workload::configuration;

use self::cores::Core;
use crate::rand::Rand;
use hollow_node::Node;
use meter::{Meter, Parts};
use network::{Connection, FrameBody};
use sorreldoor::configuration::Site;
use sorreldoor::runtime::Now;
use sorreldoor::types::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The fault injected after the measured window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// The leader's machine fails silently.
    Core,
    /// One node in ten is restarted at once.
    Restart,
    /// A zone's nodes and cores fail silently.
    Zone,
    /// The first region is partitioned from the rest for 20 s.
    Part,
}

/// The size of a site, its workload and its fault.
#[derive(Clone, Debug)]
pub struct Size {
    pub nodes: usize,
    pub cores: usize,
    pub regions: usize,
    pub zones: usize,
    pub workers: usize,
    pub routes: usize,
    /// Operators' changes per second, in total.
    pub changes_per_s: f64,
    /// Request ids claimed per second, in total.
    pub claims_per_s: f64,
    /// Virtual seconds that are measured, once the site is stable.
    pub seconds: u64,
    /// Nodes that run the complete edge controller; their host time is measured.
    pub full: usize,
    /// Routes, in percent, for which a node reports latencies.
    pub reported_percent: usize,
    /// One way between regions, in milliseconds.
    pub cross_region_ms: Millis,
    /// The most claimed ids that a core stores, as the setting `max_claims`.
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
            changes_per_s: 0.0,
            claims_per_s: 0.0,
            seconds: 10,
            full: 2,
            reported_percent: 100,
            cross_region_ms: 30,
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

struct Process {
    name: String,
    id: u64,
    zone: u16,
    region: u8,
    addr: Option<SocketAddr>,
    role: Role,
    incarnation: u64,
    peer_addresses: BTreeSet<SocketAddr>,
    meter: Meter,
    /// When it last had a lease, and its longest time without one.
    last_leased_at: Millis,
    without_lease_ms: Millis,
}

/// A scheduled event; the numbers are a process and its incarnation.
enum SimEvent {
    Tick(usize, u64),
    Connect(usize, u64, SocketAddr),
    Up(usize, u64, u64, Option<SocketAddr>),
    Down(usize, u64, u64),
    Frame(u64, usize, FrameBody),
    Saved(usize, u64, u64),
    PollRegistry(usize, u64),
    LoadReports(usize, u64, u64),
    Change,
    RetryChange(Pending),
    Claim,
    CloseIdle,
    Start(usize),
}

/// An operator's change that not all nodes have applied yet.
#[derive(Clone, Debug)]
struct Pending {
    request_id: u64,
    since: Millis,
    version: Option<u64>,
}

/// The simulated site.
pub struct World {
    now: Millis,
    size: Size,
    site: Arc<Site>,
    rng: Rand,
    processes: Vec<Process>,
    connections: BTreeMap<u64, Connection>,
    parts: Parts,
    queue: BTreeMap<(Millis, u64), SimEvent>,
    count: u64,
    registry: String,
    pending: Vec<Pending>,
    /// The latency of each change until it was committed, and until all nodes
    /// had applied it.
    commit_ms: Vec<Millis>,
    propagation_ms: Vec<Millis>,
    /// Frames that a receiver rejected for their length.
    rejected_frames: u64,
    partitioned: bool,
    /// Bytes by second of virtual time, over all cores.
    by_second: BTreeMap<Millis, u64>,
}

impl World {
    pub fn new(size: Size) -> World {
        let site = workload::site(&size);
        let mut world = World {
            now: 0,
            registry: workload::registry(&size, 1),
            rng: Rand::new(size.seed),
            site,
            size,
            processes: Vec::new(),
            connections: BTreeMap::new(),
            parts: Parts::default(),
            queue: BTreeMap::new(),
            count: 0,
            pending: Vec::new(),
            commit_ms: Vec::new(),
            propagation_ms: Vec::new(),
            rejected_frames: 0,
            partitioned: false,
            by_second: BTreeMap::new(),
        };
        for i in 0..world.size.cores {
            let addr = ([10, 0, 0, i as u8 + 1], 7000).into();
            world.add_process(format!("core-{i}"), i, Some(addr));
        }
        for i in 0..world.size.nodes {
            world.add_process(format!("node-{i:03}"), i, None);
        }
        for p in 0..world.processes.len() {
            let at = world.rng.below(400);
            world.at(at, SimEvent::Start(p));
        }
        world.at(500, SimEvent::CloseIdle);
        world
    }

    fn add_process(&mut self, name: String, i: usize, addr: Option<SocketAddr>) {
        let zone = (i % self.size.zones) as u16;
        let region = self.site.region_of_zone(zone).unwrap_or(0);
        self.processes.push(Process {
            name,
            id: self.rng.draw() >> 1,
            zone,
            region,
            addr,
            role: Role::Down,
            incarnation: 0,
            peer_addresses: BTreeSet::new(),
            meter: Meter::default(),
            last_leased_at: 0,
            without_lease_ms: 0,
        });
    }

    fn cores(&self) -> std::ops::Range<usize> {
        0..self.size.cores
    }

    fn nodes(&self) -> std::ops::Range<usize> {
        self.size.cores..self.processes.len()
    }

    fn clock(&self) -> Now {
        Now {
            monotonic_ms: self.now,
            wall: self.now as i64,
        }
    }

    fn at(&mut self, at: Millis, a: SimEvent) {
        self.count += 1;
        self.queue.insert((at.max(self.now), self.count), a);
    }

    fn after(&mut self, ms: Millis, a: SimEvent) {
        self.at(self.now + ms, a);
    }

    /// Runs until `end`, or until `f` holds; checks `f` every 100 ms.
    fn run_until(&mut self, end: Millis, f: impl Fn(&World) -> bool) -> bool {
        let mut next_check = self.now;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            if at >= next_check {
                next_check = at + 100;
                if f(self) {
                    return true;
                }
            }
            self.now = self.now.max(at);
            if let Some((_, a)) = self.queue.pop_first() {
                self.handle(a);
            }
        }
        self.now = self.now.max(end);
        f(self)
    }

    fn runs(&self, p: usize, incarnation: u64) -> bool {
        self.processes[p].incarnation == incarnation
            && !matches!(self.processes[p].role, Role::Down)
    }

    fn handle(&mut self, a: SimEvent) {
        match a {
            SimEvent::Start(p) => self.start(p),
            SimEvent::Tick(p, b) if self.runs(p, b) => self.tick(p, b),
            SimEvent::Connect(p, b, a) if self.runs(p, b) => self.connect(p, b, a),
            SimEvent::Up(p, b, conn, dialled) if self.runs(p, b) => self.up(p, conn, dialled),
            SimEvent::Down(p, b, conn) if self.runs(p, b) => self.down(p, conn),
            SimEvent::Frame(conn, half, body) => self.frame(conn, half, body),
            SimEvent::Saved(p, b, seq) if self.runs(p, b) => self.save_synced(p, seq),
            SimEvent::PollRegistry(p, b) if self.runs(p, b) => self.poll_registry(p, b),
            SimEvent::LoadReports(p, b, epoch) if self.runs(p, b) => {
                self.receive_load_reports(p, epoch)
            }
            SimEvent::Change => self.operator_change(),
            SimEvent::RetryChange(c) => self.propose(c),
            SimEvent::Claim => self.claim(),
            SimEvent::CloseIdle => self.close_idle_connections(),
            _ => {}
        }
    }

    fn start(&mut self, p: usize) {
        let incarnation = self.rng.draw() >> 1;
        self.processes[p].incarnation = incarnation;
        self.processes[p].peer_addresses.clear();
        if p < self.size.cores {
            self.start_core(p, incarnation);
        } else {
            self.start_node(p, incarnation);
        }
        let wait = self.rng.below(20);
        self.after(wait, SimEvent::Tick(p, incarnation));
    }

    fn start_node(&mut self, p: usize, incarnation: u64) {
        let seeds = self.seeds();
        let route_latencies = workload::route_latencies(&self.size, &mut self.rng);
        let (me, now) = (self.hello(p, incarnation), self.clock());
        let runs_full_edge = p - self.size.cores < self.size.full;
        let node = if runs_full_edge {
            Node::full(me, &seeds, route_latencies, now, self.site.clone())
        } else {
            Node::new(me, &seeds, route_latencies, now)
        };
        self.processes[p].last_leased_at = self.now;
        self.processes[p].role = Role::Node(Box::new(node));
    }

    fn tick(&mut self, p: usize, incarnation: u64) {
        let now = self.clock();
        let at = self.now;
        let q = &mut self.processes[p];
        let node_effects = match &mut q.role {
            Role::Node(n) => {
                let node_effects = q.meter.time("alarm", || n.tick(now));
                if n.lease(at) {
                    q.last_leased_at = at;
                }
                q.without_lease_ms = q.without_lease_ms.max(at.saturating_sub(q.last_leased_at));
                node_effects
            }
            _ => Vec::new(),
        };
        let every = if p < self.size.cores { 10 } else { 20 };
        self.after(every, SimEvent::Tick(p, incarnation));
        if p < self.size.cores {
            return self.controller(p, "alarm", sorreldoor::control_plane::ControllerEvent::Tick);
        }
        self.node_effects(p, node_effects);
    }
}
