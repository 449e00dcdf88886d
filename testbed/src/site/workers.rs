//! Simulated workers: slots, a queue, a prefix cache, and a record of every
//! execution that began.

use super::World;
use sorreldoor::discovery::{Load, Worker};
use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::AttemptEvent;
use sorreldoor::types::Millis;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The port of worker 0; worker `n` listens on this plus `n`.
const FIRST_WORKER_PORT: u16 = 9000;
/// Prompt prefixes that a worker keeps in its cache.
const CACHED_PREFIXES: usize = 8;
const MODEL_SLOTS: u32 = 4;
const WEB_SLOTS: u32 = 16;
/// Requests in flight that the usual configuration allows at a worker that just
/// started (slow start); one more for every two that it has finished.
const SLOW_START_LIMIT: u64 = 2;

/// One attempt of a request at a worker.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// The edge that sent it, by process, and that edge's incarnation.
    pub edge: usize,
    pub incarnation: u64,
    pub request_id: u64,
    /// Identifies the attempt at its edge.
    pub token: u64,
    pub client: u64,
    /// The idempotency key.
    pub id: String,
}

impl WorkerRequest {
    /// Whether it is this attempt of this edge.
    pub(super) fn same_attempt(&self, edge: usize, token: u64) -> bool {
        self.token == token && self.edge == edge
    }
}

/// A request that a worker began to execute.
#[derive(Clone, Debug)]
pub struct Execution {
    pub at: Millis,
    pub client: u64,
    /// The idempotency key.
    pub id: String,
}

/// A model or web worker and the record of its executions.
pub struct SimulatedWorker {
    pub name: String,
    /// Whether it is a model worker; otherwise it is a web worker.
    pub model: bool,
    pub zone: u16,
    pub region: u8,
    pub slots: u32,
    pub up: bool,
    /// Incremented at every start and crash; events of an older one are ignored.
    pub incarnation: u64,
    pub frozen_until: Millis,
    pub running: Vec<WorkerRequest>,
    pub waiting: VecDeque<WorkerRequest>,
    /// Requests finished since the last start.
    pub finished: u64,
    /// All executions that began, over all incarnations.
    pub executions: Vec<Execution>,
    /// Prefixes in the cache, the most recently used last.
    pub cache: VecDeque<String>,
    pub hits: u64,
    pub misses: u64,
    pub peak_in_flight: usize,
    /// The most requests in flight beyond the slow-start limit.
    pub slow_start_excess: u32,
    /// Time to process a prompt prefix that is not cached.
    pub prefill_ms: Millis,
    /// Time to process the rest of a prompt.
    pub tail_ms: Millis,
    /// Time between the events of a stream.
    pub gap_ms: Millis,
}

impl SimulatedWorker {
    fn new(name: String, model: bool, zone: u16, region: u8) -> SimulatedWorker {
        SimulatedWorker {
            name,
            model,
            zone,
            region,
            slots: if model { MODEL_SLOTS } else { WEB_SLOTS },
            up: true,
            incarnation: 1,
            frozen_until: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            finished: 0,
            executions: Vec::new(),
            cache: VecDeque::new(),
            hits: 0,
            misses: 0,
            peak_in_flight: 0,
            slow_start_excess: 0,
            prefill_ms: 120,
            tail_ms: 20,
            gap_ms: 15,
        }
    }

    /// Looks a prefix up and makes it the most recently used one; returns whether
    /// it was cached. Requests without a prefix never hit.
    pub(super) fn use_prefix(&mut self, key: String) -> bool {
        if key.is_empty() {
            return false;
        }
        let hit = self.cache.contains(&key);
        self.cache.retain(|cached| *cached != key);
        self.cache.push_back(key);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        self.hits += u64::from(hit);
        self.misses += u64::from(!hit);
        hit
    }

    /// Queues a request and updates the peaks.
    pub(super) fn enqueue(&mut self, request: WorkerRequest) {
        self.waiting.push_back(request);
        let in_flight = self.waiting.len() + self.running.len();
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        let limit = SLOW_START_LIMIT + self.finished / 2;
        if limit < u64::from(self.slots) {
            let excess = (in_flight as u64).saturating_sub(limit) as u32;
            self.slow_start_excess = self.slow_start_excess.max(excess);
        }
    }

    /// Drops an attempt, whether it waits or runs.
    pub(super) fn cancel(&mut self, edge: usize, token: u64) {
        self.waiting.retain(|r| !r.same_attempt(edge, token));
        self.running.retain(|r| !r.same_attempt(edge, token));
    }

    /// Frees the slot of an attempt; returns whether it was running here.
    pub(super) fn finish(&mut self, edge: usize, token: u64) -> bool {
        let before = self.running.len();
        self.running.retain(|r| !r.same_attempt(edge, token));
        let was_running = self.running.len() < before;
        self.finished += u64::from(was_running);
        was_running
    }

    fn load(&self) -> Load {
        Load {
            name: self.name.clone(),
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            slots: self.slots,
            finished: self.finished,
            live: true,
            ..Load::default()
        }
    }
}

fn worker_address(worker: usize) -> SocketAddr {
    ([127, 0, 0, 1], FIRST_WORKER_PORT + worker as u16).into()
}

/// The worker that listens on a port.
pub(super) fn worker_at(port: u16) -> usize {
    usize::from(port - FIRST_WORKER_PORT)
}

impl World {
    /// Creates the workers of the preset: the model workers spread over each
    /// region's zones, then the web workers over all zones.
    pub(crate) fn add_workers(&mut self) {
        for (region, zones, count) in self.preset.regions.clone() {
            for i in 0..count {
                let zone = self.site.zone(zones[i % zones.len()]).unwrap_or(0);
                self.add_worker(format!("{region}-gpu{i}"), true, zone);
            }
        }
        let zones = self.site.zones.len();
        for i in 0..self.preset.web_workers {
            self.add_worker(format!("web{i}"), false, (i % zones) as u16);
        }
        self.registry.version = 1;
    }

    fn add_worker(&mut self, name: String, model: bool, zone: u16) {
        let region = self.site.region_of_zone(zone).unwrap_or(0);
        self.registry.workers.push(Worker {
            name: name.clone(),
            addr: worker_address(self.workers.len()),
            group: if model { "gpu" } else { "web" }.into(),
            zone,
            region,
            leaving: false,
            slots: 0,
            cold_ms: 0,
            leaves_ms: None,
            software_version: String::new(),
        });
        self.workers
            .push(SimulatedWorker::new(name, model, zone, region));
    }

    /// The index of the worker with this name.
    ///
    /// # Panics
    /// If no worker has it.
    pub fn worker(&self, name: &str) -> usize {
        self.workers
            .iter()
            .position(|worker| worker.name == name)
            .expect("a worker with this name")
    }

    /// The group under which the platform lists a worker.
    pub(super) fn registered_group(&self, worker: usize) -> String {
        let name = &self.workers[worker].name;
        let mut registered = self.registry.workers.iter();
        let row = registered.find(|row| row.name == *name);
        row.map_or_else(String::new, |row| row.group.clone())
    }

    /// Lists a worker as draining at the platform.
    pub fn drain_worker(&mut self, worker: usize) {
        let name = self.workers[worker].name.clone();
        let registered = self.registry.workers.iter_mut();
        registered
            .filter(|row| row.name == name)
            .for_each(|row| row.leaving = true);
        self.registry.version += 1;
        self.draining_since.insert(worker, self.now);
    }

    /// Crashes a worker: all its attempts fail.
    pub fn crash_worker(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        state.up = false;
        state.incarnation += 1;
        let running = state.running.drain(..);
        let lost: Vec<WorkerRequest> = running.chain(state.waiting.drain(..)).collect();
        for request in lost {
            self.send_to_edge(
                worker,
                request,
                AttemptEvent::Failed(ErrorCode::WorkerDisconnected),
            );
        }
    }

    /// Starts a worker with an empty cache; one that is up crashes first.
    pub fn restart_worker(&mut self, worker: usize) {
        if self.workers[worker].up {
            self.crash_worker(worker);
        }
        let state = &mut self.workers[worker];
        state.up = true;
        state.incarnation += 1;
        state.finished = 0;
        state.cache.clear();
        state.frozen_until = 0;
    }

    /// A worker's answer to a health check; not live if it is down, frozen or
    /// unknown.
    pub(crate) fn worker_load(&self, name: &str) -> Load {
        let worker = self.workers.iter().find(|worker| worker.name == name);
        match worker {
            Some(worker) if worker.up && worker.frozen_until <= self.now => worker.load(),
            _ => Load {
                name: name.to_string(),
                ..Load::default()
            },
        }
    }
}
