//! Who decides at a node where requests go: the product's table, or a simple
//! rule to compare it with.

use super::breach::Breaker;
use super::simple::Simple;
use sorreldoor::balancer::{AttemptOutcome, Bounds, Locality, Pick, RequestId, Table};
use sorreldoor::configuration::hosted::{Hosted, Route};
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use sorreldoor::types::Millis;
use std::sync::Arc;

/// What a node asks of whoever decides; the table's own calls.
pub trait Policy {
    fn begin(
        &mut self,
        path: &str,
        asked: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode>;
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Pick;
    fn outcome(&mut self, request_id: RequestId, h: AttemptOutcome, now: Millis);
    fn may_move(&mut self, request_id: RequestId, silent: Millis, now: Millis) -> bool;
    fn pulse(&mut self, request_id: RequestId, now: Millis);
    fn end(&mut self, request_id: RequestId, now: Millis);
    fn woken(&mut self, now: Millis) -> Vec<RequestId>;
    fn deadline(&self, request_id: RequestId) -> Millis;
    fn route(&self, request_id: RequestId) -> Option<Route>;
    fn take_hosted(&mut self, h: Arc<Hosted>, now: Millis);
    fn take_registry(&mut self, r: &WorkerRegistry, now: Millis);
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis);
    fn take_nodes(&mut self, all: Vec<(String, u16)>);
    /// Requests under way, and those that wait.
    fn open(&self) -> (u64, u64);
}

pub const HOST: &str = "emul.example";

impl Policy for Table {
    fn begin(
        &mut self,
        path: &str,
        asked: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        Table::begin(self, HOST, path, asked, now, now)
    }
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Pick {
        Table::pick(self, request_id, now)
    }
    fn outcome(&mut self, request_id: RequestId, h: AttemptOutcome, now: Millis) {
        Table::outcome(self, request_id, h, now);
    }
    fn may_move(&mut self, request_id: RequestId, silent: Millis, now: Millis) -> bool {
        Table::may_move(self, request_id, silent, now)
    }
    fn pulse(&mut self, request_id: RequestId, now: Millis) {
        Table::pulse(self, request_id, now);
    }
    fn end(&mut self, request_id: RequestId, now: Millis) {
        Table::end(self, request_id, now);
    }
    fn woken(&mut self, now: Millis) -> Vec<RequestId> {
        Table::woken(self, now)
    }
    fn deadline(&self, request_id: RequestId) -> Millis {
        Table::deadline(self, request_id)
    }
    fn route(&self, request_id: RequestId) -> Option<Route> {
        Table::route(self, request_id).cloned()
    }
    fn take_hosted(&mut self, h: Arc<Hosted>, now: Millis) {
        Table::take_hosted(self, h, now);
    }
    fn take_registry(&mut self, r: &WorkerRegistry, now: Millis) {
        Table::take_registry(self, r, now);
    }
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        Table::set_evacuated_zones(self, zones, now);
    }
    fn take_nodes(&mut self, all: Vec<(String, u16)>) {
        Table::take_nodes(self, all);
    }
    fn open(&self) -> (u64, u64) {
        let c = self.counts();
        (c.open, c.waiting)
    }
}

/// What decides at all nodes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    Table,
    RoundRobin,
    LeastLoad,
    /// The table, whose requests stay where they are; or where they have begun.
    Stay,
    StayBegun,
    /// The table, with one of its rules broken.
    Broken(Breach),
}

/// What is broken, to show that a check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// What may have run is begun again as if it were new.
    Twice,
    /// Homes are left out of routes.
    Homes,
    /// Emptied zones are not heard of.
    Zones,
    /// Draining workers look open.
    Drains,
    /// Further sendings know no budget.
    Budget,
    /// Cold workers look warm.
    Cold,
    /// Later configurations are not heard of.
    Routes,
    /// A request is never decided on.
    Mute,
    /// Not a breach: requests do not move, or do not once they have begun.
    Stay,
    StayBegun,
}

impl Invariant {
    pub fn name(self) -> &'static str {
        match self {
            Invariant::Table => "table",
            Invariant::RoundRobin => "round robin",
            Invariant::LeastLoad => "least load",
            Invariant::Stay => "table, no moves",
            Invariant::StayBegun => "table, none midway",
            Invariant::Broken(_) => "broken table",
        }
    }

    pub fn make(self, place: Locality, mut bounds: Bounds, seed: u64) -> Box<dyn Policy> {
        match self {
            Invariant::Table => Box::new(Table::new(place, bounds, seed)),
            Invariant::RoundRobin | Invariant::LeastLoad => {
                Box::new(Simple::new(self, seed, &place.node))
            }
            Invariant::Stay | Invariant::StayBegun => {
                let b = match self {
                    Invariant::Stay => Breach::Stay,
                    _ => Breach::StayBegun,
                };
                Box::new(Breaker::new(Table::new(place, bounds, seed), b))
            }
            Invariant::Broken(b) => {
                if b == Breach::Budget {
                    (bounds.retry_ratio, bounds.retry_slack) = (1e6, 1e6);
                }
                if b == Breach::Cold {
                    bounds.warmup_excess = 1e6;
                }
                Box::new(Breaker::new(Table::new(place, bounds, seed), b))
            }
        }
    }
}
