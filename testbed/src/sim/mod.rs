//! A deterministic simulation of a consensus group in virtual time: the product's
//! own consensus code over a network, disks and clocks with injected faults.

mod faults;
mod history;
mod network;
mod node;
mod operations;
mod queries;
mod uplink;

pub use faults::{run_with_faults, start_random_operation};
pub use history::{check_convergence, check_history, History};
pub use node::{Node, RecordingStateMachine};
pub use operations::{Operation, OperationKind, OperationResult};
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

/// The interval of a node's ticks.
pub const TICK: Millis = 10;

/// Interval at which the sync of a stuck disk is tried again.
const STUCK_DISK_POLL_MS: Millis = 50;

/// A scheduled event of the simulation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SimEvent {
    Tick(usize, u64),
    Deliver {
        to: usize,
        from: NodeId,
        msg: Msg,
        /// The incarnation of the receiver that the connection was to; `None`
        /// without a bandwidth, as there are no connections then.
        incarnation: Option<u64>,
    },
    Synced {
        node: usize,
        incarnation: u64,
        seq: u64,
    },
    Unfreeze(usize, u64),
}

/// Decides from sender, receiver and message whether a message is dropped.
type Filter = Box<dyn Fn(usize, usize, &Msg) -> bool>;

/// A group of simulated cores, with the queue of scheduled events.
pub struct Sim {
    pub now: Millis,
    pub rng: Rand,
    pub nodes: Vec<Node>,
    pub timing: Timing,
    pub site: Arc<Site>,
    /// One-way delay within a region and between two.
    pub intra_region_delay_ms: Millis,
    pub inter_region_delay_ms: Millis,
    pub jitter_ms: Millis,
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    /// Bandwidth of each node's uplink; `None` is unlimited and unordered.
    pub bandwidth: Option<Bandwidth>,
    /// Pairs (from, to) whose messages are lost, by index of the node.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Messages for which the filter returns true are lost.
    pub drop_filter: Option<Filter>,
    /// Messages sent, by kind (see [`message_kind`]).
    pub sent_by_kind: BTreeMap<&'static str, u64>,
    /// Messages sent between regions, by kind.
    pub sent_between_regions: BTreeMap<&'static str, u64>,
    pub history: Rc<RefCell<History>>,
    pub operations: Vec<Operation>,
    pub state_changes: Vec<(Millis, NodeId, StateChange)>,
    queue: BTreeMap<(Millis, u64), SimEvent>,
    scheduled_events: u64,
    processed_events: u64,
    /// Limit on processed events, to detect message loops.
    pub max_events: u64,
}

/// A site of up to four regions with three zones each.
pub fn site(regions: usize) -> Arc<Site> {
    let region_names = ["a", "b", "c", "d"];
    Arc::new(Site {
        regions: region_names[..regions]
            .iter()
            .map(|name| name.to_string())
            .collect(),
        zones: (0..regions as u8)
            .flat_map(|region| {
                (0..3).map(move |z| (format!("{}{z}", region_names[region as usize]), region))
            })
            .collect(),
    })
}

impl Sim {
    /// `core_regions[i]` is the region of core `i`.
    pub fn new(seed: u64, core_regions: &[RegionId], timing: Timing) -> Sim {
        let regions = core_regions
            .iter()
            .max()
            .map_or(1, |highest| *highest as usize + 1);
        let members: Vec<Member> = core_regions
            .iter()
            .enumerate()
            .map(|(i, region)| member(i, *region, true))
            .collect();
        let mut sim = Sim {
            now: 0,
            rng: Rand::new(seed),
            nodes: Vec::new(),
            timing,
            site: site(regions),
            intra_region_delay_ms: 1,
            inter_region_delay_ms: 30,
            jitter_ms: 2,
            loss_percent: 0,
            duplicate_percent: 0,
            bandwidth: None,
            blocked_links: BTreeSet::new(),
            drop_filter: None,
            sent_by_kind: BTreeMap::new(),
            sent_between_regions: BTreeMap::new(),
            history: Rc::default(),
            operations: Vec::new(),
            state_changes: Vec::new(),
            queue: BTreeMap::new(),
            scheduled_events: 0,
            processed_events: 0,
            max_events: 1_000_000,
        };
        for (i, region) in core_regions.iter().enumerate() {
            let node = Node::bootstrapped(i, *region, &members, &sim.site);
            sim.nodes.push(node);
            sim.start(i);
        }
        sim
    }

    /// Adds a core with an empty disk at a new address, not yet a member.
    pub fn add_node(&mut self, region: RegionId) -> usize {
        let i = self.nodes.len();
        self.nodes.push(Node::uninitialized(i, region));
        self.start(i);
        i
    }

    pub(crate) fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.scheduled_events += 1;
        self.queue.insert((at, self.scheduled_events), event);
    }

    /// Starts a node from its disk.
    pub fn start(&mut self, i: usize) {
        let seed = self.rng.draw();
        let machine = RecordingStateMachine::new(
            ReplicatedState::new(self.site.clone()),
            self.history.clone(),
            i,
        );
        let (timing, now) = (self.timing.clone(), self.now);
        let incarnation = self.nodes[i].start(timing, machine, seed, now);
        let at = now + 1 + self.rng.below(TICK);
        self.schedule(at, SimEvent::Tick(i, incarnation));
    }

    /// Crashes a node; a random prefix of the saves not yet synced survives.
    pub fn crash(&mut self, i: usize) {
        let unsynced = self.nodes[i].disk.unsynced() as u64;
        let survive = self.rng.below(unsynced + 1) as usize;
        self.nodes[i].crash(survive);
        self.fail_pending_operations(i);
    }

    /// Stops a node's process for `for_ms`, as by SIGSTOP.
    pub fn freeze(&mut self, i: usize, for_ms: Millis) {
        let until = self.now + for_ms;
        self.nodes[i].frozen_until = until;
        let incarnation = self.nodes[i].incarnation;
        self.schedule(until, SimEvent::Unfreeze(i, incarnation));
    }

    /// Blocks the link between two nodes in both directions.
    pub fn block_both_ways(&mut self, first: usize, second: usize) {
        self.blocked_links.insert((first, second));
        self.blocked_links.insert((second, first));
    }

    /// Blocks all links from and to a node.
    pub fn isolate(&mut self, node: usize) {
        for peer in 0..self.nodes.len() {
            if node != peer {
                self.block_both_ways(node, peer);
            }
        }
    }

    /// Ends faults of the network and the disks; crashed nodes stay down.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.loss_percent = 0;
        self.duplicate_percent = 0;
        for node in &mut self.nodes {
            node.disk.sync_ms = 1;
            node.disk.stuck = false;
        }
    }

    pub fn run_for(&mut self, ms: Millis) {
        let end = self.now + ms;
        self.run_until(end, |_| false);
    }

    /// Runs until `predicate` holds or `end` has passed; returns whether it holds.
    pub fn run_until(&mut self, end: Millis, predicate: impl Fn(&Sim) -> bool) -> bool {
        while let Some(at) = self.queue.keys().next().map(|key| key.0) {
            if predicate(self) {
                return true;
            }
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.processed_events += 1;
            // a message loop between the nodes would never end
            assert!(
                self.processed_events < self.max_events,
                "more than {} events by {} ms: a message loop",
                self.max_events,
                self.now
            );
            if let Some((_, event)) = self.queue.pop_first() {
                self.dispatch(event);
            }
        }
        self.now = self.now.max(end);
        predicate(self)
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(i, incarnation) => {
                if self.nodes[i].incarnation != incarnation || !self.nodes[i].is_running() {
                    return;
                }
                let at = self.now + TICK;
                self.schedule(at, SimEvent::Tick(i, incarnation));
                self.deliver(i, Event::Tick);
            }
            SimEvent::Deliver {
                to,
                from,
                msg,
                incarnation,
            } => {
                // a connection ends with the receiving process
                if incarnation.is_none_or(|connected| connected == self.nodes[to].incarnation) {
                    self.deliver(to, Event::Received { from, msg });
                }
            }
            SimEvent::Synced {
                node,
                incarnation,
                seq,
            } => self.disk_synced(node, incarnation, seq),
            SimEvent::Unfreeze(i, incarnation) => {
                if self.nodes[i].incarnation == incarnation {
                    for event in std::mem::take(&mut self.nodes[i].buffered_events) {
                        self.deliver(i, event);
                    }
                }
            }
        }
    }

    /// A save has reached the disk, unless the disk is stuck.
    fn disk_synced(&mut self, node: usize, incarnation: u64, seq: u64) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_running() {
            return;
        }
        if self.nodes[node].disk.stuck {
            let at = self.now + STUCK_DISK_POLL_MS;
            self.schedule(
                at,
                SimEvent::Synced {
                    node,
                    incarnation,
                    seq,
                },
            );
            return;
        }
        self.nodes[node].disk.synced(seq);
        self.deliver(node, Event::Saved { seq });
    }

    /// Hands an event to a node; a frozen node buffers all but ticks.
    pub fn deliver(&mut self, i: usize, event: Event) {
        let now = self.now;
        if !self.nodes[i].is_running() {
            return;
        }
        if self.nodes[i].frozen_until > now {
            // a frozen process reads its socket buffers when it resumes
            if event != Event::Tick && self.nodes[i].buffered_events.len() < 1000 {
                self.nodes[i].buffered_events.push(event);
            }
            return;
        }
        let effects = self.nodes[i].step(event, now);
        for effect in effects {
            self.execute(i, effect);
        }
    }

    fn execute(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Save { seq, save } => {
                let incarnation = self.nodes[i].incarnation;
                let at = self.nodes[i].disk.queue(seq, save, self.now);
                self.schedule(
                    at,
                    SimEvent::Synced {
                        node: i,
                        incarnation,
                        seq,
                    },
                );
            }
            Effect::Send { to, msg } => self.send_message(i, to, msg),
            Effect::ProposalResult {
                proposal_id,
                outcome,
            } => self.proposal_completed(proposal_id, outcome),
            Effect::ReadResult { request_id, ok } => self.read_completed(i, request_id, ok),
            Effect::StateChanged(change) => {
                let id = self.nodes[i].id;
                if let StateChange::GlobalLeader { term, id } = &change {
                    self.history.borrow_mut().record_leader(*term, *id);
                }
                self.state_changes.push((self.now, id, change));
            }
            Effect::Applied { .. } | Effect::MembersChanged(_) => {}
        }
    }
}

/// The membership entry of core `i`.
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

/// The kind under which a message is counted.
pub fn message_kind(message: &Msg) -> &'static str {
    match message {
        Msg::DomainVoteRequest { .. } | Msg::DomainVoteReply { .. } => "domain-vote",
        Msg::DomainHeartbeat { .. } | Msg::DomainHeartbeatReply { .. } => "domain-heartbeat",
        Msg::VoteRequest { .. } | Msg::VoteReply { .. } => "vote",
        Msg::Append(request) if request.entries.is_empty() => "heartbeat",
        Msg::Append { .. } => "append",
        Msg::AppendReply { .. } => "append-reply",
        Msg::Confirm { .. } => "confirm",
        Msg::Chunk(_) | Msg::ChunkReply { .. } => "chunk",
        Msg::Propose { .. } => "propose",
        Msg::ProposalResult { .. } => "proposal-result",
        Msg::ReadIndexRequest { .. } | Msg::ReadIndexReply { .. } => "read",
        Msg::TimeoutNow { .. } => "timeout-now",
    }
}
