//! Random faults from a seed: signals and restarts of edges and cores, and replacements of
//! workers. Faults of several processes overlap.

use super::plan::{MODEL_SERVICE, PAGE_SERVICE};
use super::processes::{Process, ProcessFleet, ProcessRole};
use super::records::Records;
use super::workers::{WorkerMode, WorkerSlot};
use crate::rand::Rand;
use async_std::task::{sleep, spawn};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a process is paused or down.
const MIN_PAUSE_MS: u64 = 200;
const MAX_PAUSE_MS: u64 = 1300;
/// Long enough for an operator to give up a call and have newer ones acknowledged.
const MAX_CORE_PAUSE_MS: u64 = 4000;

/// A fault of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessFault {
    /// SIGTERM, and a start after it has ended.
    Restart,
    Kill,
    /// SIGSTOP, and SIGCONT after a while.
    Pause,
    /// SIGHUP.
    Reload,
    /// SIGKILL, and a start without its data.
    LoseDisk,
}

/// A series of faults of the processes of one role.
pub struct FaultSeries {
    fleet: Arc<ProcessFleet>,
    records: Arc<Records>,
    random: Rand,
    /// Indices of the processes with a fault in progress.
    faulty: Arc<Mutex<HashSet<usize>>>,
}

impl FaultSeries {
    pub fn new(fleet: Arc<ProcessFleet>, records: Arc<Records>, seed: u64) -> FaultSeries {
        FaultSeries {
            fleet,
            records,
            random: Rand::new(seed),
            faulty: Arc::default(),
        }
    }

    /// Injects faults of edges, in up to half of them at a time, until the soak stops.
    pub async fn run_on_edges(mut self) {
        let edges = self.fleet.with_role(ProcessRole::Edge).count();
        while !self.records.stopped() {
            let kind = match self.random.below(10) {
                0..=4 => ProcessFault::Restart,
                5 => ProcessFault::Kill,
                6 | 7 => ProcessFault::Pause,
                _ => ProcessFault::Reload,
            };
            self.begin(ProcessRole::Edge, kind, edges.div_ceil(2));
            sleep(Duration::from_millis(200 + self.random.below(900))).await;
        }
    }

    /// Injects faults of cores, in one at a time, or kills all, until the soak stops.
    pub async fn run_on_cores(mut self) {
        while !self.records.stopped() {
            sleep(Duration::from_millis(1500 + self.random.below(3000))).await;
            let kind = match self.random.below(13) {
                0 => {
                    self.kill_all_cores().await;
                    continue;
                }
                1 => ProcessFault::LoseDisk,
                2..=4 => ProcessFault::Restart,
                5 | 6 => ProcessFault::Kill,
                7 => ProcessFault::Reload,
                _ => ProcessFault::Pause,
            };
            self.begin(ProcessRole::Core, kind, 1);
        }
    }

    /// All cores are killed at the same moment; their disks stay.
    async fn kill_all_cores(&mut self) {
        while !crate::sync::lock(&self.faulty).is_empty() {
            sleep(Duration::from_millis(50)).await;
        }
        let cores = || self.fleet.with_role(ProcessRole::Core);
        cores().for_each(|core| self.fleet.kill(core));
        sleep(Duration::from_millis(100 + self.random.below(600))).await;
        cores().for_each(|core| start(&self.fleet, &self.records, core));
        // time for a quorum to form before the next fault
        sleep(Duration::from_secs(6)).await;
    }

    /// Begins a fault of a random process, unless that one or `limit` processes have one.
    fn begin(&mut self, role: ProcessRole, kind: ProcessFault, limit: usize) {
        let all: Vec<usize> = self.fleet.with_role(role).map(|p| p.index).collect();
        let index = all[self.random.below(all.len() as u64) as usize];
        let mut faulty = crate::sync::lock(&self.faulty);
        if faulty.len() >= limit || !faulty.insert(index) {
            return;
        }
        let longest_ms = match (role, kind) {
            (ProcessRole::Core, ProcessFault::Pause) => MAX_CORE_PAUSE_MS,
            _ => MAX_PAUSE_MS,
        };
        let pause = Duration::from_millis(MIN_PAUSE_MS + self.random.below(longest_ms));
        let (fleet, records, faulty) = (
            self.fleet.clone(),
            self.records.clone(),
            self.faulty.clone(),
        );
        spawn(async move {
            let process = &fleet.processes[index];
            apply(&fleet, &records, process, kind, pause).await;
            if process.role == ProcessRole::Core {
                // time to catch up before another core may fail
                sleep(Duration::from_secs(5)).await;
            }
            crate::sync::lock(&faulty).remove(&index);
        });
    }
}

fn start(fleet: &ProcessFleet, records: &Records, process: &Process) {
    if let Err(error) = fleet.start(process) {
        records.violation(format!("{} cannot be started: {error}", process.name));
    }
}

async fn apply(
    fleet: &ProcessFleet,
    records: &Records,
    process: &Process,
    kind: ProcessFault,
    pause: Duration,
) {
    match kind {
        ProcessFault::Reload => fleet.signal(process, "HUP"),
        ProcessFault::Pause => {
            fleet.signal(process, "STOP");
            sleep(pause).await;
            fleet.signal(process, "CONT");
        }
        ProcessFault::Kill | ProcessFault::LoseDisk => {
            fleet.kill(process);
            if kind == ProcessFault::LoseDisk {
                fleet.wipe(process);
            }
            sleep(pause).await;
            start(fleet, records, process);
        }
        ProcessFault::Restart => {
            fleet.signal(process, "TERM");
            if !fleet.wait_for_end(process).await {
                records.violation(format!(
                    "{} did not end within its grace period after SIGTERM",
                    process.name
                ));
            }
            start(fleet, records, process);
        }
    }
}

/// Makes random workers crash, drain or stop answering, and replaces each by a new worker
/// at the same address, sometimes of another service, until the soak stops.
pub async fn run_on_workers(workers: Vec<Arc<WorkerSlot>>, records: Arc<Records>, seed: u64) {
    let mut random = Rand::new(seed);
    while !records.stopped() {
        sleep(Duration::from_millis(1000 + random.below(2500))).await;
        let index = random.below(workers.len() as u64) as usize;
        let slot = workers[index].clone();
        if slot.identity().mode != WorkerMode::Serving {
            continue;
        }
        let mode = match random.below(4) {
            0 => WorkerMode::Silent,
            1 | 2 => WorkerMode::Draining,
            _ => WorkerMode::Crashed,
        };
        let duration = Duration::from_millis(800 + random.below(2500));
        let service = match random.chance(30) {
            true if slot.identity().service == MODEL_SERVICE => PAGE_SERVICE,
            true => MODEL_SERVICE,
            false => slot.identity().service,
        };
        spawn(async move {
            slot.set_mode(mode);
            sleep(duration).await;
            // an address may be reused two seconds after the end of its worker
            slot.set_mode(WorkerMode::Crashed);
            sleep(Duration::from_secs(2)).await;
            slot.start_next_worker(index, service);
        });
    }
}
