//! The one-node duty: gather loads and tune weights, by the first live core
//! in an agreed order, under an epoch that the record keeps.

use super::controller::Controller;
use super::events::ControllerEffect;
use super::regions::{region_capacity, RegionWatch};
use crate::consensus::*;
use crate::discovery::{Load, Loads, WorkerRegistry};
use crate::log_events::LogEvent;
use crate::replicated_state::{encode, Command, Recovery};
use crate::weight_tuning;
use crate::wire::Payload;
use std::sync::Arc;

/// A core is the first live one for so long before it takes the duty.
const SETTLE_MS: Millis = 1000;
const GATHER_MS: Millis = 500;
const TUNE_MS: Millis = 2000;

/// What a core remembers of the duty: its own claim to it, and its work.
#[derive(Debug)]
pub struct Duty {
    /// Since when this core is the first live one.
    first_since: Option<Millis>,
    gather_at: Millis,
    tune_at: Millis,
    /// The epoch that this life has asked for, and the one that it was given.
    asked_epoch: Option<(ProposalId, u64)>,
    granted_epoch: Option<u64>,
    regions: RegionWatch,
    smooth: weight_tuning::Smooth,
    times: weight_tuning::Times,
}

impl Duty {
    /// Not held yet.
    pub fn new(now: Millis) -> Duty {
        Duty {
            first_since: None,
            gather_at: now,
            tune_at: now,
            asked_epoch: None,
            granted_epoch: None,
            regions: RegionWatch::default(),
            smooth: weight_tuning::Smooth::default(),
            times: weight_tuning::Times::default(),
        }
    }

    /// Times that requests took, by route and service, as this core gathered
    /// them while it held the duty.
    pub fn times(&self) -> &weight_tuning::Times {
        &self.times
    }

    /// A proposal of this core's own was answered.
    pub fn answered(&mut self, id: ProposalId, taken: bool) {
        // after a restart the log may still show the duty as this core's
        // before it has caught up with what came after
        let asked = self.asked_epoch.filter(|(asked, _)| taken && *asked == id);
        self.granted_epoch = asked.map(|(_, epoch)| epoch).or(self.granted_epoch);
    }
}

impl Controller {
    /// The holder alone reads the list: each read has its price.
    fn read_worker_list(&mut self) {
        if self.worker_list.begin_read(self.now) {
            self.out.push(ControllerEffect::AskRegistry);
        }
    }

    /// A core without any list reads one itself: before there is a leader
    /// nobody holds the duty.
    pub(super) fn first_list(&mut self) {
        if self.worker_list.current().is_none() && !self.leaving {
            self.read_worker_list();
        }
    }

    /// A read of the list of workers has ended.
    pub(super) fn on_registry(&mut self, read: Result<WorkerRegistry, String>) {
        match read {
            Ok(list) => {
                let epoch = self.on_duty().then(|| self.epoch());
                let newer = self.worker_list.read_done(list, epoch, self.now);
                newer.into_iter().for_each(|list| self.take_registry(list));
            }
            Err(why) => {
                if self.worker_list.read_failed(why.clone()) {
                    self.log_event(LogEvent::WorkerListUnavailable, why);
                }
            }
        }
    }

    /// A newer list, from the platform or from a core that reaches it.
    pub(super) fn take_registry(&mut self, list: Arc<WorkerRegistry>) {
        if !self.worker_list.adopt(list.clone(), self.now) {
            return;
        }
        let n = list.workers.len();
        self.log_event(
            LogEvent::WorkerListChanged,
            format!("serial {}, {n} workers", list.version),
        );
        let cores = self.live_cores(3000).into_values().map(|(c, _)| c);
        // a worker that leaves must be known of before the next renewal
        for c in cores
            .chain(self.edge_sessions.keys().copied())
            .collect::<Vec<_>>()
        {
            self.send(c, Payload::WorkerRegistry(list.clone()));
        }
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
        r.is_some_and(|r| r.holder() == self.me.id && self.duty.granted_epoch == Some(r.epoch()))
    }

    fn tunable(&self) -> bool {
        let s = self
            .consensus
            .as_ref()
            .and_then(|a| a.machine().configuration());
        let free = |r: &crate::configuration::Route| r.shares.iter().any(|h| h.least < h.most);
        s.is_some_and(|s| s.routes.iter().any(free))
    }

    pub(super) fn duty_alarm(&mut self) {
        if self.first_live() != Some(self.me.id) || self.leaving {
            self.duty.first_since = None;
            return;
        }
        let since = *self.duty.first_since.get_or_insert(self.now);
        if !self.on_duty() {
            // a core that flaps must not take the duty to and fro
            if self.now.saturating_sub(since) >= SETTLE_MS && self.duty_proposal_id.is_none() {
                self.take_duty();
            }
            return;
        }
        if self.pacing.gather && self.now >= self.duty.gather_at {
            self.duty.gather_at = self.now + GATHER_MS;
            self.gather();
        }
        self.read_worker_list();
        self.watch_regions();
        if self.now >= self.duty.tune_at && self.tunable() {
            self.duty.tune_at = self.now + TUNE_MS;
            self.tune();
        }
    }

    fn take_duty(&mut self) {
        let above = self.consensus.as_ref().map_or(0, |a| a.machine().epoch());
        let holder = self.me.id;
        self.log_event(LogEvent::SingletonAcquired, format!("epoch {}", above + 1));
        self.propose(Command::Duty { holder, above });
        self.duty.asked_epoch = self
            .duty_proposal_id
            .map(|proposal_id| (proposal_id, above + 1));
    }

    /// A proposal of this core's own has come to something.
    pub(super) fn proposed(&mut self, proposal_id: ProposalId, taken: bool) {
        if self.duty_proposal_id == Some(proposal_id) {
            self.duty_proposal_id = None;
        }
        self.duty.answered(proposal_id, taken);
    }

    pub(super) fn propose(&mut self, cmd: Command) {
        let proposal_id = self.own_proposal_id();
        self.duty_proposal_id = Some(proposal_id);
        let body = Body::Data(Arc::new(encode(&cmd)));
        self.agreed(Event::Propose { proposal_id, body });
    }

    fn epoch(&self) -> u64 {
        self.consensus.as_ref().map_or(0, |a| a.machine().epoch())
    }

    /// Propose the next state of the first region that is due for one.
    fn watch_regions(&mut self) {
        let epoch = self.epoch();
        if self.loads.epoch != epoch || self.duty_proposal_id.is_some() {
            return;
        }
        for region in 0..self.site.regions.len() as u8 {
            let Some(state) = self.region_state_due(region) else {
                continue;
            };
            let name = self.site.region_name(region).to_string();
            let text = super::status::recovery_text(state);
            self.log_event(LogEvent::RegionRecoveryChanged, format!("{name}: {text}"));
            return self.propose(Command::Region {
                epoch,
                region,
                state,
            });
        }
    }

    fn region_state_due(&mut self, region: u8) -> Option<Recovery> {
        let record = self.consensus.as_ref()?.machine();
        let workers = self.worker_list.workers();
        let room = region_capacity(record.configuration()?, workers, &self.loads, region)?;
        let is = record.region(region);
        self.duty.regions.next_state(region, room, is, self.now)
    }

    fn gather(&mut self) {
        let epoch = self.epoch();
        let workers = self.worker_list.workers().iter();
        let to = workers.map(|w| (w.name.clone(), w.addr)).collect();
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
                    self.out.push(ControllerEffect::Say(
                        LogEvent::WorkerUnresponsive,
                        l.name.clone(),
                    ));
                } else if was.is_some() {
                    self.out.push(ControllerEffect::Say(
                        LogEvent::WorkerResponsive,
                        l.name.clone(),
                    ));
                }
            }
        }
        let version = self.loads.version + 1;
        let l = Arc::new(Loads {
            epoch,
            version,
            rows,
        });
        self.duty.smooth.take(&l);
        self.loads = l.clone();
        for (c, _) in self.live_cores(3000).into_values() {
            self.send(c, Payload::Loads(l.clone()));
        }
    }

    fn tune(&mut self) {
        let mut times = std::mem::take(&mut self.duty.times);
        times.take(&self.accounts());
        self.duty.times = times;
        let Some(a) = &self.consensus else { return };
        let r = a.machine();
        let (Some(s), Some(ro)) = (r.configuration(), self.worker_list.current()) else {
            return;
        };
        let by = weight_tuning::Now {
            ro,
            loads: &self.loads,
            smooth: &self.duty.smooth,
            times: &self.duty.times,
        };
        let weights = weight_tuning::step(s, &r.view().weights, &by);
        let (epoch, version) = (r.epoch(), r.version());
        if !weights.is_empty() && self.duty_proposal_id.is_none() {
            self.propose(Command::Tune {
                epoch,
                version,
                weights,
            });
        }
    }
}
