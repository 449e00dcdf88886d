//! The singleton role: its claim by the preferred core, and the periodic work of
//! the holder.

use super::Controller;
use crate::consensus::{Body, Event};
use crate::control_plane::connections::{LIVE_TIMEOUT_MS, REACHABLE_TIMEOUT_MS};
use crate::control_plane::events::{ControllerEffect, WorkerAddress};
use crate::control_plane::singleton::{preferred_holder, RegionTransition};
use crate::control_plane::status::recovery_text;
use crate::discovery::{Load, Loads};
use crate::log_events::LogEvent;
use crate::replicated_state::{encode, Command};
use crate::wire::{EdgeSession, Payload};
use std::sync::Arc;

impl Controller {
    /// Whether this incarnation of this core holds the singleton role.
    #[must_use]
    pub fn holds_singleton_role(&self) -> bool {
        let state = self.consensus.as_ref().map(|c| c.state_machine());
        state.is_some_and(|state| self.singleton.is_holder(state, self.own_hello.id))
    }

    /// The fencing epoch of the singleton role as this core has it; 0 without a
    /// replica.
    pub(super) fn epoch(&self) -> u64 {
        let consensus = self.consensus.as_ref();
        consensus.map_or(0, |consensus| consensus.state_machine().epoch())
    }

    /// Claims the role if this core should hold it, or does the work that is due on
    /// the holder.
    pub(super) fn tick_singleton(&mut self) {
        if !self.is_preferred_holder() || self.stopping {
            return self.singleton.withdraw();
        }
        self.singleton.become_candidate(self.now);
        if !self.holds_singleton_role() {
            if self.singleton.claim_due(self.now) {
                self.claim_singleton_role();
            }
            return;
        }
        if self.pacing.poll_worker_loads && self.singleton.begin_poll(self.now) {
            self.poll_loads();
        }
        self.read_worker_list();
        self.update_regions();
        self.tune_weights();
    }

    fn is_preferred_holder(&self) -> bool {
        let own_id = self.own_hello.id;
        let live = self.live_cores(LIVE_TIMEOUT_MS);
        let is_live = |id| id == own_id || live.contains_key(&id);
        preferred_holder(self.members(), is_live) == Some(own_id)
    }

    fn claim_singleton_role(&mut self) {
        let previous_epoch = self.epoch();
        let epoch = previous_epoch + 1;
        let holder = self.own_hello.id;
        self.log_event(LogEvent::SingletonAcquired, format!("epoch {epoch}"));
        self.propose(Command::AcquireRole {
            holder,
            previous_epoch,
        });
        self.singleton.claim_started(epoch);
    }

    fn propose(&mut self, command: Command) {
        let proposal_id = self.ids.next_proposal_id();
        self.singleton.proposal_started(proposal_id);
        let body = Body::Data(Arc::new(encode(&command)));
        self.step_consensus(Event::Propose { proposal_id, body });
    }

    fn poll_loads(&mut self) {
        let epoch = self.epoch();
        let workers = self.worker_list.workers().iter();
        let workers = workers.map(|worker| WorkerAddress {
            name: worker.name.clone(),
            address: worker.addr,
        });
        let workers = workers.collect();
        self.effects
            .push(ControllerEffect::PollLoads { epoch, workers });
    }

    /// Handles the result of this core's own poll, and sends the loads to the other
    /// cores. Dropped where the role was lost since the poll was started.
    pub(super) fn on_loads_polled(&mut self, epoch: u64, loads: Vec<Load>) {
        if epoch != self.epoch() || !self.holds_singleton_role() {
            return;
        }
        for change in self.loads.record_poll(epoch, loads) {
            let event = if change.live {
                LogEvent::WorkerResponsive
            } else {
                LogEvent::WorkerUnresponsive
            };
            self.log_event(event, change.worker);
        }
        let loads = self.loads.loads().clone();
        self.singleton.on_loads(&loads);
        for conn in self.reachable_cores() {
            self.send(conn, Payload::Loads(loads.clone()));
        }
    }

    /// Applies loads that another core, the holder of the role, has polled.
    pub(super) fn adopt_loads(&mut self, loads: Arc<Loads>) {
        self.loads.adopt(loads, self.epoch());
    }

    /// Proposes the next recovery state of the first region that is due for one.
    fn update_regions(&mut self) {
        let epoch = self.epoch();
        if self.loads.loads().epoch != epoch || self.singleton.is_proposing() {
            return;
        }
        let Some(RegionTransition { region, state }) = self.region_transition() else {
            return;
        };
        let name = self.site.region_name(region);
        let details = format!("{name}: {}", recovery_text(state));
        self.log_event(LogEvent::RegionRecoveryChanged, details);
        self.propose(Command::SetRegion {
            epoch,
            region,
            state,
        });
    }

    fn region_transition(&mut self) -> Option<RegionTransition> {
        self.singleton.region_transition(
            self.consensus.as_ref()?.state_machine(),
            self.worker_list.current(),
            self.loads.loads(),
            self.site.regions.len(),
            self.now,
        )
    }

    fn tune_weights(&mut self) {
        let live = self.live_cores(REACHABLE_TIMEOUT_MS);
        let Some(consensus) = &self.consensus else {
            return;
        };
        let state = consensus.state_machine();
        if !self.singleton.begin_tuning(state, self.now) {
            return;
        }
        let sessions = self.sessions.sessions_of(|id| live.contains_key(&id));
        let sessions: Vec<&EdgeSession> = sessions.collect();
        let registry = self.worker_list.current();
        let loads = self.loads.loads();
        let weights = self.singleton.tune(&sessions, state, registry, loads);
        let (epoch, version) = (state.epoch(), state.version());
        if !weights.is_empty() && !self.singleton.is_proposing() {
            self.propose(Command::SetWeights {
                epoch,
                version,
                weights,
            });
        }
    }
}
