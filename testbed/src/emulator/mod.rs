//! A deterministic discrete-event emulation of a site: proxy nodes that run the real
//! load balancer, emulated workers with and without inference engines, clients, and
//! faults. Events in virtual time replace the sockets, so that policies are compared
//! and invariants checked at the size of a whole site within seconds.

mod baseline;
mod check;
mod clients;
mod control_plane;
mod deployments;
mod drawn;
mod engine;
mod faults;
mod mix;
mod node;
mod policy;
mod random_faults;
mod responses;
mod statistics;
mod value;
mod violation;
mod worker;
mod worker_lifecycle;

pub use check::check;
pub use deployments::{three_region_mix, two_region_mix, uneven_region_mix};
pub use drawn::drawn_mix;
pub use engine::{Engine, EngineEvent, Task};
pub use mix::*;
pub use policy::{Policy, PolicyKind, Violation};
pub use random_faults::random_faults;
pub use statistics::RunStatistics;
pub use value::{EarnedValue, ValueByKind};

use crate::rand::Rand;
use clients::{ClientAttempt, ClientMessage, ClientRequest};
use node::{Node, WorkerAttempt};
use sorreldoor::balancer::LoadReport;
use sorreldoor::configuration::hosted::Hosted;
use sorreldoor::discovery::WorkerRegistry;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use worker::EmulatedWorker;

/// Virtual time in microseconds.
pub type Micros = u64;

/// Converts milliseconds to virtual time.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1000.0) as Micros
}

/// A message from a worker on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum WorkerMessage {
    /// The head of the response.
    Head(LoadReport),
    Event(u32),
    /// The body of a plain response, or the end of the stream.
    End,
    Rejected(LoadReport),
    Misdirected,
    /// Status 504: the deadline passed while the request ran.
    TimedOut,
    Reset,
    /// Bytes that are no valid response.
    Garbled,
}

/// An update from the control plane to a node.
#[derive(Clone)]
pub(crate) enum ControlUpdate {
    Hosted(Arc<Hosted>),
    WorkerRegistry(Arc<WorkerRegistry>),
    Evacuated(Vec<u16>),
    Nodes(Vec<(String, u16)>),
}

/// An event of the simulation; `u32` after a node is the node's incarnation.
pub(crate) enum SimEvent {
    /// A candidate for an arrival in this zone; thinning decides whether a request arrives.
    NextArrival(usize),
    RequestArrived(usize, u32, usize),
    ClientDisconnected(usize, u32, usize),
    Syn(u64),
    SynAck(u64, bool),
    RequestReceived(u64),
    EngineEnqueue(u64),
    Close(u64),
    EngineStep(usize),
    PlainWorkDone(u64),
    FromWorker(u64, WorkerMessage),
    Timer(u64),
    WaitOver(usize, u32, u64, u64),
    ControlUpdate(usize, u32, ControlUpdate),
    ClientMessage(usize, ClientMessage),
    ClientTimeout(usize),
    Call(Box<dyn FnOnce(&mut World)>),
}

/// An event with its time; `number` orders events of the same time.
struct ScheduledEvent {
    at: Micros,
    number: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, o: &ScheduledEvent) -> bool {
        self.number == o.number
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, o: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, o: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(o.at, o.number))
    }
}

/// The arrival of an attempt at a worker, for the checks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When the node sent it, and when it arrived.
    pub sent: Micros,
    pub at: Micros,
    pub node: usize,
    pub worker: usize,
    pub client_attempt: usize,
    pub misdirected: bool,
}

/// An evacuation of a zone: when it was acknowledged, and when it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evacuation {
    pub zone: u16,
    pub from: Micros,
    pub to: Micros,
}

/// The state of a run: the site, the event queue, and what the checks need.
pub struct World {
    pub(crate) now: Micros,
    pub(crate) rng: Rand,
    /// Separate generator of arrivals, so that all policies get the same requests.
    pub(crate) arrival_rng: Rand,
    pub(crate) mix: Arc<Mix>,
    pub(crate) policy_kind: PolicyKind,
    pub(crate) seed: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) workers: Vec<EmulatedWorker>,
    pub(crate) by_addr: HashMap<SocketAddr, usize>,
    pub(crate) by_name: HashMap<String, usize>,
    pub(crate) client_requests: Vec<ClientRequest>,
    pub(crate) client_attempts: Vec<ClientAttempt>,
    pub(crate) worker_attempts: Vec<WorkerAttempt>,
    pub(crate) registry: Arc<WorkerRegistry>,
    /// Configurations with the time of their acknowledgement.
    pub(crate) configuration_versions: Vec<(Micros, Arc<Hosted>)>,
    pub(crate) evacuated: Vec<u16>,
    pub(crate) evacuations: Vec<Evacuation>,
    pub(crate) arrivals: Vec<Arrival>,
    /// Ready nodes, as the directory of nodes lists them.
    pub(crate) ready: Vec<usize>,
    /// Shared segments that some worker of a service has prefilled, by service.
    pub(crate) prefilled_segments: HashSet<(usize, u64)>,
    pub(crate) statistics: RunStatistics,
    /// Violations of invariants found during the run.
    pub(crate) violations: BTreeSet<String>,
    /// Factors on the arrival rates, by kind of request.
    pub(crate) rate_factors: Vec<f64>,
    /// The zone that the clients of each zone use.
    pub(crate) zone_redirects: Vec<usize>,
    /// Addresses of ended workers, with the time of their end.
    pub(crate) free_addresses: Vec<(Micros, SocketAddr)>,
    pub(crate) addresses_created: u32,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    event_count: u64,
}

impl World {
    pub fn new(seed: u64, mix: Mix, policy_kind: PolicyKind) -> World {
        let mix = Arc::new(mix);
        let mut w = World {
            now: 0,
            rng: Rand::new(seed),
            arrival_rng: Rand::new(seed ^ 0xa5_0000),
            policy_kind,
            seed,
            nodes: Vec::new(),
            workers: Vec::new(),
            by_addr: HashMap::new(),
            by_name: HashMap::new(),
            client_requests: Vec::new(),
            client_attempts: Vec::new(),
            worker_attempts: Vec::new(),
            registry: Arc::default(),
            configuration_versions: Vec::new(),
            evacuated: Vec::new(),
            evacuations: Vec::new(),
            arrivals: Vec::new(),
            ready: Vec::new(),
            prefilled_segments: HashSet::new(),
            statistics: RunStatistics::default(),
            violations: BTreeSet::new(),
            rate_factors: vec![1.0; mix.classes.len()],
            zone_redirects: (0..mix.zones.len()).collect(),
            free_addresses: Vec::new(),
            addresses_created: 0,
            queue: BinaryHeap::new(),
            event_count: 0,
            mix,
        };
        w.create_workers();
        w.configuration_versions.push((0, Arc::new(w.hosted())));
        w.create_nodes();
        let at = micros(10_000.0);
        (0..w.mix.zones.len()).for_each(|z| w.push(at, SimEvent::NextArrival(z)));
        for t in w.mix.faults.clone() {
            w.call_at(at + micros(t.at_s * 1000.0), move |w| w.inject_fault(&t));
        }
        w
    }

    /// Runs until no event is left; returns the final state.
    pub fn run(mut self) -> World {
        while let Some(Reverse(i)) = self.queue.pop() {
            self.now = i.at;
            self.step(i.event);
        }
        self.statistics.set_duration(self.now);
        self
    }

    /// The virtual time in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now / 1000
    }

    /// The end of arrivals.
    pub(crate) fn arrivals_end(&self) -> Micros {
        micros(10_000.0 + self.mix.seconds * 1000.0)
    }

    /// Schedules an event, no earlier than now.
    pub(crate) fn push(&mut self, at: Micros, event: SimEvent) {
        self.event_count += 1;
        let (at, number) = (at.max(self.now), self.event_count);
        self.queue
            .push(Reverse(ScheduledEvent { at, number, event }));
    }

    pub(crate) fn call_at(&mut self, at: Micros, f: impl FnOnce(&mut World) + 'static) {
        self.push(at, SimEvent::Call(Box::new(f)));
    }

    /// One-way network delay between two zones.
    pub(crate) fn delay(&self, a: u16, b: u16) -> Micros {
        let m = &self.mix;
        micros(match (a == b, m.zones[a as usize] == m.zones[b as usize]) {
            (true, _) => m.same_zone_ms,
            (_, true) => m.same_region_ms,
            _ => m.cross_region_ms,
        })
    }

    /// The node that an event is for, and its incarnation.
    fn target(&self, ev: &SimEvent) -> Option<(usize, u32)> {
        match ev {
            SimEvent::RequestArrived(n, l, _)
            | SimEvent::ClientDisconnected(n, l, _)
            | SimEvent::WaitOver(n, l, ..)
            | SimEvent::ControlUpdate(n, l, _) => Some((*n, *l)),
            SimEvent::SynAck(s, _) | SimEvent::FromWorker(s, _) | SimEvent::Timer(s) => {
                let s = &self.worker_attempts[*s as usize];
                Some((s.node, s.incarnation))
            }
            _ => None,
        }
    }

    fn step(&mut self, ev: SimEvent) {
        if let Some((n, incarnation)) = self.target(&ev) {
            let x = &self.nodes[n];
            if x.up && x.frozen_until > self.now {
                // the socket buffers of a frozen machine keep what arrives
                let at = x.frozen_until;
                return self.push(at, ev);
            }
            if !x.up || x.incarnation != incarnation {
                if let SimEvent::RequestArrived(_, _, t) = ev {
                    let at = self.now + micros(self.mix.client_ms);
                    self.push(at, SimEvent::ClientMessage(t, ClientMessage::Cut));
                }
                return;
            }
        }
        match ev {
            SimEvent::NextArrival(z) => self.next_arrival(z),
            SimEvent::RequestArrived(n, _, t) => self.request_arrived(n, t),
            SimEvent::ClientDisconnected(n, _, t) => self.client_disconnected(n, t),
            SimEvent::Syn(s) => self.syn(s),
            SimEvent::SynAck(s, ok) => self.syn_ack(s, ok),
            SimEvent::RequestReceived(s) => self.request_received(s),
            SimEvent::EngineEnqueue(s) => self.enqueue_at_engine(s),
            SimEvent::Close(s) => self.connection_closed(s),
            SimEvent::EngineStep(w) => self.engine_step_done(w),
            SimEvent::PlainWorkDone(s) => self.plain_work_done(s),
            SimEvent::FromWorker(s, a) => self.worker_message(s, a),
            SimEvent::Timer(s) => self.timer(s),
            SimEvent::WaitOver(n, _, request_id, number) => self.wait_over(n, request_id, number),
            SimEvent::ControlUpdate(n, _, x) => self.apply_update(n, x),
            SimEvent::ClientMessage(t, m) => self.client_receives(t, m),
            SimEvent::ClientTimeout(t) => self.client_timeout(t),
            SimEvent::Call(f) => f(self),
        }
    }
}
