//! Cores in virtual time: the very reducers of the product, with a network,
//! disks and clocks that fail on purpose.

mod askers;
mod check;
mod core;
mod faults;
mod network;
mod queries;
mod uplink;

pub use askers::{Act, Done, Op};
pub use check::{check, same, Trail};
pub use core::{Node, Watched};
pub use faults::{ask, storm};
pub use uplink::{Bandwidth, Uplink};

use crate::rand::Rand;
use sorreldoor::configuration::Site;
use sorreldoor::consensus::*;
use sorreldoor::replicated_state::ReplicatedState;
use sorreldoor::types::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

pub const TICK: Millis = 10;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum What {
    Tick(usize, u64),
    Arrive {
        to: usize,
        from: NodeId,
        msg: Msg,
        /// The life of the receiver that the connection was to; without a
        /// bandwidth there are no connections.
        incarnation: Option<u64>,
    },
    Synced {
        node: usize,
        incarnation: u64,
        seq: u64,
    },
    Thaw(usize, u64),
}

type Filter = Box<dyn Fn(usize, usize, &Msg) -> bool>;

pub struct Sim {
    pub now: Millis,
    pub rng: Rand,
    pub nodes: Vec<Node>,
    pub timing: Timing,
    pub site: Arc<Site>,
    /// One-way delay within a region and between two.
    pub near: Millis,
    pub far: Millis,
    pub jitter: Millis,
    pub loss: u64,
    pub twice: u64,
    /// What each node can send; none: as much as it likes, in any order.
    pub bandwidth: Option<Bandwidth>,
    /// Pairs (from, to) whose messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Messages that the filter names, by sender and receiver, are lost.
    pub drop_if: Option<Filter>,
    pub sent: BTreeMap<&'static str, u64>,
    /// Messages that went between regions, by kind.
    pub far_sent: BTreeMap<&'static str, u64>,
    pub trail: Rc<RefCell<Trail>>,
    pub ops: Vec<Op>,
    pub notes: Vec<(Millis, NodeId, StateChange)>,
    queue: BTreeMap<(Millis, u64), What>,
    count: u64,
    events: u64,
    pub most_events: u64,
}

pub fn site(regions: usize) -> Arc<Site> {
    let names = ["a", "b", "c", "d"];
    Arc::new(Site {
        regions: names[..regions].iter().map(|s| s.to_string()).collect(),
        zones: (0..regions as u8)
            .flat_map(|r| (0..3).map(move |z| (format!("{}{z}", names[r as usize]), r)))
            .collect(),
    })
}

impl Sim {
    /// `shape[i]` is the region of core i.
    pub fn new(seed: u64, shape: &[RegionId], timing: Timing) -> Sim {
        let regions = shape.iter().max().map_or(1, |m| *m as usize + 1);
        let members: Vec<Member> = shape
            .iter()
            .enumerate()
            .map(|(i, r)| member(i, *r, true))
            .collect();
        let mut s = Sim {
            now: 0,
            rng: Rand::new(seed),
            nodes: Vec::new(),
            timing,
            site: site(regions),
            near: 1,
            far: 30,
            jitter: 2,
            loss: 0,
            twice: 0,
            bandwidth: None,
            cuts: BTreeSet::new(),
            drop_if: None,
            sent: BTreeMap::new(),
            far_sent: BTreeMap::new(),
            trail: Rc::default(),
            ops: Vec::new(),
            notes: Vec::new(),
            queue: BTreeMap::new(),
            count: 0,
            events: 0,
            most_events: 1_000_000,
        };
        for (i, r) in shape.iter().enumerate() {
            let n = Node::founded(i, *r, &members, &s.site);
            s.nodes.push(n);
            s.start(i);
        }
        s
    }

    /// A blank core at a new address, not yet a member of anything.
    pub fn add_blank(&mut self, region: RegionId) -> usize {
        let i = self.nodes.len();
        self.nodes.push(Node::blank(i, region));
        self.start(i);
        i
    }

    pub(crate) fn plan(&mut self, at: Millis, w: What) {
        self.count += 1;
        self.queue.insert((at, self.count), w);
    }

    pub fn start(&mut self, i: usize) {
        let seed = self.rng.draw();
        let machine = Watched::new(
            ReplicatedState::new(self.site.clone()),
            self.trail.clone(),
            i,
        );
        let (timing, now) = (self.timing.clone(), self.now);
        let incarnation = self.nodes[i].start(timing, machine, seed, now);
        let at = now + 1 + self.rng.below(TICK);
        self.plan(at, What::Tick(i, incarnation));
    }

    /// Kill a node; of the saves not yet synced, some first few may survive.
    pub fn crash(&mut self, i: usize) {
        let n = self.nodes[i].disk.unsynced() as u64;
        let survive = self.rng.below(n + 1) as usize;
        self.nodes[i].crash(survive);
        self.lose_asks(i);
    }

    pub fn freeze(&mut self, i: usize, for_ms: Millis) {
        let until = self.now + for_ms;
        self.nodes[i].frozen_until = until;
        let incarnation = self.nodes[i].incarnation;
        self.plan(until, What::Thaw(i, incarnation));
    }

    pub fn cut_both(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    pub fn isolate(&mut self, a: usize) {
        for b in 0..self.nodes.len() {
            if a != b {
                self.cut_both(a, b);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss = 0;
        self.twice = 0;
        for n in &mut self.nodes {
            n.disk.sync_ms = 1;
            n.disk.stuck = false;
        }
    }

    pub fn run_for(&mut self, ms: Millis) {
        let end = self.now + ms;
        self.run_until(end, |_| false);
    }

    /// Run until `f` holds or time is up; true if it held.
    pub fn run_until(&mut self, end: Millis, f: impl Fn(&Sim) -> bool) -> bool {
        while let Some(at) = self.queue.keys().next().map(|k| k.0) {
            if f(self) {
                return true;
            }
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.events += 1;
            // reducers that only chatter at each other would never end
            assert!(self.events < self.most_events, "too many events: chatter");
            if let Some((_, w)) = self.queue.pop_first() {
                self.happen(w);
            }
        }
        self.now = self.now.max(end);
        f(self)
    }

    fn happen(&mut self, w: What) {
        match w {
            What::Tick(i, incarnation) => {
                if self.nodes[i].incarnation != incarnation || !self.nodes[i].up() {
                    return;
                }
                let at = self.now + TICK;
                self.plan(at, What::Tick(i, incarnation));
                self.give(i, Event::Tick);
            }
            What::Arrive {
                to,
                from,
                msg,
                incarnation,
            } => {
                // a connection ends with the process that it was to
                if incarnation.is_none_or(|b| b == self.nodes[to].incarnation) {
                    self.give(to, Event::Received { from, msg });
                }
            }
            What::Synced {
                node,
                incarnation,
                seq,
            } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].up() {
                    if self.nodes[node].disk.stuck {
                        let at = self.now + 50;
                        self.plan(
                            at,
                            What::Synced {
                                node,
                                incarnation,
                                seq,
                            },
                        );
                        return;
                    }
                    self.nodes[node].disk.synced(seq);
                    self.give(node, Event::Saved { seq });
                }
            }
            What::Thaw(i, incarnation) => {
                if self.nodes[i].incarnation == incarnation {
                    for ev in std::mem::take(&mut self.nodes[i].waiting) {
                        self.give(i, ev);
                    }
                }
            }
        }
    }

    pub fn give(&mut self, i: usize, ev: Event) {
        let now = self.now;
        if !self.nodes[i].up() {
            return;
        }
        if self.nodes[i].frozen_until > now {
            // a frozen process finds its full buffers when it wakes
            if ev != Event::Tick && self.nodes[i].waiting.len() < 1000 {
                self.nodes[i].waiting.push(ev);
            }
            return;
        }
        let fx = self.nodes[i].step(ev, now);
        for e in fx {
            self.effect(i, e);
        }
    }

    fn effect(&mut self, i: usize, e: Effect) {
        match e {
            Effect::Save { seq, save } => {
                let incarnation = self.nodes[i].incarnation;
                let at = self.nodes[i].disk.queue(seq, save, self.now);
                self.plan(
                    at,
                    What::Synced {
                        node: i,
                        incarnation,
                        seq,
                    },
                );
            }
            Effect::Send { to, msg } => self.carry(i, to, msg),
            Effect::ProposalResult {
                proposal_id,
                outcome,
            } => self.resulted(i, proposal_id, outcome),
            Effect::ReadReady { request_id, ok } => self.read_ready(i, request_id, ok),
            Effect::StateChanged(n) => {
                let id = self.nodes[i].id;
                if let StateChange::GlobalLeader { term, id } = &n {
                    self.trail.borrow_mut().led(*term, *id);
                }
                self.notes.push((self.now, id, n));
            }
            Effect::Applied { .. } | Effect::MembersChanged(_) => {}
        }
    }
}

pub fn member(i: usize, region: RegionId, voter: bool) -> Member {
    Member {
        id: i as NodeId + 1,
        region,
        zone: i as u16,
        addr: format!("127.0.0.1:{}", 1000 + i),
        voter,
        outgoing: false,
    }
}

pub fn kind(m: &Msg) -> &'static str {
    match m {
        Msg::DomainVoteRequest { .. } | Msg::DomainVoteReply { .. } => "domain-vote",
        Msg::DomainHeartbeat { .. } | Msg::DomainHeartbeatReply { .. } => "domain-beat",
        Msg::VoteRequest { .. } | Msg::VoteReply { .. } => "vote",
        Msg::Append(request) if request.entries.is_empty() => "beat",
        Msg::Append { .. } => "append",
        Msg::AppendReply { .. } => "holds",
        Msg::Confirm { .. } => "confirm",
        Msg::Chunk(_) | Msg::ChunkReply { .. } => "chunk",
        Msg::Propose { .. } => "propose",
        Msg::ProposalResult { .. } => "answered",
        Msg::ReadIndexRequest { .. } | Msg::ReadIndexReply { .. } => "read",
        Msg::TimeoutNow { .. } => "move",
    }
}
