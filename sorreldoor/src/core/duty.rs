//! The one-node duty: gather loads and tune weights, by the first live core
//! in an agreed order, under an epoch that the record keeps.

use super::controller::Controller;
use super::events::ControllerEffect;
use crate::consensus::*;
use crate::events::Ev;
use crate::record::{encode, Cmd};
use crate::registry::{Load, Loads, WorkerRegistry};
use crate::tune;
use crate::wire::Payload;
use std::sync::Arc;

const SETTLE_MS: Millis = 1000;
const GATHER_MS: Millis = 500;
const TUNE_MS: Millis = 2000;

/// No word of a reading for so long means that it was lost.
const LOST_MS: Millis = 5000;

/// The reading of a list of workers that has no numbers of its own.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    every: Option<Millis>,
    at: Millis,
    /// Since when a reading is under way.
    asked: Option<Millis>,
    /// Lists numbered in this life, and the epoch of the last.
    count: u64,
    epoch: u64,
}

impl Poll {
    pub fn new(every: Option<Millis>, now: Millis) -> Poll {
        Poll {
            every,
            at: now,
            asked: None,
            count: 0,
            epoch: 0,
        }
    }

    pub fn failed(&mut self) {
        self.asked = None;
    }
}

impl Controller {
    /// The holder alone reads the list: each reading has its price.
    fn poll(&mut self) {
        let Some(every) = self.poll.every else { return };
        let busy = self.poll.asked.is_some_and(|t| self.now < t + LOST_MS);
        if self.now >= self.poll.at && !busy {
            self.poll.at = self.now + every;
            self.poll.asked = Some(self.now);
            self.out.push(ControllerEffect::AskRegistry);
        }
    }

    /// A core without any list reads one itself: before there is a leader
    /// nobody holds the duty.
    pub(super) fn first_list(&mut self) {
        if self.registry.is_none() && !self.leaving {
            self.poll();
        }
    }

    /// A list that came: taken as it is where it has a number of its own; else
    /// numbered under the holder's epoch, if it says anything new.
    pub(super) fn listed(&mut self, r: WorkerRegistry) {
        if self.poll.every.is_none() {
            return self.take_registry(Arc::new(r));
        }
        self.poll.asked = None;
        if !self.on_duty() {
            // below what any holder has ever numbered, above nothing
            if self.registry.is_none() {
                let (serial, workers) = (1, r.workers);
                self.take_registry(Arc::new(WorkerRegistry { serial, workers }));
            }
            return;
        }
        let epoch = self.epoch();
        let age = self.now.saturating_sub(self.roster_at);
        let same = self
            .registry
            .as_ref()
            .is_some_and(|o| o.same(&r.workers, age));
        // a new holder's first list must be newer than all that an older
        // one may still tell of
        if same && self.poll.epoch == epoch {
            return;
        }
        self.poll.epoch = epoch;
        self.poll.count += 1;
        let serial = (epoch << 32) | self.poll.count;
        let workers = r.workers;
        self.take_registry(Arc::new(WorkerRegistry { serial, workers }));
    }

    /// The agreed order: by zone, then identity; voters only.
    fn first_live(&self) -> Option<NodeId> {
        let a = self.consensus.as_ref()?;
        let live = self.live_cores(1500);
        let mut ms: Vec<&Member> = a.members().iter().filter(|m| m.voter).collect();
        ms.sort_by_key(|m| (m.zone, m.id));
        ms.iter()
            .find(|m| m.id == self.me.id || live.contains_key(&m.id))
            .map(|m| m.id)
    }

    /// Whether this life of this core holds the duty: what it numbers under
    /// an epoch must not begin anew within it.
    pub fn on_duty(&self) -> bool {
        let r = self.consensus.as_ref().map(|a| a.machine());
        r.is_some_and(|r| r.holder() == self.me.id && self.took == Some(r.epoch()))
    }

    fn tunable(&self) -> bool {
        let s = self.consensus.as_ref().and_then(|a| a.machine().setup());
        let free = |r: &crate::setup::Route| r.shares.iter().any(|h| h.least < h.most);
        s.is_some_and(|s| s.routes.iter().any(free))
    }

    pub(super) fn duty_alarm(&mut self) {
        if self.first_live() != Some(self.me.id) || self.leaving {
            self.first_since = None;
            return;
        }
        let since = *self.first_since.get_or_insert(self.now);
        if !self.on_duty() {
            // a core that flaps must not take the duty to and fro
            if self.now.saturating_sub(since) >= SETTLE_MS && self.duty_pid.is_none() {
                self.take_duty();
            }
            return;
        }
        if self.pacing.gather && self.now >= self.duty_at {
            self.duty_at = self.now + GATHER_MS;
            self.gather();
        }
        self.poll();
        self.watch_recovery();
        if self.now >= self.tune_at && self.tunable() {
            self.tune_at = self.now + TUNE_MS;
            self.tune();
        }
    }

    fn take_duty(&mut self) {
        let above = self.consensus.as_ref().map_or(0, |a| a.machine().epoch());
        let holder = self.me.id;
        self.say(Ev::DutyTaken, format!("epoch {}", above + 1));
        self.propose(Cmd::Duty { holder, above });
        self.asked_epoch = self.duty_pid.map(|pid| (pid, above + 1));
    }

    /// A proposal of this core's own has come to something.
    pub(super) fn proposed(&mut self, pid: ProposalId, taken: bool) {
        if self.duty_pid == Some(pid) {
            self.duty_pid = None;
        }
        // after a restart the log may still show the duty as this core's
        // before it has caught up with what came after
        let asked = self.asked_epoch.filter(|(p, _)| taken && *p == pid);
        self.took = asked.map(|(_, epoch)| epoch).or(self.took);
    }

    pub(super) fn propose(&mut self, cmd: Cmd) {
        let pid = self.own_pid();
        self.duty_pid = Some(pid);
        let body = Body::Data(Arc::new(encode(&cmd)));
        self.agreed(Event::Propose { pid, body });
    }

    fn epoch(&self) -> u64 {
        self.consensus.as_ref().map_or(0, |a| a.machine().epoch())
    }

    fn gather(&mut self) {
        let epoch = self.epoch();
        let to = self.registry.as_ref().map_or(Vec::new(), |r| {
            r.workers.iter().map(|w| (w.name.clone(), w.addr)).collect()
        });
        self.out.push(ControllerEffect::AskLoads(epoch, to));
    }

    pub(super) fn on_loads(&mut self, epoch: u64, rows: Vec<Load>) {
        if epoch != self.epoch() || !self.on_duty() {
            return;
        }
        for l in &rows {
            let was = self.loads.of(&l.name).map(|o| o.live);
            if was != Some(l.live) {
                if !l.live {
                    self.out
                        .push(ControllerEffect::Say(Ev::WorkerDark, l.name.clone()));
                } else if was.is_some() {
                    self.out
                        .push(ControllerEffect::Say(Ev::WorkerBack, l.name.clone()));
                }
            }
        }
        let serial = self.loads.serial + 1;
        let l = Arc::new(Loads {
            epoch,
            serial,
            rows,
        });
        self.smooth.take(&l);
        self.loads = l.clone();
        for (c, _) in self.live_cores(3000).into_values() {
            self.send(c, Payload::Loads(l.clone()));
        }
    }

    fn tune(&mut self) {
        let mut times = std::mem::take(&mut self.times);
        times.take(&self.accounts());
        self.times = times;
        let Some(a) = &self.consensus else { return };
        let r = a.machine();
        let (Some(s), Some(ro)) = (r.setup(), &self.registry) else {
            return;
        };
        let by = tune::Now {
            ro,
            loads: &self.loads,
            smooth: &self.smooth,
            times: &self.times,
        };
        let weights = tune::step(s, &r.view().weights, &by);
        let (epoch, serial) = (r.epoch(), r.serial());
        if !weights.is_empty() && self.duty_pid.is_none() {
            self.propose(Cmd::Tune {
                epoch,
                serial,
                weights,
            });
        }
    }
}
