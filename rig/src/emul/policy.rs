//! Who decides at a node where requests go: the product's table, or a simple
//! rule to compare it with.

use super::breach::Breaker;
use super::simple::Simple;
use sorreldoor::consensus::Millis;
use sorreldoor::problem::Problem;
use sorreldoor::proxy::table::{Bounds, Heard, Pick, Place, Rid, Table};
use sorreldoor::proxy::Asked;
use sorreldoor::registry::WorkerRegistry;
use sorreldoor::setup::hosted::{Hosted, Route};
use std::sync::Arc;

/// What a node asks of whoever decides; the table's own calls.
pub trait Policy {
    fn begin(&mut self, path: &str, asked: Asked, now: Millis) -> Result<Rid, Problem>;
    fn pick(&mut self, rid: Rid, now: Millis) -> Pick;
    fn heard(&mut self, rid: Rid, h: Heard, now: Millis);
    fn may_move(&mut self, rid: Rid, silent: Millis, now: Millis) -> bool;
    fn pulse(&mut self, rid: Rid, now: Millis);
    fn end(&mut self, rid: Rid, now: Millis);
    fn woken(&mut self, now: Millis) -> Vec<Rid>;
    fn deadline(&self, rid: Rid) -> Millis;
    fn route(&self, rid: Rid) -> Option<Route>;
    fn take_hosted(&mut self, h: Arc<Hosted>, now: Millis);
    fn take_registry(&mut self, r: &WorkerRegistry, now: Millis);
    fn take_emptied(&mut self, zones: Vec<u16>, now: Millis);
    fn take_nodes(&mut self, all: Vec<(String, u16)>);
    /// Requests under way, and those that wait.
    fn open(&self) -> (u64, u64);
}

pub const HOST: &str = "emul.example";

impl Policy for Table {
    fn begin(&mut self, path: &str, asked: Asked, now: Millis) -> Result<Rid, Problem> {
        Table::begin(self, HOST, path, asked, now, now)
    }
    fn pick(&mut self, rid: Rid, now: Millis) -> Pick {
        Table::pick(self, rid, now)
    }
    fn heard(&mut self, rid: Rid, h: Heard, now: Millis) {
        Table::heard(self, rid, h, now);
    }
    fn may_move(&mut self, rid: Rid, silent: Millis, now: Millis) -> bool {
        Table::may_move(self, rid, silent, now)
    }
    fn pulse(&mut self, rid: Rid, now: Millis) {
        Table::pulse(self, rid, now);
    }
    fn end(&mut self, rid: Rid, now: Millis) {
        Table::end(self, rid, now);
    }
    fn woken(&mut self, now: Millis) -> Vec<Rid> {
        Table::woken(self, now)
    }
    fn deadline(&self, rid: Rid) -> Millis {
        Table::deadline(self, rid)
    }
    fn route(&self, rid: Rid) -> Option<Route> {
        Table::route(self, rid).cloned()
    }
    fn take_hosted(&mut self, h: Arc<Hosted>, now: Millis) {
        Table::take_hosted(self, h, now);
    }
    fn take_registry(&mut self, r: &WorkerRegistry, now: Millis) {
        Table::take_registry(self, r, now);
    }
    fn take_emptied(&mut self, zones: Vec<u16>, now: Millis) {
        Table::take_emptied(self, zones, now);
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
pub enum Rule {
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

impl Rule {
    pub fn name(self) -> &'static str {
        match self {
            Rule::Table => "table",
            Rule::RoundRobin => "round robin",
            Rule::LeastLoad => "least load",
            Rule::Stay => "table, no moves",
            Rule::StayBegun => "table, none midway",
            Rule::Broken(_) => "broken table",
        }
    }

    pub fn make(self, place: Place, mut bounds: Bounds, seed: u64) -> Box<dyn Policy> {
        match self {
            Rule::Table => Box::new(Table::new(place, bounds, seed)),
            Rule::RoundRobin | Rule::LeastLoad => Box::new(Simple::new(self, seed, &place.node)),
            Rule::Stay | Rule::StayBegun => {
                let b = match self {
                    Rule::Stay => Breach::Stay,
                    _ => Breach::StayBegun,
                };
                Box::new(Breaker::new(Table::new(place, bounds, seed), b))
            }
            Rule::Broken(b) => {
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
