//! Graceful shutdown: a request is sent to an endpoint only if its response is
//! expected to be complete before the node exits.

use super::index::ServiceIndex;
use super::request_table::{Attempt, Request};
use super::response_time::RouteKey;
use super::state::Balancer;
use super::RequestId;
use crate::configuration::hosted::{Kind, Route};
use crate::invariants::{is_disabled, Invariant};
use crate::types::Millis;

/// The time limits of a shutdown, on the balancer's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// Until when many requests arrive, as clients still use older endpoint lists.
    pub arrivals_until: Millis,
    /// When all responses must be complete.
    pub responses_until: Millis,
}

impl Balancer {
    /// Begins the shutdown of this node. Its limits apply to all later decisions, also
    /// on requests that arrived before.
    pub fn start_shutdown(&mut self, limits: ShutdownLimits) {
        self.shutdown = Some(limits);
        self.wait_queue.recheck_all();
    }

    /// Whether a request that is sent now is expected to be completed before this node
    /// exits. Always true while the node is not shutting down.
    pub(super) fn completes_before_exit(
        &self,
        request: &Request,
        route: &Route,
        service: ServiceIndex,
        now: Millis,
    ) -> bool {
        let Some(limits) = self.shutdown else {
            return true;
        };
        if is_disabled(Invariant::CompletedBeforeExit) {
            return true;
        }
        // a request has ended by its deadline in any case
        if request.deadline <= limits.responses_until {
            return true;
        }
        // an estimate can be exceeded: other requests then get an error response, but
        // a stream that has begun can only be cut off
        let is_stream = route.kind == Kind::Stream;
        if is_stream && request.arrived_at > limits.arrivals_until {
            return false;
        }
        let estimate = self.estimated_response_time(route, service);
        estimate.is_some_and(|estimate| now + estimate < limits.responses_until)
    }

    /// The estimate for the route, or else for all routes of the service; `None` before
    /// the first response.
    fn estimated_response_time(&self, route: &Route, service: ServiceIndex) -> Option<Millis> {
        let of_service = || self.services.get(service)?.response_time.estimate();
        self.route_response_times
            .estimate(RouteKey::from(route))
            .or_else(of_service)
    }

    /// Updates the estimates after a complete response.
    pub(super) fn record_response_time(
        &mut self,
        request_id: RequestId,
        attempt: Attempt,
        now: Millis,
    ) {
        let response_time = now.saturating_sub(attempt.sent_at);
        if let Some(route) = self.route(request_id).map(RouteKey::from) {
            self.route_response_times.add(route, response_time);
        }
        if let Some(endpoint) = self.endpoints.get(attempt.endpoint) {
            let service = &mut self.services[endpoint.service];
            service.response_time.add(response_time);
        }
    }
}
