//! The product's table with one of its rules broken, to show that a check can fail.

use super::policy::{Breach, Policy};
use sorreldoor::consensus::Millis;
use sorreldoor::problem::Problem;
use sorreldoor::proxy::table::{Heard, Pick, Rid, Table};
use sorreldoor::proxy::Asked;
use sorreldoor::registry::WorkerRegistry;
use sorreldoor::setup::hosted::{Hosted, Route};
use std::collections::HashSet;
use std::sync::Arc;

pub struct Breaker {
    t: Table,
    b: Breach,
    had: bool,
    begun: HashSet<Rid>,
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
    fn begin(&mut self, path: &str, asked: Asked, now: Millis) -> Result<Rid, Problem> {
        Policy::begin(&mut self.t, path, asked, now)
    }
    fn pick(&mut self, rid: Rid, now: Millis) -> Pick {
        if self.b == Breach::Mute {
            return Pick::Wait(20);
        }
        self.t.pick(rid, now)
    }
    fn heard(&mut self, rid: Rid, h: Heard, now: Millis) {
        let h = match h {
            Heard::Broke if self.b == Breach::Twice => Heard::NotRun(None),
            h => h,
        };
        if h == Heard::First {
            self.begun.insert(rid);
        }
        self.t.heard(rid, h, now);
    }
    fn pulse(&mut self, rid: Rid, now: Millis) {
        self.t.pulse(rid, now);
    }
    fn may_move(&mut self, rid: Rid, silent: Millis, now: Millis) -> bool {
        let stays = match self.b {
            Breach::Stay => true,
            Breach::StayBegun => self.begun.contains(&rid),
            _ => false,
        };
        !stays && self.t.may_move(rid, silent, now)
    }
    fn end(&mut self, rid: Rid, now: Millis) {
        self.begun.remove(&rid);
        self.t.end(rid, now);
    }
    fn woken(&mut self, now: Millis) -> Vec<Rid> {
        self.t.woken(now)
    }
    fn deadline(&self, rid: Rid) -> Millis {
        self.t.deadline(rid)
    }
    fn route(&self, rid: Rid) -> Option<Route> {
        self.t.route(rid).cloned()
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
    fn take_emptied(&mut self, zones: Vec<u16>, now: Millis) {
        if self.b != Breach::Zones {
            self.t.take_emptied(zones, now);
        }
    }
    fn take_nodes(&mut self, all: Vec<(String, u16)>) {
        self.t.take_nodes(all);
    }
    fn open(&self) -> (u64, u64) {
        Policy::open(&self.t)
    }
}
