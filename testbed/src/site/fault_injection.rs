//! Random fault injection: crashes, freezes, partitions, slow and stuck disks,
//! clock jumps and worker failures; and healing all of them.

use super::World;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;

/// Which faults are injected, and how often.
#[derive(Clone, Copy, Debug)]
pub struct FaultMix {
    pub cores: bool,
    pub edges: bool,
    pub workers: bool,
    /// Blocked links between processes.
    pub links: bool,
    pub clocks: bool,
    /// Operators evacuate and readmit random zones.
    pub changes: bool,
    /// The longest time between faults.
    pub max_interval_ms: Millis,
}

impl FaultMix {
    /// No faults at all.
    #[must_use]
    pub fn none() -> FaultMix {
        FaultMix {
            cores: false,
            edges: false,
            workers: false,
            links: false,
            clocks: false,
            changes: false,
            max_interval_ms: 1200,
        }
    }

    /// Every fault.
    #[must_use]
    pub fn all() -> FaultMix {
        FaultMix {
            cores: true,
            edges: true,
            workers: true,
            links: true,
            clocks: true,
            changes: true,
            max_interval_ms: 1200,
        }
    }
}

/// The shortest duration of a fault.
const MIN_DURATION_MS: Millis = 200;
/// Random addition to the duration of a fault.
const DURATION_SPREAD_MS: Millis = 5000;
const MIN_INTERVAL_MS: Millis = 100;
/// How often, in percent, a frozen process' monotonic clock stops too.
const CLOCK_STOPS_PERCENT: u64 = 30;
/// Range of a wall clock's jump: up to half of it in either direction.
const WALL_JUMP_MS: u64 = 8000;
/// The longest sync of a slow disk.
const SLOW_SYNC_MS: Millis = 120;
/// How often, in percent, a faulty worker crashes rather than freezes.
const WORKER_CRASH_PERCENT: u64 = 50;

impl World {
    /// Injects random faults of the mix until `end`. Most heal by themselves; a slow
    /// disk or a clock jump lasts.
    pub fn inject_faults(&mut self, mix: FaultMix, end: Millis) {
        if self.now >= end {
            return;
        }
        self.inject_fault(mix);
        if mix.changes {
            self.random_zone_change();
        }
        let interval = MIN_INTERVAL_MS + self.rng.below(mix.max_interval_ms);
        self.after(interval, move |world| world.inject_faults(mix, end));
    }

    pub(super) fn random_process(&mut self) -> usize {
        self.rng.below(self.processes.len() as u64) as usize
    }

    pub(super) fn random_core(&mut self) -> usize {
        let cores = self.cores();
        cores[self.rng.below(cores.len() as u64) as usize]
    }

    pub(super) fn random_edge(&mut self) -> usize {
        let edges = self.edges();
        edges[self.rng.below(edges.len() as u64) as usize]
    }

    fn random_worker(&mut self) -> usize {
        self.rng.below(self.workers.len() as u64) as usize
    }

    fn inject_fault(&mut self, mix: FaultMix) {
        let process = self.random_process();
        let peer = self.random_process();
        let state = &self.processes[process];
        let allowed = if state.core { mix.cores } else { mix.edges };
        let duration = MIN_DURATION_MS + self.rng.below(DURATION_SPREAD_MS);
        match self.rng.below(12) {
            0 | 1 if allowed && self.processes[process].up => {
                self.crash(process);
                self.after(duration, move |world| world.start_if_down(process));
            }
            2 if allowed => {
                let clock_stops = self.rng.chance(CLOCK_STOPS_PERCENT);
                self.freeze(process, duration, clock_stops && mix.clocks);
            }
            3 if mix.clocks && allowed => {
                // wall clocks jump both ways; monotonic clocks do not jump
                let jump = self.rng.below(WALL_JUMP_MS) as i64;
                self.processes[process].wall_offset_ms += jump - (WALL_JUMP_MS / 2) as i64;
            }
            4..=6 if !mix.links => {}
            4 if process != peer => self.block_link_both_ways(process, peer, duration),
            5 if process != peer => self.block_link(process, peer, duration),
            6 => self.isolate_temporarily(process, duration),
            7 if mix.cores => {
                let core = self.random_core();
                self.processes[core].disk.sync_ms = 1 + self.rng.below(SLOW_SYNC_MS);
            }
            8 if mix.cores => {
                let core = self.random_core();
                self.processes[core].disk.stuck = true;
                self.after(duration, move |world| {
                    world.processes[core].disk.stuck = false
                });
            }
            9 | 10 if mix.workers => self.crash_or_freeze_worker(duration),
            11 if mix.workers => self.block_worker_link(duration),
            _ => {}
        }
    }

    fn block_link_both_ways(&mut self, a: usize, b: usize, duration: Millis) {
        self.partition_pair(a, b);
        self.after(duration, move |world| {
            world.blocked_links.remove(&(a, b));
            world.blocked_links.remove(&(b, a));
        });
    }

    fn block_link(&mut self, from: usize, to: usize, duration: Millis) {
        self.blocked_links.insert((from, to));
        self.after(duration, move |world| {
            world.blocked_links.remove(&(from, to));
        });
    }

    fn isolate_temporarily(&mut self, process: usize, duration: Millis) {
        self.isolate(process);
        self.after(duration, move |world| {
            let links = &mut world.blocked_links;
            links.retain(|(from, to)| *from != process && *to != process);
        });
    }

    fn crash_or_freeze_worker(&mut self, duration: Millis) {
        let worker = self.random_worker();
        if self.rng.chance(WORKER_CRASH_PERCENT) {
            self.crash_worker(worker);
            self.after(duration, move |world| world.restart_worker(worker));
        } else {
            self.workers[worker].frozen_until = self.now + duration;
        }
    }

    fn block_worker_link(&mut self, duration: Millis) {
        let worker = self.random_worker();
        let edge = self.random_edge();
        self.blocked_worker_links.insert((edge, worker));
        self.after(duration, move |world| {
            world.blocked_worker_links.remove(&(edge, worker));
        });
    }

    pub(super) fn start_if_down(&mut self, process: usize) {
        if !self.processes[process].up {
            self.start(process);
        }
    }

    /// Submits the evacuation or readmission of a random zone to a random process,
    /// based on that process' version.
    pub fn random_zone_change(&mut self) {
        let process = self.random_process();
        let version = self.version_at(process);
        let zone = self.rng.below(self.site.zones.len() as u64) as u16;
        let evacuated = self.rng.chance(40);
        if let Some(base) = version {
            self.change(
                process,
                Command::EvacuateZone {
                    base,
                    zone,
                    evacuated,
                },
            );
        }
    }

    /// Crashes all processes and workers of a zone.
    pub fn crash_zone(&mut self, zone: u16) {
        for process in 0..self.processes.len() {
            if self.processes[process].zone == zone && self.processes[process].up {
                self.crash(process);
            }
        }
        for worker in 0..self.workers.len() {
            if self.workers[worker].zone == zone {
                self.crash_worker(worker);
            }
        }
    }

    /// Starts the processes and workers of a zone.
    pub fn restart_zone(&mut self, zone: u16) {
        for process in 0..self.processes.len() {
            if self.processes[process].zone == zone {
                self.start_if_down(process);
            }
        }
        for worker in 0..self.workers.len() {
            if self.workers[worker].zone == zone {
                self.restart_worker(worker);
            }
        }
    }

    /// Ends all partitions and disk faults, and starts all processes and workers that
    /// are down.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.blocked_worker_links.clear();
        for process in 0..self.processes.len() {
            self.processes[process].disk.stuck = false;
            self.processes[process].disk.sync_ms = 1;
            self.start_if_down(process);
        }
        for worker in 0..self.workers.len() {
            if !self.workers[worker].up {
                self.restart_worker(worker);
            }
        }
    }
}
