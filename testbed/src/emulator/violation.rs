//! The product's balancer with one deviation: it violates an invariant, so that the
//! tests can show that the check detects it, or does not fail over.

use super::policy::{Policy, Violation};
use sorreldoor::balancer::{AttemptOutcome, Balancer, Decision, RequestId};
use sorreldoor::configuration::hosted::{Hosted, Route};
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use sorreldoor::types::Millis;
use std::collections::HashSet;
use std::sync::Arc;

/// Forwards to the balancer, except where `violation` alters an input or a result.
pub struct ViolatingBalancer {
    balancer: Balancer,
    violation: Violation,
    has_configuration: bool,
    begun_requests: HashSet<RequestId>,
}

impl ViolatingBalancer {
    pub fn new(balancer: Balancer, violation: Violation) -> ViolatingBalancer {
        ViolatingBalancer {
            balancer,
            violation,
            has_configuration: false,
            begun_requests: HashSet::new(),
        }
    }
}

impl Policy for ViolatingBalancer {
    fn begin(
        &mut self,
        path: &str,
        metadata: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        Policy::begin(&mut self.balancer, path, metadata, now)
    }
    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
        if self.violation == Violation::NeverDecide {
            return Decision::Wait(20);
        }
        self.balancer.decide(request_id, now)
    }
    fn record_outcome(&mut self, request_id: RequestId, outcome: AttemptOutcome, now: Millis) {
        let outcome = match outcome {
            AttemptOutcome::Failed if self.violation == Violation::RetryAfterRun => {
                AttemptOutcome::Rejected(None)
            }
            outcome => outcome,
        };
        if outcome == AttemptOutcome::FirstEvent {
            self.begun_requests.insert(request_id);
        }
        self.balancer.record_outcome(request_id, outcome, now);
    }
    fn record_activity(&mut self, request_id: RequestId, now: Millis) {
        self.balancer.record_activity(request_id, now);
    }
    fn may_fail_over(&mut self, request_id: RequestId, silent_ms: Millis, now: Millis) -> bool {
        let fail_over_disabled = match self.violation {
            Violation::NoFailOver => true,
            Violation::NoFailOverOnceBegun => self.begun_requests.contains(&request_id),
            _ => false,
        };
        !fail_over_disabled && self.balancer.may_fail_over(request_id, silent_ms, now)
    }
    fn finish(&mut self, request_id: RequestId, now: Millis) {
        self.begun_requests.remove(&request_id);
        self.balancer.finish(request_id, now);
    }
    fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        self.balancer.take_ready(now)
    }
    fn deadline(&self, request_id: RequestId) -> Millis {
        self.balancer.deadline(request_id)
    }
    fn route(&self, request_id: RequestId) -> Option<Route> {
        self.balancer.route(request_id).cloned()
    }
    fn apply_configuration(&mut self, configuration: Arc<Hosted>, now: Millis) {
        if self.violation == Violation::IgnoreNewConfigurations
            && std::mem::replace(&mut self.has_configuration, true)
        {
            return;
        }
        let mut changed = (*configuration).clone();
        let each = changed.routes.iter_mut().map(Arc::make_mut);
        match self.violation {
            Violation::IgnoreHomes => each.for_each(|r| r.homes.clear()),
            Violation::RetryAfterRun => each.for_each(|r| r.attempts = r.attempts.max(2)),
            _ => {}
        }
        self.balancer.apply_configuration(Arc::new(changed), now);
    }
    fn update_registry(&mut self, registry: &WorkerRegistry, now: Millis) {
        let mut changed = registry.clone();
        if self.violation == Violation::IgnoreDrains {
            changed.workers.iter_mut().for_each(|w| w.leaving = false);
        }
        self.balancer.update_registry(&changed, now);
    }
    fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        if self.violation != Violation::IgnoreEvacuations {
            self.balancer.set_evacuated_zones(zones, now);
        }
    }
    fn update_nodes(&mut self, nodes: Vec<(String, u16)>) {
        self.balancer.update_nodes(nodes);
    }
    fn open(&self) -> (u64, u64) {
        Policy::open(&self.balancer)
    }
}
