//! A site of proxy nodes in virtual time: the product's own tables, one at each
//! node, before stand-in model workers and plain ones that can all fail. It
//! plays what the proxy does with sockets, so that placement can be compared
//! and rules be checked at full size within seconds.

mod breach;
mod check;
mod client;
mod control;
mod engine;
mod lives;
mod mix;
mod node;
mod policy;
mod relay;
mod simple;
mod storm;
mod tally;
mod trouble;
mod worker;

pub use check::check;
pub use engine::{Engine, Out, Task};
pub use mix::*;
pub use policy::{Breach, Invariant, Policy};
pub use storm::storm;
pub use tally::Tally;

use crate::rand::Rand;
use client::{Ask, ToClient, Try};
use node::{Node, Send};
use sorreldoor::balancer::LoadReport;
use sorreldoor::configuration::hosted::Hosted;
use sorreldoor::discovery::WorkerRegistry;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use worker::Wk;

/// Virtual time in microseconds.
pub type Us = u64;

pub(crate) fn us(ms: f64) -> Us {
    (ms.max(0.0) * 1000.0) as Us
}

/// What comes from a worker on a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Ans {
    Head(LoadReport),
    Event(u32),
    /// The whole answer, or the end of the stream.
    End,
    NotRun(LoadReport),
    Misdirected,
    /// Its own failure, after it ran.
    Fail,
    Reset,
    Garbled,
}

/// What a node hears from the control plane.
#[derive(Clone)]
pub(crate) enum ControlUpdate {
    Hosted(Arc<Hosted>),
    WorkerRegistry(Arc<WorkerRegistry>),
    Evacuated(Vec<u16>),
    Nodes(Vec<(String, u16)>),
}

pub(crate) enum Ev {
    /// A caller of this zone may ask.
    Next(usize),
    Ask(usize, u32, usize),
    Gone(usize, u32, usize),
    Syn(u64),
    SynAck(u64, bool),
    Work(u64),
    Join(u64),
    Close(u64),
    Step(usize),
    Served(u64),
    Ans(u64, Ans),
    Timer(u64),
    Wake(usize, u32, u64, u64),
    ControlUpdate(usize, u32, ControlUpdate),
    Client(usize, ToClient),
    Patience(usize),
    Act(Box<dyn FnOnce(&mut World)>),
}

struct Item {
    at: Us,
    no: u64,
    ev: Ev,
}

impl PartialEq for Item {
    fn eq(&self, o: &Item) -> bool {
        self.no == o.no
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, o: &Item) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Item {
    fn cmp(&self, o: &Item) -> std::cmp::Ordering {
        (self.at, self.no).cmp(&(o.at, o.no))
    }
}

/// A request as it came to a worker's door.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// When the node sent it, and when it came.
    pub sent: Us,
    pub at: Us,
    pub node: usize,
    pub worker: usize,
    pub attempt: usize,
    pub misdirected: bool,
}

/// A zone that was emptied: when that was acknowledged, and taken back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evac {
    pub zone: u16,
    pub from: Us,
    pub to: Us,
}

pub struct World {
    pub(crate) now: Us,
    pub(crate) rng: Rand,
    /// For what is asked alone, so that all policies are asked the same.
    pub(crate) asking: Rand,
    pub(crate) mix: Arc<Mix>,
    pub(crate) rule: Invariant,
    pub(crate) seed: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) workers: Vec<Wk>,
    pub(crate) by_addr: HashMap<SocketAddr, usize>,
    pub(crate) by_name: HashMap<String, usize>,
    pub(crate) asks: Vec<Ask>,
    pub(crate) tries: Vec<Try>,
    pub(crate) sends: Vec<Send>,
    pub(crate) registry: Arc<WorkerRegistry>,
    /// Configurations with the time of their acknowledgement.
    pub(crate) versions: Vec<(Us, Arc<Hosted>)>,
    pub(crate) evacuated: Vec<u16>,
    pub(crate) evacs: Vec<Evac>,
    pub(crate) arrivals: Vec<Arrival>,
    /// Nodes as the directory gives them out.
    pub(crate) ready: Vec<usize>,
    /// Shared parts that some worker of a service has read.
    pub(crate) read: HashSet<(usize, u64)>,
    pub(crate) tally: Tally,
    /// What was seen at once to be wrong.
    pub(crate) wrong: BTreeSet<String>,
    /// Rates times these, by kind of request; and who moved where.
    pub(crate) crowd: Vec<f64>,
    pub(crate) moved: Vec<usize>,
    /// Addresses that ended workers left, with the time.
    pub(crate) spare: Vec<(Us, SocketAddr)>,
    pub(crate) addrs: u32,
    queue: BinaryHeap<Reverse<Item>>,
    count: u64,
}

impl World {
    pub fn new(seed: u64, mix: Mix, rule: Invariant) -> World {
        let mix = Arc::new(mix);
        let mut w = World {
            now: 0,
            rng: Rand::new(seed),
            asking: Rand::new(seed ^ 0xa5_0000),
            rule,
            seed,
            nodes: Vec::new(),
            workers: Vec::new(),
            by_addr: HashMap::new(),
            by_name: HashMap::new(),
            asks: Vec::new(),
            tries: Vec::new(),
            sends: Vec::new(),
            registry: Arc::default(),
            versions: Vec::new(),
            evacuated: Vec::new(),
            evacs: Vec::new(),
            arrivals: Vec::new(),
            ready: Vec::new(),
            read: HashSet::new(),
            tally: Tally::default(),
            wrong: BTreeSet::new(),
            crowd: vec![1.0; mix.classes.len()],
            moved: (0..mix.zones.len()).collect(),
            spare: Vec::new(),
            addrs: 0,
            queue: BinaryHeap::new(),
            count: 0,
            mix,
        };
        w.lay_workers();
        w.versions.push((0, Arc::new(w.hosted())));
        w.lay_nodes();
        let at = us(10_000.0);
        (0..w.mix.zones.len()).for_each(|z| w.push(at, Ev::Next(z)));
        for t in w.mix.troubles.clone() {
            w.act(at + us(t.at_s * 1000.0), move |w| w.trouble(&t));
        }
        w
    }

    /// Plays the whole mix, and until the last caller has given up.
    pub fn run(mut self) -> World {
        while let Some(Reverse(i)) = self.queue.pop() {
            self.now = i.at;
            self.step(i.ev);
        }
        self.tally.wall(self.now);
        self
    }

    pub(crate) fn ms(&self) -> u64 {
        self.now / 1000
    }

    /// When callers stop asking.
    pub(crate) fn end(&self) -> Us {
        us(10_000.0 + self.mix.seconds * 1000.0)
    }

    pub(crate) fn push(&mut self, at: Us, ev: Ev) {
        self.count += 1;
        let (at, no) = (at.max(self.now), self.count);
        self.queue.push(Reverse(Item { at, no, ev }));
    }

    pub(crate) fn act(&mut self, at: Us, f: impl FnOnce(&mut World) + 'static) {
        self.push(at, Ev::Act(Box::new(f)));
    }

    /// One way between two zones, in microseconds.
    pub(crate) fn delay(&self, a: u16, b: u16) -> Us {
        let m = &self.mix;
        us(match (a == b, m.zones[a as usize] == m.zones[b as usize]) {
            (true, _) => m.here_ms,
            (_, true) => m.zone_ms,
            _ => m.region_ms,
        })
    }

    /// The node that an event is for, and which of its lives.
    fn target(&self, ev: &Ev) -> Option<(usize, u32)> {
        match ev {
            Ev::Ask(n, l, _)
            | Ev::Gone(n, l, _)
            | Ev::Wake(n, l, ..)
            | Ev::ControlUpdate(n, l, _) => Some((*n, *l)),
            Ev::SynAck(s, _) | Ev::Ans(s, _) | Ev::Timer(s) => {
                let s = &self.sends[*s as usize];
                Some((s.node, s.life))
            }
            _ => None,
        }
    }

    fn step(&mut self, ev: Ev) {
        if let Some((n, life)) = self.target(&ev) {
            let x = &self.nodes[n];
            if x.up && x.frozen > self.now {
                // a frozen machine's sockets hold what came meanwhile
                let at = x.frozen;
                return self.push(at, ev);
            }
            if !x.up || x.life != life {
                if let Ev::Ask(_, _, t) = ev {
                    let at = self.now + us(self.mix.client_ms);
                    self.push(at, Ev::Client(t, ToClient::Cut));
                }
                return;
            }
        }
        match ev {
            Ev::Next(z) => self.next_ask(z),
            Ev::Ask(n, _, t) => self.asked(n, t),
            Ev::Gone(n, _, t) => self.gone(n, t),
            Ev::Syn(s) => self.syn(s),
            Ev::SynAck(s, ok) => self.syn_ack(s, ok),
            Ev::Work(s) => self.work(s),
            Ev::Join(s) => self.join(s),
            Ev::Close(s) => self.closed(s),
            Ev::Step(w) => self.stepped(w),
            Ev::Served(s) => self.served(s),
            Ev::Ans(s, a) => self.answered(s, a),
            Ev::Timer(s) => self.timer(s),
            Ev::Wake(n, _, request_id, no) => self.woken(n, request_id, no),
            Ev::ControlUpdate(n, _, x) => self.told(n, x),
            Ev::Client(t, m) => self.client_hears(t, m),
            Ev::Patience(t) => self.patience(t),
            Ev::Act(f) => f(self),
        }
    }
}
