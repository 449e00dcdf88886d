//! The site's processes: creating, starting, ticking and crashing them.

use super::inbox::{Inbox, Lane};
use super::worker_requests::Attempt;
use super::World;
use crate::disk::Disk;
use sorreldoor::consensus::Member;
use sorreldoor::control_plane::membership::MembershipPolicy;
use sorreldoor::control_plane::{Controller, ControllerConfig, ControllerEvent};
use sorreldoor::gateway::request_table::ClusterView;
use sorreldoor::gateway::{EdgeController, EdgeEvent};
use sorreldoor::invariants::{is_disabled, Invariant};
use sorreldoor::replicated_state::{decode, encode};
use sorreldoor::subscription::CoreSubscription;
use sorreldoor::types::Millis;
use sorreldoor::wire::Hello;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The port of the first seed core; seed `n` listens on this plus `n`.
const FIRST_SEED_PORT: u16 = 7000;
/// Ports of cores that replace lost ones, offset by their process index.
const FIRST_REPLACEMENT_PORT: u16 = 7100;
/// Ports at which edges accept frames, offset by their process index.
const FIRST_EDGE_PORT: u16 = 8000;
/// The name under which a core's disk has the seeds of the first start.
const FOUNDING_SEEDS_KEY: &str = "founding-seeds";
pub(super) const SEED_CORES: u16 = 3;
const EDGE_TICK_MS: Millis = 20;
const REGISTRY_POLL_MS: Millis = 500;
/// The processes of a new site start within this time of each other.
const START_SPREAD_MS: Millis = 200;

/// What a process runs while it is up.
pub enum Role {
    Down,
    Core(Box<Controller>),
    Edge(Box<EdgeController>),
}

/// One process with its machine: clocks, disk and connections.
pub struct Process {
    pub name: String,
    /// Whether it is a core; otherwise it is an edge.
    pub core: bool,
    pub zone: u16,
    pub region: u8,
    /// The address on which it accepts frames.
    pub addr: Option<SocketAddr>,
    pub id: u64,
    pub up: bool,
    /// Incremented at every start and crash; events of an older one are dropped.
    pub incarnation: u64,
    pub role: Role,
    pub frozen_until: Millis,
    /// When its processor is free, in microseconds; see [`CpuCosts`].
    pub(crate) busy_until_us: u64,
    /// Whether [`World::wake`] is scheduled for when its processor is free.
    pub(crate) wake_scheduled: bool,
    /// The longest time that an event was queued for the processor.
    pub longest_backlog_ms: Millis,
    /// Events that arrived while it was frozen or busy.
    pub(crate) inbox: Inbox,
    /// Offset of its monotonic clock from virtual time.
    pub monotonic_offset_ms: i64,
    /// Offset of its wall clock from virtual time.
    pub wall_offset_ms: i64,
    /// The addresses that it keeps connections to, each with the id of the dial.
    pub peer_addresses: BTreeMap<SocketAddr, u64>,
    pub disk: Disk,
    /// On disk: the founders that a core has promised to bootstrap the site with.
    pub promised_founders: Option<Vec<Member>>,
    /// On disk: a core has copied its peers' idempotency claims.
    pub claims_caught_up: bool,
    /// Whether it may bootstrap a site.
    pub may_bootstrap: bool,
    /// An edge's attempts in flight, by token.
    pub attempts: BTreeMap<u64, Attempt>,
}

/// As a core's daemon does: the seeds of the site's first start, which a core that may
/// bootstrap has on disk before it sends anything.
fn founding_seeds(process: &mut Process, settings_seeds: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let values = &mut process.disk.durable.values;
    if process.may_bootstrap {
        let encoded = encode(&settings_seeds);
        values.entry(FOUNDING_SEEDS_KEY.into()).or_insert(encoded);
        return Some(settings_seeds.to_vec());
    }
    let stored = values.get(FOUNDING_SEEDS_KEY);
    stored
        .and_then(|seeds| decode(seeds))
        .filter(|_| !is_disabled(Invariant::FoundingRemembered))
}

/// The address of the seed core with this number.
#[must_use]
pub(super) fn seed_address(seed: u16) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_SEED_PORT + seed).into()
}

impl World {
    /// Creates a core and the preset's edges in every zone, and schedules their
    /// starts.
    pub(crate) fn add_processes(&mut self) {
        let zones = self.site.zones.clone();
        for (z, (zone, region)) in zones.iter().enumerate() {
            let addr = seed_address(z as u16);
            self.add(&format!("core-{zone}"), true, z as u16, *region, Some(addr));
        }
        for (z, (zone, region)) in zones.iter().enumerate() {
            for i in 0..self.preset.edges_per_zone {
                let port = FIRST_EDGE_PORT + self.processes.len() as u16;
                let addr: SocketAddr = ([127, 0, 0, 1], port).into();
                let name = format!("edge-{zone}-{i}");
                self.add(&name, false, z as u16, *region, Some(addr));
            }
        }
        for process in 0..self.processes.len() {
            let wait = self.rng.below(START_SPREAD_MS);
            self.after(wait, move |world| world.start(process));
        }
    }

    /// Creates a process that is down; returns its index.
    pub fn add(
        &mut self,
        name: &str,
        core: bool,
        zone: u16,
        region: u8,
        addr: Option<SocketAddr>,
    ) -> usize {
        let id = self.random_process_id();
        self.processes.push(Process {
            name: name.into(),
            core,
            zone,
            region,
            addr,
            id,
            up: false,
            incarnation: 0,
            role: Role::Down,
            frozen_until: 0,
            busy_until_us: 0,
            wake_scheduled: false,
            longest_backlog_ms: 0,
            inbox: Inbox::default(),
            monotonic_offset_ms: 0,
            wall_offset_ms: 0,
            peer_addresses: BTreeMap::new(),
            disk: Disk::default(),
            promised_founders: None,
            claims_caught_up: false,
            may_bootstrap: true,
            attempts: BTreeMap::new(),
        });
        self.processes.len() - 1
    }

    fn random_process_id(&mut self) -> u64 {
        self.rng.draw() >> 1
    }

    /// Starts a core with an empty disk at a new address, in the zone of a lost
    /// one; returns its index.
    pub fn replace_core(&mut self, lost: usize) -> usize {
        let port = FIRST_REPLACEMENT_PORT + self.processes.len() as u16;
        let addr: SocketAddr = ([127, 0, 0, 1], port).into();
        let (zone, region) = (self.processes[lost].zone, self.processes[lost].region);
        let core = self.add(&format!("core-new{port}"), true, zone, region, Some(addr));
        self.start(core);
        core
    }

    /// Erases the disk of a core; it starts under a new id.
    pub fn wipe(&mut self, process: usize) {
        let id = self.random_process_id();
        let state = &mut self.processes[process];
        state.disk = Disk::default();
        state.promised_founders = None;
        state.claims_caught_up = false;
        state.id = id;
    }

    /// Starts a process from what is on its disk.
    pub fn start(&mut self, process: usize) {
        let seed = self.rng.draw();
        // the incarnation in the node's hello is random, unlike the simulation's
        let node_incarnation = self.rng.draw();
        let state = &mut self.processes[process];
        state.up = true;
        state.incarnation += 1;
        state.peer_addresses.clear();
        let incarnation = state.incarnation;
        let hello = state.hello(node_incarnation);
        self.processes[process].role = if self.processes[process].core {
            Role::Core(Box::new(self.new_controller(process, hello, seed)))
        } else {
            Role::Edge(Box::new(self.new_edge_controller(process, hello)))
        };
        self.tick(process, incarnation);
        if self.processes[process].core && self.singleton_poll_ms.is_none() {
            self.poll_registry(process, incarnation);
        }
    }

    fn new_controller(&mut self, process: usize, me: Hello, seed: u64) -> Controller {
        let now = self.monotonic_ms(process);
        let mut timing = self.pacing.timing(self.ack_ms);
        timing.snapshot_entries = self.snapshot_entries.unwrap_or(timing.snapshot_entries);
        let state = &mut self.processes[process];
        state.disk.open();
        let founding_seeds = founding_seeds(state, &self.settings_seeds);
        let stored = Some(&state.disk.durable).filter(|stored| !stored.has_no_saves());
        let config = ControllerConfig {
            own_hello: me,
            site: self.site.clone(),
            seed_addresses: self.settings_seeds.clone(),
            peers: Vec::new(),
            founder_count: usize::from(SEED_CORES),
            membership_policy: MembershipPolicy::tolerating(
                self.tolerated_core_losses,
                1,
                self.replace_after_ms,
            ),
            timing,
            seed,
            promised_founders: state.promised_founders.clone(),
            claims_caught_up: state.claims_caught_up,
            max_claims: self.max_claims,
            founding_seeds,
            only_seeds_bootstrap: self.only_seeds_bootstrap,
            pacing: self.pacing.clone(),
            worker_poll_ms: self.singleton_poll_ms,
        };
        Controller::new(config, stored.map(|stored| stored.to_consensus()), now)
    }

    fn new_edge_controller(&self, process: usize, me: Hello) -> EdgeController {
        let state = &self.processes[process];
        let cluster = ClusterView::new(
            self.site.clone(),
            state.name.clone(),
            state.zone,
            state.region,
        );
        let (now, wall) = (self.monotonic_ms(process), self.wall(process));
        let subscription = CoreSubscription::new(&self.settings_seeds, self.lease_ms, now, wall)
            .with_node_name(&state.name)
            .with_pacing(&self.pacing);
        EdgeController::new(me, cluster, subscription)
    }

    /// Whether a process is up in that incarnation.
    pub(super) fn runs(&self, process: usize, incarnation: u64) -> bool {
        let state = &self.processes[process];
        state.up && state.incarnation == incarnation
    }

    fn tick(&mut self, process: usize, incarnation: u64) {
        if !self.runs(process, incarnation) {
            return;
        }
        let state = &self.processes[process];
        let (core, frozen) = (state.core, state.frozen_until > self.now);
        let interval = if core {
            self.pacing.tick_ms
        } else {
            EDGE_TICK_MS
        };
        self.after(interval, move |world| world.tick(process, incarnation));
        if frozen {
            return;
        }
        if core {
            self.deliver_in_lane(process, incarnation, Lane::Urgent, move |world| {
                world.core_step(process, ControllerEvent::Tick)
            });
        } else {
            self.edge_step(process, EdgeEvent::Tick);
        }
    }

    fn poll_registry(&mut self, process: usize, incarnation: u64) {
        if !self.runs(process, incarnation) {
            return;
        }
        let registry = self.registry.clone();
        self.deliver_registry(process, incarnation, registry);
        self.after(REGISTRY_POLL_MS, move |world| {
            world.poll_registry(process, incarnation)
        });
    }

    /// Crashes a process; a random prefix of its unsynced writes survives.
    pub fn crash(&mut self, process: usize) {
        let unsynced = self.processes[process].disk.unsynced() as u64;
        let survive = self.rng.below(unsynced + 1) as usize;
        let state = &mut self.processes[process];
        state.up = false;
        state.incarnation += 1;
        state.role = Role::Down;
        state.frozen_until = 0;
        state.busy_until_us = 0;
        state.inbox.clear();
        state.disk.crash(survive);
        self.close_all(process);
        self.lose_client_connections(process);
    }
}

impl Process {
    fn hello(&self, incarnation: u64) -> Hello {
        Hello {
            id: self.id,
            node: self.name.clone(),
            core: self.core,
            region: self.region,
            zone: self.zone,
            addr: self.addr.map_or(String::new(), |addr| addr.to_string()),
            http: self.name.clone(),
            founded: false,
            incarnation,
            ..Hello::default()
        }
    }
}
