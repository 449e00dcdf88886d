//! Applies the outcome of an attempt to the request, the endpoint and the retry
//! budget.

use super::endpoint::OVERLOAD_BACKOFF;
use super::outlier_detection::HealthSignal;
use super::request_table::Attempt;
use super::state::Balancer;
use super::{AttemptOutcome, LoadReport, RequestId};
use crate::error::ErrorCode;
use crate::proxy::request_state::RequestEvent;
use crate::types::Millis;

impl AttemptOutcome {
    /// Whether the endpoint sent something, and so is alive.
    fn shows_activity(&self) -> bool {
        !matches!(
            self,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Failed | AttemptOutcome::Canceled
        )
    }
}

impl Balancer {
    /// Records an outcome of the request's current attempt. Does nothing if there is
    /// no current attempt.
    pub fn record_outcome(&mut self, request_id: RequestId, outcome: AttemptOutcome, now: Millis) {
        self.advance_clock(now);
        let Some(attempt) = self.requests.get(request_id).and_then(|r| r.attempt) else {
            return;
        };
        if outcome.shows_activity() {
            self.record_activity(request_id, now);
        }
        match outcome {
            AttemptOutcome::HeadReceived {
                load,
                slow_start_ms,
            } => self.record_head(attempt.endpoint, load, slow_start_ms, now),
            AttemptOutcome::FirstEvent => self.record_first_event(request_id, now),
            AttemptOutcome::Completed(status) => {
                self.record_completed(request_id, attempt, status, now);
                self.release_attempt(request_id, true);
                self.record_attempt_end(request_id, RequestEvent::ResponseComplete, None);
            }
            AttemptOutcome::Rejected(load) => self.attempt_rejected(request_id, attempt, load, now),
            AttemptOutcome::Misdirected => self.attempt_misdirected(request_id, attempt),
            AttemptOutcome::ConnectFailed => self.connect_failed(request_id, attempt, now),
            AttemptOutcome::Failed => {
                self.release_attempt(request_id, true);
                self.record_health(attempt, HealthSignal::Failure, now);
                self.record_attempt_end(
                    request_id,
                    RequestEvent::Closed,
                    Some(ErrorCode::WorkerDisconnected),
                );
            }
            AttemptOutcome::Canceled => {
                self.release_attempt(request_id, true);
                self.record_attempt_end(request_id, RequestEvent::Closed, None);
            }
        }
        self.remove_if_unused(attempt.endpoint);
    }

    /// Records that the endpoint of the request's current attempt sent something.
    pub fn record_activity(&mut self, request_id: RequestId, now: Millis) {
        let attempt = self.requests.get(request_id).and_then(|r| r.attempt);
        let endpoint = attempt.and_then(|attempt| self.endpoints.get_mut(attempt.endpoint));
        if let Some(endpoint) = endpoint {
            endpoint.record_activity(now);
        }
    }

    fn attempt_rejected(
        &mut self,
        request_id: RequestId,
        attempt: Attempt,
        load: Option<LoadReport>,
        now: Millis,
    ) {
        self.record_head(attempt.endpoint, load, None, now);
        self.remove_uncached_segments(request_id, attempt);
        self.release_attempt(request_id, true);
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.overloaded_until = now + OVERLOAD_BACKOFF;
        }
        // a refusal (429 or 503) shows overload, not a failed endpoint
        self.record_health(attempt, HealthSignal::Success, now);
        self.record_attempt_end(request_id, RequestEvent::NotRun, Some(ErrorCode::NoWorker));
    }

    fn attempt_misdirected(&mut self, request_id: RequestId, attempt: Attempt) {
        self.remove_uncached_segments(request_id, attempt);
        self.release_attempt(request_id, true);
        let version = self.registry_version;
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.misdirected_version = Some(version);
        }
        self.record_attempt_end(request_id, RequestEvent::NotRun, Some(ErrorCode::NotSent));
        // the intended endpoint is gone, so the attempt reached none
        self.decrement_attempts(request_id);
    }

    fn connect_failed(&mut self, request_id: RequestId, attempt: Attempt, now: Millis) {
        self.remove_uncached_segments(request_id, attempt);
        self.release_attempt(request_id, false);
        self.revert_unsent_attempt(request_id, attempt);
        self.record_health(attempt, HealthSignal::ConnectFailure, now);
        self.record_attempt_end(
            request_id,
            RequestEvent::ConnectFailed,
            Some(ErrorCode::NotSent),
        );
    }

    /// Updates the request's progress and last error after its attempt has ended.
    fn record_attempt_end(
        &mut self,
        request_id: RequestId,
        event: RequestEvent,
        error: Option<ErrorCode>,
    ) {
        if let Some(request) = self.requests.get_mut(request_id) {
            request.progress.apply(event);
            request.last_error = error;
        }
    }

    /// Removes the request's current attempt and frees its slot at the endpoint.
    /// `reached` is false only if the endpoint certainly received nothing.
    pub(super) fn release_attempt(&mut self, request_id: RequestId, reached: bool) {
        let Some(request) = self.requests.get_mut(request_id) else {
            return;
        };
        let Some(attempt) = request.attempt.take() else {
            return;
        };
        request.reached_endpoint |= reached;
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.end_attempt(&attempt);
            self.wait_queue.record_freed_slot(endpoint.service);
        }
    }

    /// Reverts the counts of an attempt that was not sent: those of slow start, of
    /// the retry budget and of the route's attempts.
    fn revert_unsent_attempt(&mut self, request_id: RequestId, attempt: Attempt) {
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else {
            return;
        };
        endpoint.cancel_send(attempt.sent_at);
        if attempt.is_retry {
            self.services[endpoint.service]
                .retry_budget
                .cancel_retry(&self.site_limits, attempt.sent_at);
            self.counts.retried = self.counts.retried.saturating_sub(1);
        }
        self.decrement_attempts(request_id);
    }

    fn decrement_attempts(&mut self, request_id: RequestId) {
        if let Some(request) = self.requests.get_mut(request_id) {
            request.attempts = request.attempts.saturating_sub(1);
        }
    }

    /// Removes the uncached segments of an attempt from the cache model, as the
    /// endpoint did not prefill them.
    fn remove_uncached_segments(&mut self, request_id: RequestId, attempt: Attempt) {
        let Some(request) = self.requests.get(request_id) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            let first = attempt.cached_segments.min(request.segments.len());
            endpoint.prefix_cache.remove(&request.segments[first..]);
        }
    }
}
