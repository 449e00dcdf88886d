//! Expiry: ends requests that are past their deadline, that no worker can
//! serve, or that wait while the edge has no valid lease.

use super::eligibility::has_eligible_worker;
use super::{ClusterView, Request, RequestEffect, RequestId, RequestTable, Stage};
use crate::error::ErrorCode;
use crate::types::Millis;

/// How long a request waits while no eligible worker is available, since a
/// worker may be missing from the registry for a moment.
const NO_WORKER_GRACE_MS: Millis = 3000;

impl RequestTable {
    /// Ends requests that can no longer be served before their deadline.
    pub fn expire_requests(&mut self, cluster: &mut ClusterView, now: Millis) {
        let expired: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| now + self.time_needed(request) >= request.deadline)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in expired {
            self.expire(cluster, request_id, now);
        }
    }

    /// Least time in milliseconds that a waiting request still needs: half the
    /// average latency of its route, as it would otherwise wait for a turn that comes
    /// too late; 0 once it has left the queue.
    fn time_needed(&self, request: &Request) -> Millis {
        if request.stage != Stage::Waiting {
            return 0;
        }
        let average = self.average_latency.get(&request.spec.route).copied();
        average.unwrap_or(0) / 2
    }

    fn expire(&mut self, cluster: &mut ClusterView, request_id: RequestId, now: Millis) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let (stage, token) = (request.stage, request.token);
        if stage.worker().is_some() {
            self.effects
                .push(RequestEffect::Abort { request_id, token });
        }
        match stage {
            Stage::Waiting => {
                self.remove(request_id);
                self.reject(request_id, ErrorCode::NotSent, now);
            }
            Stage::Connecting(worker) => {
                self.finish(cluster, request_id, worker);
                self.reject(request_id, ErrorCode::NotSent, now);
            }
            Stage::Sent(worker) => {
                self.fail_attempt(
                    cluster,
                    request_id,
                    worker,
                    ErrorCode::WorkerDisconnected,
                    now,
                );
            }
            Stage::Streaming(worker) => {
                self.counters.broken_streams += 1;
                self.finish(cluster, request_id, worker);
            }
        }
    }

    /// Rejects waiting requests that no worker could take, busy or not: the
    /// edge's zone is evacuated, or every eligible worker is gone.
    pub fn reject_unservable(&mut self, cluster: &ClusterView, now: Millis) {
        let evacuated = cluster.is_evacuated(cluster.zone);
        let reason = |request: &Request| {
            if evacuated {
                return Some(ErrorCode::ShuttingDown);
            }
            let waited = now.saturating_sub(request.arrived_at);
            let unservable = waited > NO_WORKER_GRACE_MS && !has_eligible_worker(cluster, request);
            unservable.then_some(ErrorCode::NoWorker)
        };
        let rejected: Vec<(RequestId, ErrorCode)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.stage == Stage::Waiting)
            .filter_map(|(request_id, request)| Some((*request_id, reason(request)?)))
            .collect();
        for (request_id, error_code) in rejected {
            self.remove(request_id);
            self.reject(request_id, error_code, now);
        }
    }

    /// Rejects all waiting requests, since none may be sent without a lease.
    pub fn reject_without_lease(&mut self, now: Millis) {
        for request_id in self.waiting_ids() {
            self.remove(request_id);
            self.reject(request_id, ErrorCode::NoLease, now);
        }
    }
}
