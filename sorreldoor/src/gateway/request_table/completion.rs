//! Completion: responses, broken streams, retries and failed attempts.

use super::eligibility::is_idempotent;
use super::{ClusterView, RequestEffect, RequestId, RequestTable, Stage};
use crate::error::ErrorCode;
use crate::invariants::{is_disabled, Invariant};
use crate::types::Millis;

/// How long a worker is skipped after a failed attempt.
const SKIP_MS: Millis = 1000;
/// Most attempts of a request while none of them has run.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Most attempts of an idempotent request that may have run.
const MAX_IDEMPOTENT_ATTEMPTS: u32 = 3;

impl RequestTable {
    /// Handles a complete response: responds with it and ends the request.
    pub(super) fn complete(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        now: Millis,
    ) {
        let token = self.token_of(request_id);
        self.record_latency(request_id, now);
        self.finish(cluster, request_id, worker);
        self.counters.served += 1;
        self.effects
            .push(RequestEffect::Respond { request_id, token });
    }

    /// Handles the head of a stream: begins the response.
    pub(super) fn start_stream(&mut self, request_id: RequestId, worker: usize) {
        let token = self.token_of(request_id);
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.stage = Stage::Streaming(worker);
        }
        self.effects
            .push(RequestEffect::Respond { request_id, token });
    }

    /// Ends a request whose stream was relayed up to its last event.
    pub(super) fn end_stream(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        now: Millis,
    ) {
        self.record_latency(request_id, now);
        self.counters.served += 1;
        self.finish(cluster, request_id, worker);
    }

    /// Ends a request whose stream was interrupted. It is not retried, since its
    /// caller has already received part of it.
    pub(super) fn break_stream(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
    ) {
        self.log_failure(cluster, request_id, worker, ErrorCode::StreamInterrupted);
        self.counters.broken_streams += 1;
        self.finish(cluster, request_id, worker);
    }

    /// Removes the request of a disconnected caller and aborts its attempt.
    pub fn on_disconnect(&mut self, cluster: &mut ClusterView, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let (stage, token) = (request.stage, request.token);
        self.remove(request_id);
        self.counters.disconnected += 1;
        if let Some(worker) = stage.worker() {
            cluster.record_finished(worker);
            self.effects
                .push(RequestEffect::Abort { request_id, token });
        }
    }

    /// Excludes a worker from matching for [`SKIP_MS`].
    pub(super) fn skip_for_a_while(&mut self, worker: usize, now: Millis) {
        self.skipped_until.insert(worker, now + SKIP_MS);
    }

    /// Requeues a request that has not run, charged to the retry budget; rejects
    /// it if the budget is exhausted.
    pub(super) fn requeue_charged(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        now: Millis,
    ) {
        let allowed = self.retry_budget.try_withdraw();
        self.counters.retries += u64::from(allowed);
        self.requeue_if(allowed, cluster, request_id, worker, now);
    }

    /// Requeues a request for another worker, without a charge.
    pub(super) fn requeue(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        now: Millis,
    ) {
        self.requeue_if(true, cluster, request_id, worker, now);
    }

    fn requeue_if(
        &mut self,
        allowed: bool,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        now: Millis,
    ) {
        cluster.record_finished(worker);
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        self.sent_ids.remove(&request.spec.id);
        request.stage = Stage::Waiting;
        request.token = 0;
        request.connected = false;
        request.possibly_sent = false;
        request.excluded_workers.push(worker);
        if !allowed || request.attempts >= MAX_UNSENT_ATTEMPTS {
            self.remove(request_id);
            self.reject(request_id, ErrorCode::NoWorker, now);
        }
    }

    /// Handles a failed attempt that may have run. An idempotent request is
    /// retried within its limits or rejected with `error_code`; any other is
    /// rejected with `OutcomeUnknown`.
    pub(super) fn fail_attempt(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        error_code: ErrorCode,
        now: Millis,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let idempotent = request.idempotent && is_idempotent(cluster, request);
        let retryable = idempotent || is_disabled(Invariant::RetryOnlyIdempotent);
        let in_time = now < request.deadline && request.attempts < MAX_IDEMPOTENT_ATTEMPTS;
        let id = request.spec.id.clone();
        self.skip_for_a_while(worker, now);
        self.log_failure(cluster, request_id, worker, error_code);
        if retryable && in_time && self.retry_budget.try_withdraw() {
            self.counters.retries += 1;
            return self.requeue(cluster, request_id, worker, now);
        }
        self.finish(cluster, request_id, worker);
        if retryable {
            return self.reject(request_id, error_code, now);
        }
        self.counters.outcome_unknown += 1;
        let worker = cluster.worker_name(worker);
        self.effects
            .push(RequestEffect::OutcomeUnknown { id, worker });
        // an error that promises that it did not run would be wrong here
        let reported = if is_disabled(Invariant::UnknownOutcome) {
            ErrorCode::NoWorker
        } else {
            ErrorCode::OutcomeUnknown
        };
        self.reject(request_id, reported, now);
    }

    fn log_failure(
        &mut self,
        cluster: &ClusterView,
        request_id: RequestId,
        worker: usize,
        error_code: ErrorCode,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        self.effects.push(RequestEffect::AttemptFailed {
            id: request.spec.id.clone(),
            worker: cluster.worker_name(worker),
            error_code,
        });
    }

    /// Removes a request whose attempt has ended.
    pub(super) fn finish(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
    ) {
        cluster.record_finished(worker);
        self.remove(request_id);
    }

    /// Aborts the attempt of a request that has not been sent yet.
    pub(super) fn abort_connecting(&mut self, cluster: &mut ClusterView, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let token = request.token;
        if let Stage::Connecting(worker) = request.stage {
            cluster.record_finished(worker);
            self.effects
                .push(RequestEffect::Abort { request_id, token });
        }
    }

    fn token_of(&self, request_id: RequestId) -> u64 {
        self.requests
            .get(&request_id)
            .map_or(0, |request| request.token)
    }
}
