//! Who decides at a node where requests go: the product's table, or a simple
//! rule to compare it with.

use super::baseline::BaselinePolicy;
use super::violation::ViolatingBalancer;
use sorreldoor::balancer::{AttemptOutcome, Balancer, Bounds, Decision, Locality, RequestId};
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
        requested: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode>;
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision;
    fn record_outcome(&mut self, request_id: RequestId, h: AttemptOutcome, now: Millis);
    fn may_fail_over(&mut self, request_id: RequestId, silent: Millis, now: Millis) -> bool;
    fn record_activity(&mut self, request_id: RequestId, now: Millis);
    fn finish(&mut self, request_id: RequestId, now: Millis);
    fn take_ready(&mut self, now: Millis) -> Vec<RequestId>;
    fn deadline(&self, request_id: RequestId) -> Millis;
    fn route(&self, request_id: RequestId) -> Option<Route>;
    fn apply_configuration(&mut self, h: Arc<Hosted>, now: Millis);
    fn update_registry(&mut self, r: &WorkerRegistry, now: Millis);
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis);
    fn update_nodes(&mut self, all: Vec<(String, u16)>);
    /// Requests under way, and those that wait.
    fn open(&self) -> (u64, u64);
}

pub const HOST: &str = "emul.example";

impl Policy for Balancer {
    fn begin(
        &mut self,
        path: &str,
        requested: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        Balancer::begin(self, HOST, path, requested, now, now)
    }
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
        Balancer::pick(self, request_id, now)
    }
    fn record_outcome(&mut self, request_id: RequestId, h: AttemptOutcome, now: Millis) {
        Balancer::record_outcome(self, request_id, h, now);
    }
    fn may_fail_over(&mut self, request_id: RequestId, silent: Millis, now: Millis) -> bool {
        Balancer::may_fail_over(self, request_id, silent, now)
    }
    fn record_activity(&mut self, request_id: RequestId, now: Millis) {
        Balancer::record_activity(self, request_id, now);
    }
    fn finish(&mut self, request_id: RequestId, now: Millis) {
        Balancer::finish(self, request_id, now);
    }
    fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        Balancer::take_ready(self, now)
    }
    fn deadline(&self, request_id: RequestId) -> Millis {
        Balancer::deadline(self, request_id)
    }
    fn route(&self, request_id: RequestId) -> Option<Route> {
        Balancer::route(self, request_id).cloned()
    }
    fn apply_configuration(&mut self, h: Arc<Hosted>, now: Millis) {
        Balancer::apply_configuration(self, h, now);
    }
    fn update_registry(&mut self, r: &WorkerRegistry, now: Millis) {
        Balancer::update_registry(self, r, now);
    }
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        Balancer::set_evacuated_zones(self, zones, now);
    }
    fn update_nodes(&mut self, all: Vec<(String, u16)>) {
        Balancer::update_nodes(self, all);
    }
    fn open(&self) -> (u64, u64) {
        let c = self.counts();
        (c.open, c.waiting)
    }
}

/// What decides at all nodes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    Balancer,
    RoundRobin,
    LeastLoad,
    /// The table, whose requests stay where they are; or where they have begun.
    Stay,
    StayBegun,
    /// The table, with one of its rules broken.
    Broken(Violation),
}

/// What is broken, to show that a check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
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

impl PolicyKind {
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Balancer => "table",
            PolicyKind::RoundRobin => "round robin",
            PolicyKind::LeastLoad => "least load",
            PolicyKind::Stay => "table, no moves",
            PolicyKind::StayBegun => "table, none midway",
            PolicyKind::Broken(_) => "broken table",
        }
    }

    pub fn make(self, place: Locality, mut bounds: Bounds, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyKind::Balancer => Box::new(Balancer::new(place, bounds, seed)),
            PolicyKind::RoundRobin | PolicyKind::LeastLoad => {
                Box::new(BaselinePolicy::new(self, seed, &place.node))
            }
            PolicyKind::Stay | PolicyKind::StayBegun => {
                let b = match self {
                    PolicyKind::Stay => Violation::Stay,
                    _ => Violation::StayBegun,
                };
                Box::new(ViolatingBalancer::new(
                    Balancer::new(place, bounds, seed),
                    b,
                ))
            }
            PolicyKind::Broken(b) => {
                if b == Violation::Budget {
                    (bounds.retry_ratio, bounds.retry_slack) = (1e6, 1e6);
                }
                if b == Violation::Cold {
                    bounds.warmup_excess = 1e6;
                }
                Box::new(ViolatingBalancer::new(
                    Balancer::new(place, bounds, seed),
                    b,
                ))
            }
        }
    }
}
