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

/// Chooses workers for the requests of one node; has the methods of [`Balancer`].
pub trait Policy {
    fn begin(
        &mut self,
        path: &str,
        metadata: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode>;
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision;
    fn record_outcome(&mut self, request_id: RequestId, outcome: AttemptOutcome, now: Millis);
    fn may_fail_over(&mut self, request_id: RequestId, silent_ms: Millis, now: Millis) -> bool;
    fn record_activity(&mut self, request_id: RequestId, now: Millis);
    fn finish(&mut self, request_id: RequestId, now: Millis);
    fn take_ready(&mut self, now: Millis) -> Vec<RequestId>;
    fn deadline(&self, request_id: RequestId) -> Millis;
    fn route(&self, request_id: RequestId) -> Option<Route>;
    fn apply_configuration(&mut self, configuration: Arc<Hosted>, now: Millis);
    fn update_registry(&mut self, registry: &WorkerRegistry, now: Millis);
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis);
    fn update_nodes(&mut self, nodes: Vec<(String, u16)>);
    /// The number of open requests, and of those that wait for a worker.
    fn open(&self) -> (u64, u64);
}

/// Host name of all emulated routes.
pub const HOST: &str = "emul.example";

impl Policy for Balancer {
    fn begin(
        &mut self,
        path: &str,
        metadata: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        Balancer::begin(self, HOST, path, metadata, now, now)
    }
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
        Balancer::decide(self, request_id, now)
    }
    fn record_outcome(&mut self, request_id: RequestId, outcome: AttemptOutcome, now: Millis) {
        Balancer::record_outcome(self, request_id, outcome, now);
    }
    fn may_fail_over(&mut self, request_id: RequestId, silent_ms: Millis, now: Millis) -> bool {
        Balancer::may_fail_over(self, request_id, silent_ms, now)
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
    fn apply_configuration(&mut self, configuration: Arc<Hosted>, now: Millis) {
        Balancer::apply_configuration(self, configuration, now);
    }
    fn update_registry(&mut self, registry: &WorkerRegistry, now: Millis) {
        Balancer::update_registry(self, registry, now);
    }
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        Balancer::set_evacuated_zones(self, zones, now);
    }
    fn update_nodes(&mut self, nodes: Vec<(String, u16)>) {
        Balancer::update_nodes(self, nodes);
    }
    fn open(&self) -> (u64, u64) {
        let counts = self.counts();
        (counts.open, counts.waiting)
    }
}

/// The policy that all nodes of a run use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    Balancer,
    RoundRobin,
    LeastLoad,
    /// The balancer without fail-over, or without it after the first event.
    NoFailOver,
    NoFailOverOnceBegun,
    /// The balancer, violating one of its invariants.
    Violating(Violation),
}

/// How `ViolatingBalancer` deviates from the balancer, to show that a check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Attempts that may have run are retried as if a worker had rejected them.
    RetryAfterRun,
    /// Homes of routes are ignored.
    IgnoreHomes,
    /// Evacuations are ignored.
    IgnoreEvacuations,
    /// Draining workers still get requests.
    IgnoreDrains,
    /// The retry budget is not enforced.
    UnlimitedRetries,
    /// Slow start is ignored.
    IgnoreSlowStart,
    /// Configurations after the first are ignored.
    IgnoreNewConfigurations,
    /// Every request waits until its client gives up.
    NeverDecide,
    /// No invariant violated: requests do not fail over, or not after their first event.
    NoFailOver,
    NoFailOverOnceBegun,
}

impl PolicyKind {
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Balancer => "balancer",
            PolicyKind::RoundRobin => "round robin",
            PolicyKind::LeastLoad => "least load",
            PolicyKind::NoFailOver => "balancer, no fail-over",
            PolicyKind::NoFailOverOnceBegun => "balancer, no fail-over once begun",
            PolicyKind::Violating(_) => "violating balancer",
        }
    }

    pub fn make(self, locality: Locality, mut limits: SiteLimits, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyKind::Balancer => Box::new(Balancer::new(locality, limits, seed)),
            PolicyKind::RoundRobin | PolicyKind::LeastLoad => {
                Box::new(BaselinePolicy::new(self, seed, &locality.node))
            }
            PolicyKind::NoFailOver | PolicyKind::NoFailOverOnceBegun => {
                let violation = match self {
                    PolicyKind::NoFailOver => Violation::NoFailOver,
                    _ => Violation::NoFailOverOnceBegun,
                };
                Box::new(ViolatingBalancer::new(
                    Balancer::new(locality, limits, seed),
                    violation,
                ))
            }
            PolicyKind::Violating(violation) => {
                if violation == Violation::UnlimitedRetries {
                    (limits.retry_ratio, limits.retry_slack) = (1e6, 1e6);
                }
                if violation == Violation::IgnoreSlowStart {
                    limits.warmup_excess = 1e6;
                }
                Box::new(ViolatingBalancer::new(
                    Balancer::new(locality, limits, seed),
                    violation,
                ))
            }
        }
    }
}
