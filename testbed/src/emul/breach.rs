//! The product's table with one of its rules broken, to show that a check can fail.

use super::policy::{Breach, Policy};
use sorreldoor::balancer::{AttemptOutcome, Pick, RequestId, Table};
use sorreldoor::configuration::hosted::{Hosted, Route};
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use sorreldoor::types::Millis;
use std::collections::HashSet;
use std::sync::Arc;

pub struct Breaker {
    t: Table,
    b: Breach,
    had: bool,
    begun: HashSet<RequestId>,
}

impl Breaker {
    pub fn new(t: Table, b: Breach) -> Breaker {
        Breaker {
            t,
            b,
            had: false,
            begun: HashSet::new(),
        }
    }
}

impl Policy for Breaker {
    fn begin(
        &mut self,
        path: &str,
        asked: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        Policy::begin(&mut self.t, path, asked, now)
    }
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Pick {
        if self.b == Breach::Mute {
            return Pick::Wait(20);
        }
        self.t.pick(request_id, now)
    }
    fn outcome(&mut self, request_id: RequestId, h: AttemptOutcome, now: Millis) {
        let h = match h {
            AttemptOutcome::Broke if self.b == Breach::Twice => AttemptOutcome::NotRun(None),
            h => h,
        };
        if h == AttemptOutcome::First {
            self.begun.insert(request_id);
        }
        self.t.outcome(request_id, h, now);
    }
    fn pulse(&mut self, request_id: RequestId, now: Millis) {
        self.t.pulse(request_id, now);
    }
    fn may_move(&mut self, request_id: RequestId, silent: Millis, now: Millis) -> bool {
        let stays = match self.b {
            Breach::Stay => true,
            Breach::StayBegun => self.begun.contains(&request_id),
            _ => false,
        };
        !stays && self.t.may_move(request_id, silent, now)
    }
    fn end(&mut self, request_id: RequestId, now: Millis) {
        self.begun.remove(&request_id);
        self.t.end(request_id, now);
    }
    fn woken(&mut self, now: Millis) -> Vec<RequestId> {
        self.t.woken(now)
    }
    fn deadline(&self, request_id: RequestId) -> Millis {
        self.t.deadline(request_id)
    }
    fn route(&self, request_id: RequestId) -> Option<Route> {
        self.t.route(request_id).cloned()
    }
    fn take_hosted(&mut self, h: Arc<Hosted>, now: Millis) {
        if self.b == Breach::Routes && std::mem::replace(&mut self.had, true) {
            return;
        }
        let mut own = (*h).clone();
        let each = own.routes.iter_mut().map(Arc::make_mut);
        match self.b {
            Breach::Homes => each.for_each(|r| r.homes.clear()),
            Breach::Twice => each.for_each(|r| r.attempts = r.attempts.max(2)),
            _ => {}
        }
        self.t.take_hosted(Arc::new(own), now);
    }
    fn take_registry(&mut self, r: &WorkerRegistry, now: Millis) {
        let mut own = r.clone();
        if self.b == Breach::Drains {
            own.workers.iter_mut().for_each(|w| w.leaving = false);
        }
        self.t.take_registry(&own, now);
    }
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        if self.b != Breach::Zones {
            self.t.set_evacuated_zones(zones, now);
        }
    }
    fn take_nodes(&mut self, all: Vec<(String, u16)>) {
        self.t.take_nodes(all);
    }
    fn open(&self) -> (u64, u64) {
        Policy::open(&self.t)
    }
}
