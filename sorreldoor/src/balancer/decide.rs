//! The decision on a request: the endpoint it is sent to, whether it waits for
//! capacity, or the error it is rejected with.

use super::authentication::Caller;
use super::candidates::Candidates;
use super::index::ServiceIndex;
use super::request_table::{rendezvous_rank, Request};
use super::retry_budget::SLACK_MARGIN;
use super::state::Balancer;
use super::wait_queue::{Position, QueueKey, RECHECK_INTERVAL};
use super::{AttemptOutcome, Decision, RequestId};
use crate::configuration::hosted::Route;
use crate::error::ErrorCode;
use crate::proxy::request_state::{FallbackResponse, Repeatability, RequestEvent};
use crate::types::Millis;

/// No attempt is sent with less time than this left until the deadline.
pub(super) const MIN_TIME_LEFT: Millis = 5;
/// Range from which the retry-after time of a rejection is drawn.
const MIN_RETRY_AFTER: Millis = 100;
const MAX_RETRY_AFTER: Millis = 400;

/// A service and its rank in the order in which a request prefers the services of
/// its route; the lowest rank is first.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedService {
    pub service: ServiceIndex,
    pub rank: f64,
}

/// Queue and position in which a request waits, and until when.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    key: QueueKey,
    position: Position,
    wait_until: Millis,
}

impl Balancer {
    /// The service with the lowest rank above `after`, by weighted rendezvous
    /// hashing: over many requests the services are used in proportion to their
    /// weights.
    pub(super) fn next_service(
        &self,
        request: &Request,
        route: &Route,
        after: f64,
    ) -> Option<RankedService> {
        // requests with the same prefix go to the same service, so that it is
        // prefilled once
        let affinity = request.prefix_key().filter(|_| route.prefix_affinity);
        let key = affinity.unwrap_or(request.split_key);
        let weighted = route.split.iter().filter(|(_, weight)| *weight > 0);
        let ranked = weighted.filter_map(|(config_index, weight)| {
            let service = *self.configured_services.get(*config_index as usize)?;
            let rank = rendezvous_rank(key, self.services[service].hash, *weight);
            Some(RankedService { service, rank })
        });
        ranked
            .filter(|ranked| ranked.rank > after)
            .min_by(|a, b| a.rank.total_cmp(&b.rank))
    }

    /// Decides what happens next to a request under the current configuration. An
    /// attempt that is still in flight is recorded as canceled.
    pub fn decide(&mut self, request_id: RequestId, now: Millis) -> Decision {
        self.advance_clock(now);
        self.leave_queue(request_id);
        let in_flight = self.requests.get(request_id).and_then(|r| r.attempt);
        if in_flight.is_some() {
            self.record_outcome(request_id, AttemptOutcome::Canceled, now);
        }
        let Some(hosted) = self.hosted.clone() else {
            return Decision::Reject(ErrorCode::NotSent, 0);
        };
        let Some(mut request) = self.requests.check_out(request_id) else {
            return Decision::Reject(ErrorCode::NotSent, 0);
        };
        self.refresh_route(&mut request, &hosted);
        let route = request.route.and_then(|i| hosted.routes.get(i as usize));
        let route = route.map(|route| &**route);
        let decision = self.decide_on_route(request_id, &mut request, route, now);
        self.requests.check_in(request_id, request);
        if matches!(decision, Decision::Reject(..)) {
            self.counts.rejected += 1;
        }
        decision
    }

    fn decide_on_route(
        &mut self,
        request_id: RequestId,
        request: &mut Request,
        route: Option<&Route>,
        now: Millis,
    ) -> Decision {
        // a request without a route is not known to be idempotent
        let kind = route.map_or(Repeatability::NonIdempotent, Repeatability::from);
        request
            .progress
            .apply(RequestEvent::ConfigurationChanged(kind));
        if !request.progress.may_send() {
            return self.reject(request, ErrorCode::ShuttingDown, now);
        }
        let Some(route) = route else {
            return Decision::Reject(ErrorCode::UnknownRoute, 0);
        };
        if request.caller == Caller::Unauthenticated {
            // the API key was revoked after the request began
            self.counts.unauthenticated += 1;
            return self.reject(request, ErrorCode::UnknownKey, now);
        }
        if request.deadline < now + MIN_TIME_LEFT {
            return self.reject(request, ErrorCode::NotSent, now);
        }
        let last_error = request.last_error.unwrap_or(ErrorCode::NoWorker);
        if request.attempts >= route.attempts.max(1) {
            return self.reject(request, last_error, now);
        }
        let Some(first) = self.next_service(request, route, 0.0) else {
            return self.reject(request, ErrorCode::NoWorker, now);
        };
        if !self.completes_before_exit(request, route, first.service, now) {
            self.counts.rejected_at_shutdown += 1;
            return self.reject(request, ErrorCode::ShuttingDown, now);
        }
        let entry = queue_entry(request_id, request, route, first.service);
        let untried = request.tried.is_empty();
        let may_wait = now < entry.wait_until;
        if untried && may_wait && self.wait_queue.any_ahead_of(entry.key, entry.position) {
            return self.wait(request, entry, now);
        }
        let (service, candidates) = self.find_candidates(request, route, now);
        if request.reached_endpoint && !self.allows_retry(service, now) {
            return self.reject(request, last_error, now);
        }
        if let Some(best) = candidates.best() {
            return self.send(request, service, best, route, now);
        }
        if may_wait {
            return self.wait(request, entry, now);
        }
        // with more than half of the slots free, an overloaded endpoint is better
        // than a rejection
        let underused = candidates.used_slots * 2.0 < candidates.slots;
        // a request that may have run is not rejected for lack of capacity
        let may_queue = underused || request.progress.may_have_run();
        match candidates.overloaded.filter(|_| may_queue) {
            Some(overloaded) => self.send(request, service, overloaded, route, now),
            None => self.reject(request, ErrorCode::NoWorker, now),
        }
    }

    /// Whether this node's share of the service's retry budget allows a retry.
    pub(super) fn allows_retry(&self, service: ServiceIndex, now: Millis) -> bool {
        let service = &self.services[service];
        let total_slack = self.site_limits.retry_slack * SLACK_MARGIN;
        let slack = self.nodes.share(total_slack, service.hash);
        let budget = &service.retry_budget;
        budget.allows_retry(&self.site_limits, slack, now)
    }

    fn wait(&mut self, request: &mut Request, entry: QueueEntry, now: Millis) -> Decision {
        if !std::mem::replace(&mut request.has_waited, true) {
            self.counts.waited += 1;
        }
        // a request that excludes tried endpoints must not block those behind it
        if request.tried.is_empty() {
            request.queued = Some((entry.key, entry.position));
            self.wait_queue.insert(entry.key, entry.position, now);
        }
        let remaining = entry.wait_until.saturating_sub(now);
        Decision::Wait(remaining.clamp(1, RECHECK_INTERVAL))
    }

    /// The first service in the request's order with eligible endpoints, and the
    /// candidates there. Ejected endpoints without a due trial are eligible only
    /// if no service has others. Without any eligible endpoint the candidates are
    /// empty.
    pub(super) fn find_candidates(
        &mut self,
        request: &Request,
        route: &Route,
        now: Millis,
    ) -> (ServiceIndex, Candidates) {
        let first = self.next_service(request, route, 0.0);
        for include_ejected in [false, true] {
            let mut after = 0.0;
            while let Some(ranked) = self.next_service(request, route, after) {
                let candidates =
                    self.evaluate_endpoints(ranked.service, request, route, include_ejected, now);
                if candidates.eligible > 0 {
                    return (ranked.service, candidates);
                }
                after = ranked.rank;
            }
        }
        let first = first.map_or(ServiceIndex(0), |ranked| ranked.service);
        (first, Candidates::default())
    }

    fn reject(&mut self, request: &Request, error: ErrorCode, now: Millis) -> Decision {
        let error = match request.progress.fallback_response() {
            FallbackResponse::ServiceUnavailable => error,
            FallbackResponse::GatewayTimeout => ErrorCode::DeadlineExceeded,
            _ if request.progress.may_run_twice() => ErrorCode::WorkerDisconnected,
            _ => ErrorCode::OutcomeUnknown,
        };
        // at most a third of the time left, so that the client can still retry
        let max_wait = request.deadline.saturating_sub(now) / 3;
        let range = (MAX_RETRY_AFTER - MIN_RETRY_AFTER) as f64;
        let retry_after = MIN_RETRY_AFTER + (self.rng.unit() * range) as Millis;
        match error.is_retryable() {
            true => Decision::Reject(error, retry_after.min(max_wait)),
            false => Decision::Reject(error, 0),
        }
    }
}

fn queue_entry(
    request_id: RequestId,
    request: &Request,
    route: &Route,
    service: ServiceIndex,
) -> QueueEntry {
    QueueEntry {
        key: QueueKey {
            service,
            regions: allowed_regions(&route.homes, request.caller.homes()),
        },
        position: Position {
            rank: request.rank(route),
            arrived_at: request.arrived_at,
            request_id,
        },
        wait_until: request.arrived_at + max_wait(route, request.reached_endpoint),
    }
}

/// Home regions as a bit set; 0 for an empty list, which allows all regions.
fn region_bits(homes: &[u8]) -> u64 {
    homes.iter().fold(0, |bits, home| bits | 1 << (home & 63))
}

/// The regions allowed by the homes of both the route and the tenant, as a bit
/// set; 0 if neither has homes, or if they have no region in common.
fn allowed_regions(route: &[u8], tenant: &[u8]) -> u64 {
    match (region_bits(route), region_bits(tenant)) {
        (0, bits) | (bits, 0) => bits,
        (route, tenant) => route & tenant,
    }
}

/// Time after its arrival until which a request may wait, in milliseconds.
fn max_wait(route: &Route, reached_endpoint: bool) -> Millis {
    let latency_target = match route.latency_target_ms {
        0 => route.timeout_ms / 2,
        target => target,
    };
    // after a rejection within a quarter of the target, the client's retry can
    // still meet the target
    let quarter = latency_target / 4;
    if reached_endpoint {
        quarter * 2
    } else {
        quarter.saturating_sub(RECHECK_INTERVAL / 2)
    }
}
