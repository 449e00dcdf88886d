//! The cores: the real `Controller` with a simulated disk, worker list, load
//! reports and operators' changes.

use super::{workload, Pending, Process, Role, SimEvent, World};
use crate::disk::Disk;
use sorreldoor::consensus::{Member, Timing};
use sorreldoor::control_plane::membership::MembershipPolicy;
use sorreldoor::control_plane::{Controller, ControllerConfig, ControllerEffect, ControllerEvent};
use sorreldoor::discovery;
use sorreldoor::pacing::Pacing;
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::runtime::Reducer;
use sorreldoor::wire::{Hello, ProposalOutcome};
use std::net::SocketAddr;

/// A core: its controller, disk, and the values that it stores.
pub struct Core {
    pub controller: Controller,
    pub disk: Disk,
    promise: Option<Vec<Member>>,
    sure: bool,
}

impl World {
    /// The only constructor of a core's controller.
    fn new_controller(&mut self, process: usize, incarnation: u64) -> Controller {
        let start = ControllerConfig {
            own_hello: self.hello(process, incarnation),
            site: self.site.clone(),
            seed_addresses: self.seeds(),
            peers: Vec::new(),
            founder_count: self.size.cores,
            membership_policy: MembershipPolicy {
                target_voters: self.size.cores,
                tolerated_zones: 1,
                replace_after_ms: 30_000,
            },
            timing: Timing::for_ack(2000),
            seed: self.rng.draw(),
            promised_founders: None,
            claims_caught_up: false,
            max_claims: self.size.most_claims,
            founding_seeds: Some(self.seeds()),
            only_seeds_bootstrap: false,
            pacing: Pacing::default(),
            worker_poll_ms: None,
        };
        Controller::new(start, None, self.now)
    }

    pub(super) fn hello(&self, process: usize, incarnation: u64) -> Hello {
        let process_state = &self.processes[process];
        Hello {
            id: process_state.id,
            node: process_state.name.clone(),
            core: process_state.addr.is_some(),
            region: process_state.region,
            zone: process_state.zone,
            addr: process_state
                .addr
                .map_or(String::new(), |addr| addr.to_string()),
            http: format!("10.2.{}.{}:8443", process / 250, process % 250 + 1),
            founded: false,
            incarnation,
            ..Hello::default()
        }
    }

    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.processes.iter().filter_map(|peer| peer.addr).collect()
    }

    pub(super) fn start_core(&mut self, process: usize, incarnation: u64) {
        let controller = self.new_controller(process, incarnation);
        self.processes[process].role = Role::Core(Box::new(Core {
            controller,
            disk: Disk::default(),
            promise: None,
            sure: false,
        }));
        self.after(0, SimEvent::PollRegistry(process, incarnation));
    }

    pub(super) fn controller_at(&self, process: usize) -> Option<&Controller> {
        match &self.processes[process].role {
            Role::Core(core) => Some(&core.controller),
            _ => None,
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |process: &usize| {
            let consensus = self
                .controller_at(*process)
                .and_then(|controller| controller.consensus());
            consensus.is_some_and(|consensus| consensus.leads_globally())
        };
        self.cores().find(leads)
    }

    pub(super) fn singleton_holder(&self) -> Option<usize> {
        self.cores().find(|process| {
            self.controller_at(*process)
                .is_some_and(|controller| controller.holds_singleton_role())
        })
    }

    /// Hands an event to a core's controller; its host time counts under `what`.
    pub(super) fn controller(
        &mut self,
        process: usize,
        what: &'static str,
        event: ControllerEvent,
    ) {
        let now = self.clock();
        let Process { role, meter, .. } = &mut self.processes[process];
        let Role::Core(core) = role else { return };
        let effects = meter.time(what, || core.controller.step(event, now));
        for effect in effects {
            self.core_effect(process, effect);
        }
    }

    fn core_effect(&mut self, process: usize, effect: ControllerEffect) {
        let incarnation = self.processes[process].incarnation;
        let now = self.now;
        match effect {
            ControllerEffect::Save(seq, save) => {
                let Role::Core(core) = &mut self.processes[process].role else {
                    return;
                };
                let bytes = sorreldoor::replicated_state::encode(&save).len();
                let at = core.disk.queue(seq, save, now);
                self.processes[process]
                    .meter
                    .flow("disk", "own", "save", bytes);
                self.at(at, SimEvent::Saved(process, incarnation, seq));
            }
            ControllerEffect::StoreValue(what, bytes) => {
                if let Role::Core(core) = &mut self.processes[process].role {
                    match what {
                        "sure" => core.sure = true,
                        _ => core.promise = sorreldoor::replicated_state::decode(&bytes),
                    }
                }
            }
            ControllerEffect::Send(conn, payload) => self.send(process, conn, payload),
            ControllerEffect::Connect(addr) => self.peer_addresses(process, addr),
            ControllerEffect::Disconnect(addr) => self.disconnect(process, addr),
            ControllerEffect::Close(conn) => self.close(conn),
            ControllerEffect::ChangeDone {
                request_id,
                outcome,
            } => self.change_done(request_id, outcome),
            // all answers of a round arrive within the time-out of one
            ControllerEffect::PollLoads { epoch, .. } => {
                self.after(200, SimEvent::LoadReports(process, incarnation, epoch))
            }
            _ => {}
        }
    }

    pub(super) fn save_synced(&mut self, process: usize, seq: u64) {
        if let Role::Core(core) = &mut self.processes[process].role {
            core.disk.synced(seq);
        }
        self.controller(process, "saved", ControllerEvent::Saved(seq));
    }

    /// The platform's worker list, as the daemon polls and parses it.
    pub(super) fn poll_registry(&mut self, process: usize, incarnation: u64) {
        let (text, site) = (&self.registry, &self.site);
        let meter = &mut self.processes[process].meter;
        let registry = meter.time("parse", || discovery::read_registry(text.as_bytes(), site));
        meter.flow("in", "platform", "workers", text.len());
        self.controller(
            process,
            "registry",
            ControllerEvent::WorkerListRead(registry),
        );
        self.after(500, SimEvent::PollRegistry(process, incarnation));
    }

    /// A round of load reports, each parsed from a worker's own text.
    pub(super) fn receive_load_reports(&mut self, process: usize, epoch: u64) {
        let mut texts = Vec::with_capacity(self.size.workers);
        for i in 0..self.size.workers {
            texts.push(workload::load(i, &mut self.rng));
        }
        let meter = &mut self.processes[process].meter;
        for text in &texts {
            meter.flow("in", "worker", "load", text.len());
        }
        let loads = meter.time("parse", || {
            let all = texts.iter().enumerate();
            all.filter_map(|(i, text)| {
                discovery::read_load(text.as_bytes(), &workload::worker(i)).ok()
            })
            .collect()
        });
        self.controller(
            process,
            "loads",
            ControllerEvent::LoadsPolled { epoch, loads },
        );
    }

    /// Proposes an operator's change at a random core, and schedules the next.
    pub(super) fn operator_change(&mut self) {
        if self.size.changes_per_s <= 0.0 {
            return;
        }
        let gap = (1000.0 / self.size.changes_per_s) as u64;
        self.after(gap.max(1), SimEvent::Change);
        self.count += 1;
        let (request_id, since) = (self.count, self.now);
        self.propose(Pending {
            request_id,
            since,
            version: None,
        });
    }

    pub(super) fn propose(&mut self, change: Pending) {
        let process = self.rng.below(self.size.cores as u64) as usize;
        let consensus = self
            .controller_at(process)
            .and_then(|controller| controller.consensus());
        let base = consensus.map_or(0, |consensus| consensus.state_machine().version());
        let command = if base == 0 {
            let document = workload::configuration(&self.size);
            Command::Put {
                base,
                document,
                new_version: None,
            }
        } else {
            workload::edit(&self.size, base, &mut self.rng)
        };
        let (request_id, proposal_id) = (change.request_id, u128::from(self.rng.draw()));
        self.pending.push(change);
        self.controller(
            process,
            "change",
            ControllerEvent::Change {
                request_id,
                proposal_id,
                command,
            },
        );
    }

    fn change_done(&mut self, request_id: u64, outcome: ProposalOutcome) {
        let Some(i) = self
            .pending
            .iter()
            .position(|change| change.request_id == request_id)
        else {
            return;
        };
        match outcome {
            ProposalOutcome::Committed(Outcome::Applied { version }) => {
                self.commit_ms.push(self.now - self.pending[i].since);
                self.pending[i].version = Some(version);
                self.record_applied_changes();
            }
            // an invalid configuration stays invalid; the report shows it as missing
            ProposalOutcome::Committed(Outcome::Invalid { .. } | Outcome::TooLarge { .. }) => {
                self.pending.remove(i);
            }
            _ => {
                let change = self.pending.remove(i);
                self.after(100, SimEvent::RetryChange(change));
            }
        }
    }

    /// Records the changes that every running node has applied.
    pub(super) fn record_applied_changes(&mut self) {
        let version = |process: &Process| match &process.role {
            Role::Node(node) => Some(node.version()),
            _ => None,
        };
        let lowest_applied = self.processes.iter().filter_map(version).min().unwrap_or(0);
        let now = self.now;
        let is_applied = |change: &Pending| change.version.is_some_and(|v| v <= lowest_applied);
        let applied = self.pending.iter().filter(|change| is_applied(change));
        self.propagation_ms
            .extend(applied.map(|change| now - change.since));
        self.pending.retain(|change| !is_applied(change));
    }
}
