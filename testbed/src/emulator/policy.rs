//! Load balancing policies: the product's balancer, or a baseline to compare it
//! with.

use super::baseline::BaselinePolicy;
use super::violation::ViolatingBalancer;
use sorreldoor::balancer::{AttemptOutcome, Balancer, Decision, Locality, RequestId, SiteLimits};
use sorreldoor::configuration::hosted::{Hosted, Route};
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use sorreldoor::types::Millis;
use std::sync::Arc;

/// The interface of a policy; the calls of the product's balancer.
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
        Balancer::decide(self, request_id, now)
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

/// The policy of all nodes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    Balancer,
    RoundRobin,
    LeastLoad,
    /// The balancer without fail-over; or without fail-over of begun requests.
    Stay,
    StayBegun,
    /// The balancer, violating one of its invariants.
    Broken(Violation),
}

/// An invariant to violate, to show that its check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Attempts that may have run are retried as if they had not.
    Twice,
    /// Homes of routes are ignored.
    Homes,
    /// Evacuations are ignored.
    Zones,
    /// Draining workers get requests.
    Drains,
    /// Retries have no budget.
    Budget,
    /// Slow start is ignored.
    Cold,
    /// Later configurations are ignored.
    Routes,
    /// A request is never decided on.
    Mute,
    /// No violation: requests do not fail over, or not once they have begun.
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

    pub fn make(self, place: Locality, mut bounds: SiteLimits, seed: u64) -> Box<dyn Policy> {
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
