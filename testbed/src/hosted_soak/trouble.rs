//! Series of trouble, drawn by seed, that overlap: signals and restarts of
//! edges, of cores, and lives of workers.

use super::plan::{MODEL_SERVICE, PAGE_SERVICE};
use super::processes::{Process, ProcessFleet, ProcessRole};
use super::records::Records;
use super::workers::{WorkerMode, WorkerSlot};
use crate::rand::Rand;
use async_std::task::{sleep, spawn};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessTrouble {
    /// SIGTERM, and a start once it has ended.
    Restart,
    Kill,
    /// SIGSTOP, and SIGCONT after a while.
    Pause,
    /// SIGHUP.
    Reload,
    /// The process ends and its disk is lost.
    LoseDisk,
}

/// One series: its trouble begins again and again, before the last has ended.
pub struct Series {
    fleet: Arc<ProcessFleet>,
    records: Arc<Records>,
    random: Rand,
    /// Processes in trouble now, by their index.
    busy: Arc<Mutex<HashSet<usize>>>,
}

impl Series {
    pub fn new(fleet: Arc<ProcessFleet>, records: Arc<Records>, seed: u64) -> Series {
        Series {
            fleet,
            records,
            random: Rand::new(seed),
            busy: Arc::default(),
        }
    }

    /// Trouble of edges: up to half of them at a time.
    pub async fn of_edges(mut self) {
        let edges = self.fleet.with_role(ProcessRole::Edge).count();
        while !self.records.stopped() {
            let kind = match self.random.below(10) {
                0..=4 => ProcessTrouble::Restart,
                5 => ProcessTrouble::Kill,
                6 | 7 => ProcessTrouble::Pause,
                _ => ProcessTrouble::Reload,
            };
            self.begin(ProcessRole::Edge, kind, edges.div_ceil(2));
            sleep(Duration::from_millis(200 + self.random.below(900))).await;
        }
    }

    /// Trouble of cores: one at a time, and now and then all at once.
    pub async fn of_cores(mut self) {
        while !self.records.stopped() {
            sleep(Duration::from_millis(1500 + self.random.below(3000))).await;
            let kind = match self.random.below(10) {
                0 => {
                    self.kill_all_cores().await;
                    continue;
                }
                1 => ProcessTrouble::LoseDisk,
                2..=4 => ProcessTrouble::Restart,
                5 | 6 => ProcessTrouble::Kill,
                7 | 8 => ProcessTrouble::Pause,
                _ => ProcessTrouble::Reload,
            };
            self.begin(ProcessRole::Core, kind, 1);
        }
    }

    /// All cores are killed at the same moment; their disks stay.
    async fn kill_all_cores(&mut self) {
        while !crate::sync::lock(&self.busy).is_empty() {
            sleep(Duration::from_millis(50)).await;
        }
        let cores = || self.fleet.with_role(ProcessRole::Core);
        cores().for_each(|core| self.fleet.kill(core));
        sleep(Duration::from_millis(100 + self.random.below(600))).await;
        cores().for_each(|core| start(&self.fleet, &self.records, core));
        // a majority needs time to form before the next loss
        sleep(Duration::from_secs(6)).await;
    }

    /// Begins trouble of one process, unless `most` are in trouble.
    fn begin(&mut self, role: ProcessRole, kind: ProcessTrouble, most: usize) {
        let all: Vec<usize> = self.fleet.with_role(role).map(|p| p.index).collect();
        let index = all[self.random.below(all.len() as u64) as usize];
        let mut busy = crate::sync::lock(&self.busy);
        if busy.len() >= most || !busy.insert(index) {
            return;
        }
        let pause = Duration::from_millis(200 + self.random.below(1300));
        let (fleet, records, busy) = (self.fleet.clone(), self.records.clone(), self.busy.clone());
        spawn(async move {
            let process = &fleet.processes[index];
            happen(&fleet, &records, process, kind, pause).await;
            if process.role == ProcessRole::Core {
                // what it missed has to reach it before another may be lost
                sleep(Duration::from_secs(5)).await;
            }
            crate::sync::lock(&busy).remove(&index);
        });
    }
}

fn start(fleet: &ProcessFleet, records: &Records, process: &Process) {
    if let Err(error) = fleet.start(process) {
        records.violation(format!("{} cannot be started: {error}", process.name));
    }
}

async fn happen(
    fleet: &ProcessFleet,
    records: &Records,
    process: &Process,
    kind: ProcessTrouble,
    pause: Duration,
) {
    match kind {
        ProcessTrouble::Reload => fleet.signal(process, "HUP"),
        ProcessTrouble::Pause => {
            fleet.signal(process, "STOP");
            sleep(pause).await;
            fleet.signal(process, "CONT");
        }
        ProcessTrouble::Kill | ProcessTrouble::LoseDisk => {
            fleet.kill(process);
            if kind == ProcessTrouble::LoseDisk {
                fleet.wipe(process);
            }
            sleep(pause).await;
            start(fleet, records, process);
        }
        ProcessTrouble::Restart => {
            fleet.signal(process, "TERM");
            if !fleet.wait_for_end(process).await {
                records.violation(format!(
                    "{} outlived its grace period after SIGTERM",
                    process.name
                ));
            }
            start(fleet, records, process);
        }
    }
}

/// Lives of workers: they crash, drain, fall silent, and come back at the same
/// address as workers of another service.
pub async fn of_workers(workers: Vec<Arc<WorkerSlot>>, records: Arc<Records>, seed: u64) {
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
        let lasts = Duration::from_millis(800 + random.below(2500));
        let service = match random.chance(30) {
            true if slot.identity().service == MODEL_SERVICE => PAGE_SERVICE,
            true => MODEL_SERVICE,
            false => slot.identity().service,
        };
        spawn(async move {
            slot.set_mode(mode);
            sleep(lasts).await;
            // an address is free for another worker two seconds after the end
            slot.set_mode(WorkerMode::Crashed);
            sleep(Duration::from_secs(2)).await;
            slot.begin_life(index, service);
        });
    }
}
