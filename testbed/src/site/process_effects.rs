//! Steps the processes' reducers and carries out their effects.

use super::inbox::Lane;
use super::{LogRecord, Role, World};
use sorreldoor::consensus::Save;
use sorreldoor::control_plane::{Controller, ControllerEffect, ControllerEvent};
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::gateway::{EdgeController, EdgeEffect, EdgeEvent};
use sorreldoor::log_events::LogEvent;
use sorreldoor::net::NetEvent;
use sorreldoor::replicated_state::{decode, encode};
use sorreldoor::runtime::Reducer;
use sorreldoor::types::Millis;

/// Latency of a read of the platform's list of workers.
const REGISTRY_READ_MS: Millis = 20;
/// Latency of the health checks of the workers.
const HEALTH_CHECK_MS: Millis = 40;
/// Interval at which the sync of a stuck disk is tried again.
const STUCK_DISK_RETRY_MS: Millis = 50;

impl World {
    /// Delivers an event of a connection to the process at one end.
    pub(crate) fn net_event(&mut self, process: usize, event: NetEvent) {
        if self.processes[process].core {
            self.core_step(process, ControllerEvent::Net(event));
        } else {
            self.edge_step(process, EdgeEvent::Net(event));
        }
    }

    /// The controller of a core that is up.
    pub fn controller(&self, process: usize) -> Option<&Controller> {
        match &self.processes[process].role {
            Role::Core(controller) => Some(controller),
            _ => None,
        }
    }

    /// The controller of an edge that is up.
    pub fn edge_controller(&self, process: usize) -> Option<&EdgeController> {
        match &self.processes[process].role {
            Role::Edge(controller) => Some(controller),
            _ => None,
        }
    }

    /// Steps a core's reducer and carries out its effects, in order; nothing
    /// happens if the process is down.
    pub fn core_step(&mut self, process: usize, event: ControllerEvent) {
        let now = self.clocks(process);
        self.charge_event(process);
        let Role::Core(controller) = &mut self.processes[process].role else {
            return;
        };
        for effect in controller.step(event, now) {
            self.core_effect(process, effect);
        }
    }

    /// Steps an edge's reducer and carries out its effects, in order; nothing
    /// happens if the process is down.
    pub fn edge_step(&mut self, process: usize, event: EdgeEvent) {
        let now = self.clocks(process);
        let Role::Edge(controller) = &mut self.processes[process].role else {
            return;
        };
        for effect in controller.step(event, now) {
            self.edge_effect(process, effect);
        }
    }

    fn core_effect(&mut self, process: usize, effect: ControllerEffect) {
        match effect {
            ControllerEffect::Save(seq, save) => self.save(process, seq, save),
            ControllerEffect::StoreValue("sure", _) => {
                self.processes[process].claims_caught_up = true
            }
            ControllerEffect::StoreValue(_, bytes) => {
                self.processes[process].promised_founders = decode(&bytes)
            }
            ControllerEffect::Send(conn, payload) => self.send(process, conn, payload),
            ControllerEffect::Connect(addr) => self.connect(process, addr),
            ControllerEffect::Disconnect(addr) => self.disconnect(process, addr),
            ControllerEffect::Close(conn) => self.close(conn),
            ControllerEffect::ReadSeeds => {
                let seeds = self.settings_seeds.clone();
                self.core_event(process, ControllerEvent::SeedsRead(seeds));
            }
            ControllerEffect::ChangeDone {
                request_id,
                outcome,
            } => self.change_answered(request_id, outcome),
            ControllerEffect::ViewReady {
                request_id,
                confirmed,
            } => {
                self.record_read(process, request_id, confirmed);
                self.read_answered(process, request_id, confirmed);
            }
            ControllerEffect::StatusReady { .. } => {}
            ControllerEffect::ReadWorkerList => self.read_registry(process),
            ControllerEffect::PollLoads { epoch, workers } => {
                let names = workers.into_iter().map(|worker| worker.name).collect();
                self.check_workers(process, epoch, names);
            }
            ControllerEffect::Log(event, message) => self.log(process, event, message),
        }
    }

    fn edge_effect(&mut self, process: usize, effect: EdgeEffect) {
        match effect {
            EdgeEffect::Send(conn, payload) => self.send(process, conn, payload),
            EdgeEffect::Connect(addr) => self.connect(process, addr),
            EdgeEffect::Disconnect(addr) => self.disconnect(process, addr),
            EdgeEffect::ReadSeeds => {
                let seeds = self.settings_seeds.clone();
                self.edge_event(process, EdgeEvent::SeedsRead(seeds));
            }
            EdgeEffect::ProposalResult(request_id, outcome) => {
                self.change_answered(request_id, outcome)
            }
            EdgeEffect::Request(effect) => self.request_effect(process, effect),
            EdgeEffect::Admitted(request_id, profile) => {
                self.send_body(process, request_id, profile)
            }
            EdgeEffect::EdgesLocated(..)
            | EdgeEffect::ConfigurationRead(..)
            | EdgeEffect::Status(..) => {}
            EdgeEffect::Log(event, message) => self.log(process, event, message),
        }
    }

    /// Delivers an event that a core has caused itself.
    fn core_event(&mut self, process: usize, event: ControllerEvent) {
        let incarnation = self.processes[process].incarnation;
        self.deliver_to_process(process, incarnation, move |world| {
            world.core_step(process, event)
        });
    }

    /// Delivers an event that an edge has caused itself.
    fn edge_event(&mut self, process: usize, event: EdgeEvent) {
        let incarnation = self.processes[process].incarnation;
        self.deliver_to_process(process, incarnation, move |world| {
            world.edge_step(process, event)
        });
    }

    fn log(&mut self, process: usize, event: LogEvent, message: String) {
        self.log_records.push(LogRecord {
            at: self.now,
            process: self.processes[process].name.clone(),
            event,
            message,
        });
    }

    fn save(&mut self, process: usize, seq: u64, save: Save) {
        if matches!(save, Save::ClaimRecords(_) | Save::ReleasedClaims(_)) {
            self.claims_traffic.disk_bytes += encode(&save).len() as u64;
        }
        let incarnation = self.processes[process].incarnation;
        let durable_at = self.processes[process].disk.queue(seq, save, self.now);
        self.at(durable_at, move |world| {
            world.synced(process, incarnation, seq)
        });
    }

    fn synced(&mut self, process: usize, incarnation: u64, seq: u64) {
        if !self.runs(process, incarnation) {
            return;
        }
        if self.processes[process].disk.stuck {
            self.after(STUCK_DISK_RETRY_MS, move |world| {
                world.synced(process, incarnation, seq)
            });
            return;
        }
        self.processes[process].disk.synced(seq);
        self.deliver_in_lane(process, incarnation, Lane::Urgent, move |world| {
            world.core_step(process, ControllerEvent::Saved(seq))
        });
    }

    /// Starts a read of the platform's list of workers by the holder of the
    /// singleton role.
    fn read_registry(&mut self, process: usize) {
        self.registry_reads += 1;
        let registry = WorkerRegistry {
            version: 0,
            workers: self.registry.workers.clone(),
        };
        let incarnation = self.processes[process].incarnation;
        self.after(REGISTRY_READ_MS, move |world| {
            world.deliver_registry(process, incarnation, registry)
        });
    }

    /// Delivers the platform's list of workers to a core.
    pub(super) fn deliver_registry(
        &mut self,
        process: usize,
        incarnation: u64,
        registry: WorkerRegistry,
    ) {
        self.deliver_to_process(process, incarnation, move |world| {
            world.core_step(process, ControllerEvent::WorkerListRead(Ok(registry)))
        });
    }

    fn check_workers(&mut self, process: usize, epoch: u64, names: Vec<String>) {
        let incarnation = self.processes[process].incarnation;
        self.after(HEALTH_CHECK_MS, move |world| {
            let loads = names.iter().map(|name| world.worker_load(name)).collect();
            world.deliver_to_process(process, incarnation, move |world| {
                world.core_step(process, ControllerEvent::LoadsPolled { epoch, loads })
            });
        });
    }

    /// The core that leads globally, if any does.
    pub fn leader(&self) -> Option<usize> {
        self.cores().into_iter().find(|core| {
            self.controller(*core)
                .and_then(|controller| controller.consensus())
                .is_some_and(|consensus| consensus.leads_globally())
        })
    }
}
