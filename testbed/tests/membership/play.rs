//! One history of a small scope, played with the real reducers: three voters,
//! two newcomers, and what happens to them at which moment.

use sorreldoor::consensus::{Event, InjectedFault, Timing};
use sorreldoor::control_plane::membership::{Health, Membership, Observed, Policy};
use sorreldoor::types::{Millis, NodeId, RegionId};
use sorreldoor::wire::Hello;
use std::collections::{BTreeMap, BTreeSet};
use testbed::sim::Sim;

pub const STEP_MS: Millis = 20;
const LOOK_MS: Millis = 100;
const SILENT_MS: Millis = 1500;
/// What a machine that is back or new has to get ready.
pub const SYNC_MS: Millis = 4000;
/// Within this an entry must be committed, one machine lost.
const ACK_MS: Millis = 3000;
const NEWCOMERS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// A new machine starts, then this one is told to stop, and ends.
    ReplacePlanned,
    /// This machine is lost for good, and a new one comes for it.
    Replace,
    /// It comes back at its address with an empty disk.
    Wipe,
    /// It loses power, and comes back.
    Power,
    Cut,
    Freeze,
    /// All machines lose power.
    PowerAll,
}

pub const TROUBLES: [Trouble; 7] = [
    Trouble::ReplacePlanned,
    Trouble::Replace,
    Trouble::Wipe,
    Trouble::Power,
    Trouble::Cut,
    Trouble::Freeze,
    Trouble::PowerAll,
];

enum Act {
    Crash(usize),
    Start(usize),
    /// A new node takes this slot, at the address given.
    Newcomer {
        slot: usize,
        addr: String,
    },
    Stop(usize),
    Cut(usize),
    Uncut(usize),
    Freeze(usize, Millis),
}

pub struct Play {
    pub sim: Sim,
    /// The node that holds each machine's place.
    pub slots: [usize; 3],
    names: BTreeMap<usize, String>,
    stopping: BTreeSet<usize>,
    gone: BTreeSet<usize>,
    cut: BTreeSet<usize>,
    members: BTreeMap<usize, Membership>,
    acts: BTreeMap<(Millis, u64), Act>,
    count: u64,
    newcomers: usize,
    regions: [RegionId; 3],
    /// Whoever comes becomes a voter, and only the long lost go: as it was
    /// before there was a wanted number of voters.
    pub growing: bool,
}

impl Play {
    pub fn new(seed: u64, regions: [RegionId; 3], broken: InjectedFault) -> Play {
        let mut timing = Timing::for_ack(2000);
        timing.injected_fault = broken;
        let mut sim = Sim::new(seed, &regions, timing);
        sim.max_events = 4_000_000;
        let names = (0..3).map(|i| (i, format!("address-{i}"))).collect();
        let mut play = Play {
            sim,
            slots: [0, 1, 2],
            names,
            stopping: BTreeSet::new(),
            gone: BTreeSet::new(),
            cut: BTreeSet::new(),
            members: BTreeMap::new(),
            acts: BTreeMap::new(),
            count: 0,
            newcomers: 0,
            regions,
            growing: false,
        };
        play.run_for(1500);
        play
    }

    fn after(&mut self, ms: Millis, act: Act) {
        self.count += 1;
        let at = self.sim.now + ms;
        self.acts.insert((at, self.count), act);
    }

    /// Plans a trouble of a slot from now on; false if it cannot be.
    pub fn plan(&mut self, slot: usize, trouble: Trouble) -> bool {
        let node = self.slots[slot];
        let fresh = matches!(
            trouble,
            Trouble::ReplacePlanned | Trouble::Replace | Trouble::Wipe
        );
        if fresh {
            if self.newcomers == NEWCOMERS {
                return false;
            }
            self.newcomers += 1;
        }
        let new = format!("address-{}", 10 + self.newcomers);
        match trouble {
            Trouble::ReplacePlanned => {
                self.after(0, Act::Newcomer { slot, addr: new });
                self.after(1000, Act::Stop(node));
                self.after(1300, Act::Crash(node));
            }
            Trouble::Replace => {
                self.after(0, Act::Crash(node));
                self.after(1200, Act::Newcomer { slot, addr: new });
            }
            Trouble::Wipe => {
                let addr = self.names[&node].clone();
                self.after(0, Act::Crash(node));
                self.after(400, Act::Newcomer { slot, addr });
            }
            Trouble::Power => {
                self.after(0, Act::Crash(node));
                self.after(1200, Act::Start(node));
            }
            Trouble::Cut => {
                self.after(0, Act::Cut(node));
                self.after(2500, Act::Uncut(node));
            }
            Trouble::Freeze => self.after(0, Act::Freeze(node, 2200)),
            Trouble::PowerAll => {
                for slot in 0..3 {
                    let node = self.slots[slot];
                    self.after(0, Act::Crash(node));
                    self.after(400, Act::Start(node));
                }
            }
        }
        true
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Crash(node) if self.sim.nodes[node].is_running() => {
                self.sim.crash(node);
                let replaced = !self.slots.contains(&node);
                if self.stopping.contains(&node) || replaced {
                    self.gone.insert(node);
                }
            }
            Act::Start(node)
                if !self.sim.nodes[node].is_running() && !self.gone.contains(&node) =>
            {
                self.sim.start(node);
            }
            Act::Newcomer { slot, addr } => {
                let old = self.slots[slot];
                // what was lost for good does not come back
                if !self.sim.nodes[old].is_running() {
                    self.gone.insert(old);
                }
                let node = self.sim.add_node(self.regions[slot]);
                self.names.insert(node, addr);
                self.slots[slot] = node;
                self.recut();
            }
            Act::Stop(node) => {
                self.stopping.insert(node);
                self.sim.deliver(node, Event::Stop);
            }
            Act::Cut(node) => {
                self.cut.insert(node);
                self.recut();
            }
            Act::Uncut(node) => {
                self.cut.remove(&node);
                self.recut();
            }
            Act::Freeze(node, ms) if self.sim.nodes[node].is_running() => self.sim.freeze(node, ms),
            _ => {}
        }
    }

    fn recut(&mut self) {
        self.sim.blocked_links.clear();
        for node in self.cut.clone() {
            self.sim.isolate(node);
        }
    }

    pub fn run_for(&mut self, ms: Millis) {
        let end = self.sim.now + ms;
        while self.sim.now < end {
            while let Some((key, _)) = self.acts.first_key_value() {
                let key = *key;
                if key.0 > self.sim.now {
                    break;
                }
                if let Some(act) = self.acts.remove(&key) {
                    self.act(act);
                }
            }
            if self.sim.now.is_multiple_of(LOOK_MS) {
                self.look();
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
            addr: self.names[&node].clone(),
            stopping: self.stopping.contains(&node),
            ..Hello::default()
        }
    }

    /// What a core's controller does: every leader looks at its members.
    fn look(&mut self) {
        for node in 0..self.sim.nodes.len() {
            self.look_at(node);
        }
    }

    fn look_at(&mut self, node: usize) {
        let frozen = self.sim.nodes[node].frozen_until > self.sim.now;
        let Some(consensus) = &self.sim.nodes[node].consensus else {
            return;
        };
        if frozen || self.stopping.contains(&node) {
            return;
        }
        if !consensus.leads_globally() || !consensus.members_settled() {
            return;
        }
        let members = consensus.members().to_vec();
        let health = |id: NodeId| Health {
            silent_ms: consensus.silent_for(id).unwrap_or(0),
            caught_up: consensus.caught_up(id),
        };
        let others = members.iter().filter(|m| m.id != consensus.id());
        let health = others.map(|m| (m.id, health(m.id))).collect();
        let heard = |other: &usize| {
            let frozen = self.sim.nodes[*other].frozen_until > self.sim.now;
            let cut = self.sim.blocked_links.contains(&(*other, node));
            *other == node || (self.sim.nodes[*other].is_running() && !frozen && !cut)
        };
        let all: Vec<usize> = (0..self.sim.nodes.len()).collect();
        let live: Vec<Hello> = all
            .iter()
            .copied()
            .filter(heard)
            .map(|other| self.hello(other))
            .collect();
        let mut policy = Policy::tolerating(1, 1, SILENT_MS);
        if self.growing {
            policy.voters = members.len();
            policy.silent_ms *= 10;
        }
        let keep = self.members.entry(node);
        let state = keep.or_insert_with(|| Membership::new(policy.clone()));
        state.policy = policy;
        for other in all.iter().filter(|_| !self.growing) {
            if self.stopping.contains(other) {
                let mut hello = live[0].clone();
                hello.id = self.sim.nodes[*other].id;
                hello.stopping = true;
                state.on_hello(&hello);
            }
        }
        let seen = Observed {
            leader: self.sim.nodes[node].id,
            members: &members,
            health,
            live: &live,
        };
        if let Some(change) = state.decide(&seen) {
            let next = change.applied(&members);
            self.sim.deliver(node, Event::Reconfigure(next));
        }
    }

    /// Whether a change is acknowledged in time, asked of this node.
    pub fn commits(&mut self, at: usize) -> bool {
        let base = self.sim.highest_version();
        let op = self.sim.propose_change(at, base);
        let end = self.sim.now + ACK_MS;
        while self.sim.now < end && !self.sim.operation(op).was_applied() {
            self.run_for(STEP_MS);
        }
        self.sim.operation(op).was_applied()
    }

    pub fn members_now(&self) -> String {
        let leader = self.sim.leader();
        let consensus = leader.and_then(|l| self.sim.nodes[l].consensus.as_ref());
        format!("{:?}", consensus.map(|c| c.members().to_vec()))
    }
}
