//! Updates the state of endpoints from responses: load, slow start, latency and
//! health.

use super::index::EndpointIndex;
use super::outlier_detection::HealthSignal;
use super::request_table::Attempt;
use super::state::Balancer;
use super::{LoadReport, RequestId};
use crate::types::Millis;

/// Weight of a new sample in an exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Attempts with more prefill tokens are samples of the prefill time per token.
const PREFILL_SAMPLE_TOKENS: u32 = 2000;
/// Attempts with fewer prefill tokens are samples of the latency without prefill.
const BASE_SAMPLE_TOKENS: u32 = 500;
/// Bounds of the latency ratio of an endpoint.
const MIN_LATENCY_RATIO: f64 = 0.25;
const MAX_LATENCY_RATIO: f64 = 4.0;
/// At most one in this many endpoints of a service and region is ejected for
/// failures, but one always may be.
const ENDPOINTS_PER_EJECTION: usize = 3;
/// Status of a response whose deadline passed at the endpoint.
const GATEWAY_TIMEOUT: u16 = 504;

fn update_average(average: &mut f64, sample: f64) {
    *average += EWMA_WEIGHT * (sample - *average);
}

impl Balancer {
    /// Applies the load and slow start reported in a response head.
    pub(super) fn record_head(
        &mut self,
        index: EndpointIndex,
        load: Option<LoadReport>,
        slow_start_ms: Option<u64>,
        now: Millis,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(index) else {
            return;
        };
        if let Some(load) = load {
            endpoint.report_load(load, now);
        }
        if let Some(remaining_ms) = slow_start_ms {
            endpoint.set_slow_start(now + remaining_ms);
        }
    }

    /// Ends the prefill of the current attempt and updates the latency averages of
    /// endpoint and service. Only the first call for an attempt has an effect.
    pub(super) fn record_first_event(&mut self, request_id: RequestId, now: Millis) {
        let request = self.requests.get_mut(request_id);
        let Some(attempt) = request.and_then(|request| request.attempt.as_mut()) else {
            return;
        };
        if attempt.prefill_done {
            return;
        }
        attempt.prefill_done = true;
        let attempt = *attempt;
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else {
            return;
        };
        endpoint.end_prefill(attempt.prefill_tokens);
        let service = &mut self.services[endpoint.service];
        let latency_ms = now.saturating_sub(attempt.sent_at) as f64;
        let prefill_tokens = f64::from(attempt.prefill_tokens);
        let prefill_ms = prefill_tokens * service.prefill_ms_per_token;
        let expected_ms = (service.base_latency_ms + prefill_ms).max(1.0);
        let ratio = (latency_ms / expected_ms).clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
        update_average(&mut endpoint.latency_ratio, ratio);
        if attempt.prefill_tokens > PREFILL_SAMPLE_TOKENS {
            let per_token = (latency_ms - service.base_latency_ms).max(0.0) / prefill_tokens;
            let average = &mut service.prefill_ms_per_token;
            update_average(average, per_token.clamp(0.001, 0.5));
        }
        if attempt.prefill_tokens < BASE_SAMPLE_TOKENS {
            let average = &mut service.base_latency_ms;
            update_average(average, latency_ms.clamp(1.0, 2000.0));
        }
    }

    /// Applies the status of a complete response to the endpoint's health.
    pub(super) fn record_completed(
        &mut self,
        request_id: RequestId,
        attempt: Attempt,
        status: u16,
        now: Millis,
    ) {
        if status < 400 {
            self.record_first_event(request_id, now);
            self.counts.served += 1;
        }
        if status < 400 || status == GATEWAY_TIMEOUT {
            self.record_response_time(request_id, attempt, now);
        }
        match status {
            // the deadline may have been short, so this counts as slow, not as
            // failed
            GATEWAY_TIMEOUT => {
                if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
                    update_average(&mut endpoint.latency_ratio, MAX_LATENCY_RATIO);
                }
            }
            500.. => self.record_health(attempt, HealthSignal::Failure, now),
            _ => self.record_health(attempt, HealthSignal::Success, now),
        }
    }

    /// Applies the result of an attempt to outlier detection.
    pub(super) fn record_health(&mut self, attempt: Attempt, signal: HealthSignal, now: Millis) {
        let may_eject = signal != HealthSignal::Failure || self.may_eject(attempt.endpoint);
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else {
            return;
        };
        let was_ejected = endpoint.outlier.ejected();
        let ejected = endpoint.outlier.record(signal, may_eject, now);
        if signal == HealthSignal::ConnectFailure {
            // the process has ended and lost its cache
            endpoint.prefix_cache.clear();
        }
        if ejected && !was_ejected {
            self.counts.ejections += 1;
        }
        if signal != HealthSignal::Success {
            return;
        }
        endpoint.outlier.relax_backoff();
        if endpoint.outlier.try_readmit() {
            // it may have been restarted, which the registry shows with a delay
            let service = endpoint.service;
            let warmup_ms = self.warmup_ms(service);
            self.start_slow_start(attempt.endpoint, warmup_ms, now);
        }
    }

    /// Whether one more endpoint of this service and region may be ejected for
    /// failures.
    fn may_eject(&self, index: EndpointIndex) -> bool {
        let Some(endpoint) = self.endpoints.get(index) else {
            return false;
        };
        let peers = || {
            let all = &self.services[endpoint.service].endpoints;
            all.iter()
                .filter_map(|peer| self.endpoints.get(*peer))
                .filter(|peer| peer.registered && peer.region == endpoint.region)
        };
        let ejected = peers().filter(|peer| peer.outlier.ejected()).count();
        ejected < (peers().count() / ENDPOINTS_PER_EJECTION).max(1)
    }
}
