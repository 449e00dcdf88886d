//! Where a request goes now, whether it waits, or why it is rejected.

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

/// With less time left no attempt is sent.
pub(super) const MIN_TIME_LEFT: Millis = 5;
/// Range of the retry-after time of a rejection.
const MIN_RETRY_AFTER: Millis = 100;
const MAX_RETRY_AFTER: Millis = 400;

/// A service in a request's own order of the services of its route.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedService {
    pub service: ServiceIndex,
    pub rank: f64,
}

/// The place of a request in the wait queue, and how long it may wait.
#[derive(Clone, Copy, Debug)]
struct QueueSlot {
    key: QueueKey,
    position: Position,
    wait_until: Millis,
}

impl Balancer {
    /// The service that follows the rank `after` in the request's own order.
    pub(super) fn next_service(
        &self,
        request: &Request,
        route: &Route,
        after: f64,
    ) -> Option<RankedService> {
        // one prefix must keep to one service, or it is read twice
        let affinity = request.prefix_key().filter(|_| route.sticky);
        let draw = affinity.unwrap_or(request.split_draw);
        let weighted = route.split.iter().filter(|(_, weight)| *weight > 0);
        let ranked = weighted.filter_map(|(config_index, weight)| {
            let service = *self.configured_services.get(*config_index as usize)?;
            let rank = rendezvous_rank(draw, self.services[service].hash, *weight);
            Some(RankedService { service, rank })
        });
        ranked
            .filter(|ranked| ranked.rank > after)
            .min_by(|a, b| a.rank.total_cmp(&b.rank))
    }

    /// Decides on a request under the configuration in force. An attempt that
    /// is still in flight counts as canceled.
    pub fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
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
        let decision = self.decide(request_id, &mut request, route, now);
        self.requests.check_in(request_id, request);
        if matches!(decision, Decision::Reject(..)) {
            self.counts.rejected += 1;
        }
        decision
    }

    fn decide(
        &mut self,
        request_id: RequestId,
        request: &mut Request,
        route: Option<&Route>,
        now: Millis,
    ) -> Decision {
        // without a route nothing says that it is idempotent
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
            // its key was revoked while it waited or ran
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
        let slot = queue_slot(request_id, request, route, first.service);
        let untried = request.tried.is_empty();
        let may_wait = now < slot.wait_until;
        if untried && may_wait && self.wait_queue.any_ahead_of(slot.key, slot.position) {
            return self.wait(request, slot, now);
        }
        let (service, candidates) = self.find_candidates(request, route, now);
        if request.reached_endpoint && !self.allows_retry(service, now) {
            return self.reject(request, last_error, now);
        }
        if let Some(best) = candidates.best() {
            return self.send(request, service, best, route, now);
        }
        if may_wait {
            return self.wait(request, slot, now);
        }
        // a rejection while half the slots are free is worse than a queue
        let underused = candidates.used_slots * 2.0 < candidates.slots;
        // a request that has begun must not end because it would have to wait
        let may_queue = underused || request.progress.may_have_run();
        match candidates.overloaded.filter(|_| may_queue) {
            Some(overloaded) => self.send(request, service, overloaded, route, now),
            None => self.reject(request, ErrorCode::NoWorker, now),
        }
    }

    /// Whether this node's share of the service's retry budget allows a retry.
    pub(super) fn allows_retry(&self, service: ServiceIndex, now: Millis) -> bool {
        let service = &self.services[service];
        let total_slack = self.bounds.retry_slack * SLACK_MARGIN;
        let slack = self.nodes.share(total_slack, service.hash);
        let budget = &service.retry_budget;
        budget.allows_retry(&self.bounds, slack, now)
    }

    fn wait(&mut self, request: &mut Request, slot: QueueSlot, now: Millis) -> Decision {
        if !std::mem::replace(&mut request.has_waited, true) {
            self.counts.waited += 1;
        }
        // one that avoids an endpoint must not hold up those behind it
        if request.tried.is_empty() {
            request.queued = Some((slot.key, slot.position));
            self.wait_queue.insert(slot.key, slot.position, now);
        }
        let remaining = slot.wait_until.saturating_sub(now);
        Decision::Wait(remaining.clamp(1, RECHECK_INTERVAL))
    }

    /// The first service in the request's order that has endpoints for it.
    /// Ejected endpoints count only where no service has others.
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
                    self.candidates(ranked.service, request, route, include_ejected, now);
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
        // clients wait for up to a third of the time that they have left
        let max_wait = request.deadline.saturating_sub(now) / 3;
        let range = (MAX_RETRY_AFTER - MIN_RETRY_AFTER) as f64;
        let retry_after = MIN_RETRY_AFTER + (self.rng.unit() * range) as Millis;
        match error.is_retryable() {
            true => Decision::Reject(error, retry_after.min(max_wait)),
            false => Decision::Reject(error, 0),
        }
    }
}

fn queue_slot(
    request_id: RequestId,
    request: &Request,
    route: &Route,
    service: ServiceIndex,
) -> QueueSlot {
    QueueSlot {
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

/// Homes as a bit set; 0: all regions.
fn region_bits(homes: &[u8]) -> u64 {
    homes.iter().fold(0, |bits, home| bits | 1 << (home & 63))
}

/// The regions that may serve a request, as a bit set; 0: all. Both the homes
/// of the route and those of the tenant bind.
fn allowed_regions(route: &[u8], tenant: &[u8]) -> u64 {
    match (region_bits(route), region_bits(tenant)) {
        (0, bits) | (bits, 0) => bits,
        (route, tenant) => route & tenant,
    }
}

/// How long after its arrival a request may still wait, in milliseconds.
fn max_wait(route: &Route, reached_endpoint: bool) -> Millis {
    let latency_target = match route.aim_ms {
        0 => route.timeout_ms / 2,
        target => target,
    };
    // rejected within a quarter of the target, a client's retry can still be
    // in time
    let quarter = latency_target / 4;
    if reached_endpoint {
        quarter * 2
    } else {
        quarter.saturating_sub(RECHECK_INTERVAL / 2)
    }
}
