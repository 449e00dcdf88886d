//! The product's table with one of its rules broken, to show that a check can fail.

use super::policy::{Policy, Violation};
use sorreldoor::balancer::{AttemptOutcome, Balancer, Decision, RequestId};
use sorreldoor::configuration::hosted::{Hosted, Route};
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use sorreldoor::types::Millis;
use std::collections::HashSet;
use std::sync::Arc;

pub struct ViolatingBalancer {
    t: Balancer,
    b: Violation,
    had: bool,
    begun: HashSet<RequestId>,
}

impl ViolatingBalancer {
    pub fn new(t: Balancer, b: Violation) -> ViolatingBalancer {
        ViolatingBalancer {
            t,
            b,
            had: false,
            begun: HashSet::new(),
        }
    }
}

impl Policy for ViolatingBalancer {
    fn begin(
        &mut self,
        path: &str,
        requested: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        Policy::begin(&mut self.t, path, requested, now)
    }
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
        if self.b == Violation::Mute {
            return Decision::Wait(20);
        }
        self.t.pick(request_id, now)
    }
    fn record_outcome(&mut self, request_id: RequestId, h: AttemptOutcome, now: Millis) {
        let h = match h {
            AttemptOutcome::Failed if self.b == Violation::Twice => AttemptOutcome::Rejected(None),
            h => h,
        };
        if h == AttemptOutcome::FirstEvent {
            self.begun.insert(request_id);
        }
        self.t.record_outcome(request_id, h, now);
    }
    fn record_activity(&mut self, request_id: RequestId, now: Millis) {
        self.t.record_activity(request_id, now);
    }
    fn may_fail_over(&mut self, request_id: RequestId, silent: Millis, now: Millis) -> bool {
        let stays = match self.b {
            Violation::Stay => true,
            Violation::StayBegun => self.begun.contains(&request_id),
            _ => false,
        };
        !stays && self.t.may_fail_over(request_id, silent, now)
    }
    fn finish(&mut self, request_id: RequestId, now: Millis) {
        self.begun.remove(&request_id);
        self.t.finish(request_id, now);
    }
    fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        self.t.take_ready(now)
    }
    fn deadline(&self, request_id: RequestId) -> Millis {
        self.t.deadline(request_id)
    }
    fn route(&self, request_id: RequestId) -> Option<Route> {
        self.t.route(request_id).cloned()
    }
    fn apply_configuration(&mut self, h: Arc<Hosted>, now: Millis) {
        if self.b == Violation::Routes && std::mem::replace(&mut self.had, true) {
            return;
        }
        let mut own = (*h).clone();
        let each = own.routes.iter_mut().map(Arc::make_mut);
        match self.b {
            Violation::Homes => each.for_each(|r| r.homes.clear()),
            Violation::Twice => each.for_each(|r| r.attempts = r.attempts.max(2)),
            _ => {}
        }
        self.t.apply_configuration(Arc::new(own), now);
    }
    fn update_registry(&mut self, r: &WorkerRegistry, now: Millis) {
        let mut own = r.clone();
        if self.b == Violation::Drains {
            own.workers.iter_mut().for_each(|w| w.leaving = false);
        }
        self.t.update_registry(&own, now);
    }
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        if self.b != Violation::Zones {
            self.t.set_evacuated_zones(zones, now);
        }
    }
    fn update_nodes(&mut self, all: Vec<(String, u16)>) {
        self.t.update_nodes(all);
    }
    fn open(&self) -> (u64, u64) {
        Policy::open(&self.t)
    }
}
