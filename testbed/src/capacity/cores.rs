//! The cores: the real `Controller` with a simulated disk, worker list, load
//! reports and operators' changes.

use super::{workload, Event, Pending, Process, Role, World};
use crate::disk::Disk;
use sorreldoor::consensus::{Member, Timing};
use sorreldoor::control_plane::membership::Policy;
use sorreldoor::control_plane::{Controller, ControllerConfig, ControllerEffect, ControllerEvent};
use sorreldoor::discovery;
use sorreldoor::pacing::Pacing;
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::runtime::Reducer;
use sorreldoor::wire::{Hello, OpOutcome};
use std::net::SocketAddr;

pub struct Core {
    pub controller: Controller,
    pub disk: Disk,
    promise: Option<Vec<Member>>,
    sure: bool,
}

impl World {
    /// The one place where a core's reducer is made.
    fn new_controller(&mut self, p: usize, incarnation: u64) -> Controller {
        let start = ControllerConfig {
            me: self.hello(p, incarnation),
            site: self.site.clone(),
            seeds: self.seeds(),
            cores: self.size.cores,
            membership: Policy {
                voters: self.size.cores,
                zones: 1,
                silent_ms: 30_000,
            },
            timing: Timing::for_ack(2000),
            seed: self.rng.draw(),
            promise: None,
            sure: false,
            most_claims: self.size.most_claims,
            bootstrap: true,
            grow: false,
            pacing: Pacing::default(),
            worker_poll_ms: None,
        };
        Controller::new(start, None, self.now)
    }

    pub(super) fn hello(&self, p: usize, incarnation: u64) -> Hello {
        let q = &self.processes[p];
        Hello {
            id: q.id,
            node: q.name.clone(),
            core: q.addr.is_some(),
            region: q.region,
            zone: q.zone,
            addr: q.addr.map_or(String::new(), |a| a.to_string()),
            http: format!("10.2.{}.{}:8443", p / 250, p % 250 + 1),
            founded: false,
            incarnation,
            ..Hello::default()
        }
    }

    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.processes.iter().filter_map(|q| q.addr).collect()
    }

    pub(super) fn start_core(&mut self, p: usize, incarnation: u64) {
        let controller = self.new_controller(p, incarnation);
        self.processes[p].role = Role::Core(Box::new(Core {
            controller,
            disk: Disk::default(),
            promise: None,
            sure: false,
        }));
        self.after(0, Event::Poll(p, incarnation));
    }

    pub(super) fn controller_at(&self, p: usize) -> Option<&Controller> {
        match &self.processes[p].role {
            Role::Core(c) => Some(&c.controller),
            _ => None,
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |p: &usize| {
            let a = self.controller_at(*p).and_then(|h| h.consensus());
            a.is_some_and(|a| a.leads_globally())
        };
        self.cores().find(leads)
    }

    pub(super) fn singleton_holder(&self) -> Option<usize> {
        self.cores().find(|p| {
            self.controller_at(*p)
                .is_some_and(|h| h.holds_singleton_role())
        })
    }

    /// One event through a core's reducer, its host time under `what`.
    pub(super) fn controller(&mut self, p: usize, what: &'static str, ev: ControllerEvent) {
        let now = self.clock();
        let Process { role, meter, .. } = &mut self.processes[p];
        let Role::Core(c) = role else { return };
        let effects = meter.time(what, || c.controller.step(ev, now));
        for f in effects {
            self.core_effect(p, f);
        }
    }

    fn core_effect(&mut self, p: usize, f: ControllerEffect) {
        let incarnation = self.processes[p].incarnation;
        let now = self.now;
        match f {
            ControllerEffect::Save(seq, save) => {
                let Role::Core(c) = &mut self.processes[p].role else {
                    return;
                };
                let n = sorreldoor::replicated_state::encode(&save).len();
                let at = c.disk.queue(seq, save, now);
                self.processes[p].meter.flow("disk", "own", "save", n);
                self.at(at, Event::Saved(p, incarnation, seq));
            }
            ControllerEffect::Keep(what, b) => {
                if let Role::Core(c) = &mut self.processes[p].role {
                    match what {
                        "sure" => c.sure = true,
                        _ => c.promise = sorreldoor::replicated_state::decode(&b),
                    }
                }
            }
            ControllerEffect::Send(conn, m) => self.send(p, conn, m),
            ControllerEffect::Connect(a) => self.peer_addresses(p, a),
            ControllerEffect::Disconnect(a) => self.disconnect(p, a),
            ControllerEffect::Close(c) => self.close(c),
            ControllerEffect::ChangeDone {
                request_id,
                outcome,
            } => self.done(request_id, outcome),
            // all of a round's answers come within the time one may take
            ControllerEffect::PollLoads { epoch, .. } => {
                self.after(200, Event::Rows(p, incarnation, epoch))
            }
            _ => {}
        }
    }

    pub(super) fn saved(&mut self, p: usize, seq: u64) {
        if let Role::Core(c) = &mut self.processes[p].role {
            c.disk.synced(seq);
        }
        self.controller(p, "saved", ControllerEvent::Saved(seq));
    }

    /// The platform's list as the daemon polls and reads it.
    pub(super) fn poll(&mut self, p: usize, incarnation: u64) {
        let (text, site) = (&self.registry, &self.site);
        let m = &mut self.processes[p].meter;
        let r = m.time("parse", || discovery::read_registry(text.as_bytes(), site));
        m.flow("in", "platform", "workers", text.len());
        self.controller(p, "registry", ControllerEvent::WorkerRegistry(r));
        self.after(500, Event::Poll(p, incarnation));
    }

    /// A round of load reports, each read from a worker's own text.
    pub(super) fn rows(&mut self, p: usize, epoch: u64) {
        let mut texts = Vec::with_capacity(self.size.workers);
        for i in 0..self.size.workers {
            texts.push(workload::load(i, &mut self.rng));
        }
        let m = &mut self.processes[p].meter;
        for t in &texts {
            m.flow("in", "worker", "load", t.len());
        }
        let rows = m.time("parse", || {
            let all = texts.iter().enumerate();
            all.filter_map(|(i, t)| discovery::read_load(t.as_bytes(), &workload::worker(i)).ok())
                .collect()
        });
        self.controller(p, "loads", ControllerEvent::Loads { epoch, rows });
    }

    /// An operator's change every so often, through any core.
    pub(super) fn change(&mut self) {
        if self.size.changes_per_s <= 0.0 {
            return;
        }
        let gap = (1000.0 / self.size.changes_per_s) as u64;
        self.after(gap.max(1), Event::Change);
        self.count += 1;
        let (request_id, since) = (self.count, self.now);
        self.propose(Pending {
            request_id,
            since,
            version: None,
        });
    }

    pub(super) fn propose(&mut self, c: Pending) {
        let p = self.rng.below(self.size.cores as u64) as usize;
        let a = self.controller_at(p).and_then(|h| h.consensus());
        let base = a.map_or(0, |a| a.state_machine().version());
        let cmd = if base == 0 {
            let doc = workload::configuration(&self.size);
            Command::Put {
                base,
                document: doc,
                new_version: None,
            }
        } else {
            workload::edit(&self.size, base, &mut self.rng)
        };
        let (request_id, proposal_id) = (c.request_id, u128::from(self.rng.draw()));
        self.pending.push(c);
        self.controller(
            p,
            "change",
            ControllerEvent::Change {
                request_id,
                proposal_id,
                cmd,
            },
        );
    }

    fn done(&mut self, request_id: u64, o: OpOutcome) {
        let Some(i) = self.pending.iter().position(|c| c.request_id == request_id) else {
            return;
        };
        match o {
            OpOutcome::Got(Outcome::Applied { version }) => {
                self.commit_ms.push(self.now - self.pending[i].since);
                self.pending[i].version = Some(version);
                self.record_applied_changes();
            }
            // a faulty setup stays faulty; the report shows it as missing
            OpOutcome::Got(Outcome::Invalid { .. }) => {
                self.pending.remove(i);
            }
            _ => {
                let c = self.pending.remove(i);
                self.after(100, Event::Again(c));
            }
        }
    }

    /// Changes that every node which is up now acts on.
    pub(super) fn record_applied_changes(&mut self) {
        let version = |q: &Process| match &q.role {
            Role::Node(n) => Some(n.version()),
            _ => None,
        };
        let least = self.processes.iter().filter_map(version).min().unwrap_or(0);
        let now = self.now;
        let done = |c: &Pending| c.version.is_some_and(|s| s <= least);
        let route_latencies = self.pending.iter().filter(|c| done(c));
        self.propagation_ms
            .extend(route_latencies.map(|c| now - c.since));
        self.pending.retain(|c| !done(c));
    }
}
