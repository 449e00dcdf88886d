//! Simulation of a complete site in virtual time: the product's own reducers
//! for cores and edges, over a simulated network, disks, clocks, workers,
//! platform and clients that can all fail. Runs are deterministic by seed.
//!
//! A test builds a [`World`], injects faults, lets virtual time pass, and gives
//! the records of the run to [`check`].

mod checker;
mod clients;
mod clocks;
mod configuration_history;
mod fault_injection;
mod half_open;
mod inbox;
pub mod linearizability;
mod network;
mod operators;
mod process_effects;
mod processes;
mod processor;
mod proposals;
mod random_configuration;
mod records;
mod startup;
mod traffic;
mod worker_execution;
mod worker_requests;
mod workers;

pub use checker::check;
pub use clients::{Client, ClientOutcome};
pub use fault_injection::FaultMix;
pub use half_open::HalfOpenFaults;
pub use network::{ClaimsTraffic, Partition};
use processes::{seed_address, SEED_CORES};
pub use processes::{Process, Role};
pub use processor::CpuCosts;
pub use proposals::{OperatorFaults, Proposals, INITIAL_STATE};
pub use random_configuration::random_document;
pub use records::{Change, ForwardedRequest, LogRecord, Read, ReceivedBody};
pub use workers::{Execution, SimulatedWorker};

use crate::fleet::SitePreset;
use crate::rand::Rand;
use sorreldoor::configuration::Site;
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::pacing::Pacing;
use sorreldoor::types::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// An action scheduled for a point of virtual time.
type Action = Box<dyn FnOnce(&mut World)>;

/// The simulated site and the records of its run. Processes and workers are
/// identified by index, clients by number; times are in milliseconds.
pub struct World {
    pub now: Millis,
    pub rng: Rand,
    pub preset: SitePreset,
    pub site: Arc<Site>,
    pub processes: Vec<Process>,
    pub(crate) connections: BTreeMap<u64, network::Connection>,
    /// Connections whose other end has lost power, until the surviving end closes
    /// them.
    pub(crate) half_open: Vec<half_open::HalfOpen>,
    pub half_open_faults: HalfOpenFaults,
    /// Pairs of processes (from, to); what is sent over such a link is withheld.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub workers: Vec<SimulatedWorker>,
    /// Pairs of an edge (by process) and a worker that it cannot reach.
    pub blocked_worker_links: BTreeSet<(usize, usize)>,
    /// The platform's list of workers.
    pub registry: WorkerRegistry,
    /// When the platform first listed a worker as draining.
    pub draining_since: BTreeMap<usize, Millis>,
    pub clients: BTreeMap<u64, Client>,
    pub changes: Vec<Change>,
    /// Changes that operators retry until each has a definite outcome.
    pub proposals: Proposals,
    pub operator_faults: OperatorFaults,
    /// Entries that a core keeps before it compacts its log into a snapshot.
    pub snapshot_entries: Option<u64>,
    /// Answered reads of the configuration, by request.
    pub reads: BTreeMap<u64, Read>,
    pub forwarded: Vec<ForwardedRequest>,
    /// When an edge opened a connection to a worker, and for which client.
    pub opened_attempts: Vec<(Millis, u64)>,
    pub received_bodies: Vec<ReceivedBody>,
    /// Violations recorded during the run.
    pub violations: Vec<String>,
    pub log_records: Vec<LogRecord>,
    /// The target time for acknowledging a change, from which cores derive their
    /// consensus timing.
    pub ack_ms: Millis,
    /// How long an edge's lease lasts after a renewal.
    pub lease_ms: Millis,
    /// Idempotency claims that each core has room for.
    pub max_claims: usize,
    /// Settings of every node of the site.
    pub pacing: Pacing,
    /// Processor time that events cost cores; `None`: events are instantaneous.
    pub cpu_costs: Option<CpuCosts>,
    /// The seeds in the settings files; a process reads them at its start, and again while
    /// it reaches no core.
    pub settings_seeds: Vec<SocketAddr>,
    /// Only the seed cores bootstrap the site; others join it as members.
    pub only_seeds_bootstrap: bool,
    /// How long a core must be lost before another takes its place.
    pub replace_after_ms: Millis,
    /// Cores that the membership policy tolerates losing at once.
    pub tolerated_core_losses: usize,
    /// The interval at which the holder of the singleton role reads the list of
    /// workers; if `None`, every core is sent the list instead.
    pub singleton_poll_ms: Option<Millis>,
    /// Reads of the list of workers by the holder of the singleton role.
    pub registry_reads: u64,
    /// Bytes of frames sent, by sending and receiving process.
    pub bytes: BTreeMap<(usize, usize), u64>,
    /// How many times a client retries a rejected request.
    pub max_client_retries: u32,
    /// The delay of such a retry in seconds; if `None`, clients follow the
    /// response's `Retry-After`.
    pub fixed_retry_after_s: Option<u64>,
    /// Whether clients choose their requests' idempotency keys.
    pub client_chosen_ids: bool,
    pub claims_traffic: ClaimsTraffic,
    /// Scheduled actions, by time and then by order of scheduling.
    queue: BTreeMap<(Millis, u64), Action>,
    scheduled: u64,
    last_number: u64,
}

/// Limit on queued actions, far above the thousands that a site of 300 nodes has.
const MAX_SCHEDULED: usize = 200_000;
/// When connections are polled for the first time.
const FIRST_POLL_MS: Millis = 100;

/// The regions and zones of a preset, both sorted by name.
fn site_of(preset: &SitePreset) -> Site {
    let regions = preset.regions.iter();
    let mut regions: Vec<String> = regions.map(|region| region.0.to_string()).collect();
    regions.sort();
    let mut zones: Vec<(String, u8)> = Vec::new();
    for (region, names, _) in &preset.regions {
        let index = regions.iter().position(|name| name == region);
        let index = index.unwrap_or(0) as u8;
        zones.extend(names.iter().map(|zone| (zone.to_string(), index)));
    }
    zones.sort();
    Site { regions, zones }
}

impl World {
    /// A site whose processes are about to start for the first time.
    #[must_use]
    pub fn new(seed: u64, preset: SitePreset) -> World {
        let site = Arc::new(site_of(&preset));
        let mut world = World {
            now: 0,
            rng: Rand::new(seed),
            preset,
            site,
            processes: Vec::new(),
            connections: BTreeMap::new(),
            half_open: Vec::new(),
            half_open_faults: HalfOpenFaults::default(),
            blocked_links: BTreeSet::new(),
            workers: Vec::new(),
            blocked_worker_links: BTreeSet::new(),
            registry: WorkerRegistry::default(),
            draining_since: BTreeMap::new(),
            clients: BTreeMap::new(),
            changes: Vec::new(),
            proposals: Proposals::default(),
            operator_faults: OperatorFaults::default(),
            snapshot_entries: None,
            reads: BTreeMap::new(),
            forwarded: Vec::new(),
            opened_attempts: Vec::new(),
            received_bodies: Vec::new(),
            violations: Vec::new(),
            log_records: Vec::new(),
            ack_ms: 2000,
            lease_ms: 2000,
            max_claims: 200_000,
            pacing: Pacing::default(),
            cpu_costs: None,
            settings_seeds: (0..SEED_CORES).map(seed_address).collect(),
            only_seeds_bootstrap: false,
            replace_after_ms: 10_000,
            tolerated_core_losses: 1,
            singleton_poll_ms: None,
            registry_reads: 0,
            bytes: BTreeMap::new(),
            max_client_retries: 0,
            fixed_retry_after_s: None,
            client_chosen_ids: true,
            claims_traffic: ClaimsTraffic::default(),
            queue: BTreeMap::new(),
            scheduled: 0,
            last_number: 1,
        };
        world.add_workers();
        world.add_processes();
        world.at(FIRST_POLL_MS, |world| world.poll_connections());
        world
    }

    /// Schedules an action for a point of virtual time, at the earliest now.
    pub fn at(&mut self, at: Millis, action: impl FnOnce(&mut World) + 'static) {
        self.scheduled += 1;
        self.queue
            .insert((at.max(self.now), self.scheduled), Box::new(action));
    }

    /// Schedules an action for some time from now.
    pub fn after(&mut self, ms: Millis, action: impl FnOnce(&mut World) + 'static) {
        let at = self.now + ms;
        self.at(at, action);
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, ms: Millis) {
        let end = self.now + ms;
        self.run_until(end, |_| false);
    }

    /// Lets virtual time pass until `end` or until a condition holds; returns
    /// whether it holds.
    pub fn run_until(&mut self, end: Millis, condition: impl Fn(&World) -> bool) -> bool {
        while let Some((at, _)) = self.queue.keys().next().copied() {
            if condition(self) {
                return true;
            }
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            // a message loop between processes would never end
            assert!(
                self.queue.len() < MAX_SCHEDULED,
                "too many actions queued at {} ms: a message loop",
                self.now
            );
            if let Some((_, action)) = self.queue.pop_first() {
                action(self);
            }
        }
        self.now = self.now.max(end);
        condition(self)
    }

    /// A number that is unique among the requests, clients and connections of the
    /// run.
    pub fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// One-way delay between two regions, with a little jitter.
    pub(crate) fn delay(&mut self, a: u8, b: u8) -> Millis {
        let base = if a == b {
            1
        } else {
            self.preset.region_delay.as_millis() as Millis
        };
        base + self.rng.below(2)
    }

    /// The index of the process with this name.
    ///
    /// # Panics
    /// If no process has it.
    pub fn process(&self, name: &str) -> usize {
        self.processes
            .iter()
            .position(|process| process.name == name)
            .expect("a process with this name")
    }

    /// The indices of all edges, up or not.
    pub fn edges(&self) -> Vec<usize> {
        (0..self.processes.len())
            .filter(|i| !self.processes[*i].core)
            .collect()
    }

    /// The indices of all cores, up or not.
    pub fn cores(&self) -> Vec<usize> {
        (0..self.processes.len())
            .filter(|i| self.processes[*i].core)
            .collect()
    }
}
