//! Latency measurements: a moving average for each route, and totals for each
//! route and service, from which the control plane tunes weights.

use super::{RequestId, RequestTable};
use crate::types::Millis;

/// Most pairs of route and service with latency totals.
const MAX_LATENCY_TOTALS: usize = 256;

impl RequestTable {
    /// Records the latency of a request that has been served.
    pub(super) fn record_latency(&mut self, request_id: RequestId, now: Millis) {
        self.retry_after.record_served(now);
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let latency = now.saturating_sub(request.sent_at);
        let route = request.spec.route.clone();
        let average = self.average_latency.entry(route.clone()).or_insert(latency);
        *average = (*average * 7 + latency) / 8;
        let key = (route, request.service.clone());
        let known = self.latency_totals.contains_key(&key);
        if known || self.latency_totals.len() < MAX_LATENCY_TOTALS {
            let (count, total_ms) = self.latency_totals.entry(key).or_default();
            *count += 1;
            *total_ms += latency;
        }
    }
}
