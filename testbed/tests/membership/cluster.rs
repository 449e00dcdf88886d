//! A simulated cluster of three voters and up to two added nodes, with a schedule
//! of faults. It runs the consensus and membership reducers of the product.

use sorreldoor::consensus::{Event, InjectedFault, Timing};
use sorreldoor::control_plane::membership::{Health, Membership, MembershipPolicy, Observation};
use sorreldoor::types::{Millis, NodeId, RegionId};
use sorreldoor::wire::Hello;
use std::collections::{BTreeMap, BTreeSet};
use testbed::sim::Sim;

pub const STEP_MS: Millis = 20;
const MEMBERSHIP_CHECK_INTERVAL_MS: Millis = 100;
const REPLACE_AFTER_MS: Millis = 1500;
/// Time for a restarted or new machine to catch up.
pub const CATCH_UP_MS: Millis = 4000;
/// Time within which an entry must commit while one machine is lost.
const COMMIT_TIMEOUT_MS: Millis = 3000;
const MAX_ADDED_NODES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A new machine starts, then the old one shuts down gracefully.
    PlannedReplacement,
    /// The machine is lost permanently, and a new one replaces it.
    ReplacementAfterLoss,
    /// The machine restarts at its address with an empty disk.
    DiskWipe,
    /// The machine loses power and restarts.
    PowerLoss,
    Partition,
    Freeze,
    /// All machines lose power.
    TotalPowerLoss,
}

pub const FAULTS: [Fault; 7] = [
    Fault::PlannedReplacement,
    Fault::ReplacementAfterLoss,
    Fault::DiskWipe,
    Fault::PowerLoss,
    Fault::Partition,
    Fault::Freeze,
    Fault::TotalPowerLoss,
];

enum Action {
    Crash(usize),
    Start(usize),
    /// A blank node at the given address takes over a machine slot.
    AddNode {
        slot: usize,
        addr: String,
    },
    Stop(usize),
    Partition(usize),
    HealPartition(usize),
    Freeze(usize, Millis),
}

pub struct Cluster {
    pub sim: Sim,
    /// The current node in each machine slot.
    pub slots: [usize; 3],
    addresses: BTreeMap<usize, String>,
    stopping: BTreeSet<usize>,
    /// Nodes whose machine is gone; they do not restart.
    removed: BTreeSet<usize>,
    partitioned: BTreeSet<usize>,
    /// The membership reducer of each node.
    membership: BTreeMap<usize, Membership>,
    /// Scheduled actions, by time and order of scheduling.
    actions: BTreeMap<(Millis, u64), Action>,
    action_count: u64,
    added_nodes: usize,
    regions: [RegionId; 3],
    /// Mutant without a target number of voters: every new node becomes a voter, and
    /// a voter is replaced only after ten times the usual silence.
    pub unbounded_voters: bool,
}

impl Cluster {
    pub fn new(seed: u64, regions: [RegionId; 3], injected_fault: InjectedFault) -> Cluster {
        let mut timing = Timing::for_ack(2000);
        timing.injected_fault = injected_fault;
        let mut sim = Sim::new(seed, &regions, timing);
        sim.max_events = 4_000_000;
        let addresses = (0..3).map(|i| (i, format!("address-{i}"))).collect();
        let mut cluster = Cluster {
            sim,
            slots: [0, 1, 2],
            addresses,
            stopping: BTreeSet::new(),
            removed: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            membership: BTreeMap::new(),
            actions: BTreeMap::new(),
            action_count: 0,
            added_nodes: 0,
            regions,
            unbounded_voters: false,
        };
        cluster.run_for(1500);
        cluster
    }

    fn schedule(&mut self, delay_ms: Millis, action: Action) {
        self.action_count += 1;
        let at = self.sim.now + delay_ms;
        self.actions.insert((at, self.action_count), action);
    }

    /// Schedules a fault of a machine slot, starting now; false if it would add more
    /// than `MAX_ADDED_NODES` nodes.
    pub fn schedule_fault(&mut self, slot: usize, fault: Fault) -> bool {
        let node = self.slots[slot];
        let needs_new_node = matches!(
            fault,
            Fault::PlannedReplacement | Fault::ReplacementAfterLoss | Fault::DiskWipe
        );
        if needs_new_node {
            if self.added_nodes == MAX_ADDED_NODES {
                return false;
            }
            self.added_nodes += 1;
        }
        let new_addr = format!("address-{}", 10 + self.added_nodes);
        match fault {
            Fault::PlannedReplacement => {
                self.schedule(
                    0,
                    Action::AddNode {
                        slot,
                        addr: new_addr,
                    },
                );
                self.schedule(1000, Action::Stop(node));
                self.schedule(1300, Action::Crash(node));
            }
            Fault::ReplacementAfterLoss => {
                self.schedule(0, Action::Crash(node));
                self.schedule(
                    1200,
                    Action::AddNode {
                        slot,
                        addr: new_addr,
                    },
                );
            }
            Fault::DiskWipe => {
                let addr = self.addresses[&node].clone();
                self.schedule(0, Action::Crash(node));
                self.schedule(400, Action::AddNode { slot, addr });
            }
            Fault::PowerLoss => {
                self.schedule(0, Action::Crash(node));
                self.schedule(1200, Action::Start(node));
            }
            Fault::Partition => {
                self.schedule(0, Action::Partition(node));
                self.schedule(2500, Action::HealPartition(node));
            }
            Fault::Freeze => self.schedule(0, Action::Freeze(node, 2200)),
            Fault::TotalPowerLoss => {
                for slot in 0..3 {
                    let node = self.slots[slot];
                    self.schedule(0, Action::Crash(node));
                    self.schedule(400, Action::Start(node));
                }
            }
        }
        true
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Crash(node) if self.sim.nodes[node].is_running() => {
                self.sim.crash(node);
                let replaced = !self.slots.contains(&node);
                if self.stopping.contains(&node) || replaced {
                    self.removed.insert(node);
                }
            }
            Action::Start(node)
                if !self.sim.nodes[node].is_running() && !self.removed.contains(&node) =>
            {
                self.sim.start(node);
            }
            Action::AddNode { slot, addr } => {
                let old = self.slots[slot];
                if !self.sim.nodes[old].is_running() {
                    self.removed.insert(old);
                }
                let node = self.sim.add_node(self.regions[slot]);
                self.addresses.insert(node, addr);
                self.slots[slot] = node;
                self.apply_partitions();
            }
            Action::Stop(node) => {
                self.stopping.insert(node);
                self.sim.deliver(node, Event::Stop);
            }
            Action::Partition(node) => {
                self.partitioned.insert(node);
                self.apply_partitions();
            }
            Action::HealPartition(node) => {
                self.partitioned.remove(&node);
                self.apply_partitions();
            }
            Action::Freeze(node, ms) if self.sim.nodes[node].is_running() => {
                self.sim.freeze(node, ms)
            }
            _ => {}
        }
    }

    fn apply_partitions(&mut self) {
        self.sim.blocked_links.clear();
        for node in self.partitioned.clone() {
            self.sim.isolate(node);
        }
    }

    pub fn run_for(&mut self, ms: Millis) {
        let end = self.sim.now + ms;
        while self.sim.now < end {
            while let Some((key, _)) = self.actions.first_key_value() {
                let key = *key;
                if key.0 > self.sim.now {
                    break;
                }
                if let Some(action) = self.actions.remove(&key) {
                    self.apply(action);
                }
            }
            if self.sim.now.is_multiple_of(MEMBERSHIP_CHECK_INTERVAL_MS) {
                self.check_memberships();
            }
            self.sim.run_for(STEP_MS);
        }
    }

    fn hello(&self, node: usize) -> Hello {
        Hello {
            id: self.sim.nodes[node].id,
            node: format!("node-{node}"),
            core: true,
            region: self.sim.nodes[node].region,
            zone: (node % 3) as u16,
            addr: self.addresses[&node].clone(),
            stopping: self.stopping.contains(&node),
            ..Hello::default()
        }
    }

    /// Runs the membership check of every node.
    fn check_memberships(&mut self) {
        for node in 0..self.sim.nodes.len() {
            self.check_membership(node);
        }
    }

    /// Proposes the membership change that is due, if this node leads.
    fn check_membership(&mut self, node: usize) {
        let frozen = self.sim.nodes[node].frozen_until > self.sim.now;
        let Some(consensus) = &self.sim.nodes[node].consensus else {
            return;
        };
        if frozen || self.stopping.contains(&node) {
            return;
        }
        if !consensus.leads_globally() || !consensus.has_stable_membership() {
            return;
        }
        let members = consensus.members().to_vec();
        let health = |id: NodeId| Health {
            silent_ms: consensus.silence_of(id).unwrap_or(0),
            caught_up: consensus.caught_up(id),
        };
        let others = members.iter().filter(|m| m.id != consensus.id());
        let health = others.map(|m| (m.id, health(m.id))).collect();
        let reachable = |other: &usize| {
            let frozen = self.sim.nodes[*other].frozen_until > self.sim.now;
            let partitioned = self.sim.blocked_links.contains(&(*other, node));
            *other == node || (self.sim.nodes[*other].is_running() && !frozen && !partitioned)
        };
        let all: Vec<usize> = (0..self.sim.nodes.len()).collect();
        let live: Vec<Hello> = all
            .iter()
            .copied()
            .filter(reachable)
            .map(|other| self.hello(other))
            .collect();
        let mut policy = MembershipPolicy::tolerating(1, 1, REPLACE_AFTER_MS);
        if self.unbounded_voters {
            policy.target_voters = members.len();
            policy.replace_after_ms *= 10;
        }
        let entry = self.membership.entry(node);
        let membership = entry.or_insert_with(|| Membership::new(policy.clone()));
        membership.policy = policy;
        for other in all.iter().filter(|_| !self.unbounded_voters) {
            if self.stopping.contains(other) {
                let mut hello = live[0].clone();
                hello.id = self.sim.nodes[*other].id;
                hello.stopping = true;
                membership.on_hello(&hello);
            }
        }
        let observation = Observation {
            leader: self.sim.nodes[node].id,
            members: &members,
            health,
            live: &live,
        };
        if let Some(change) = membership.decide(&observation) {
            let next = change.applied(&members);
            self.sim.deliver(node, Event::Reconfigure(next));
        }
    }

    /// Whether a change proposed at this node commits within [`COMMIT_TIMEOUT_MS`].
    pub fn commits_in_time(&mut self, at: usize) -> bool {
        let base = self.sim.highest_version();
        let op = self.sim.propose_change(at, base);
        let end = self.sim.now + COMMIT_TIMEOUT_MS;
        while self.sim.now < end && !self.sim.operation(op).was_applied() {
            self.run_for(STEP_MS);
        }
        self.sim.operation(op).was_applied()
    }

    pub fn describe_members(&self) -> String {
        let leader = self.sim.leader();
        let consensus = leader.and_then(|l| self.sim.nodes[l].consensus.as_ref());
        format!("{:?}", consensus.map(|c| c.members().to_vec()))
    }
}
