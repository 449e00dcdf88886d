//! Sending: reactions to the events of attempts, and the one place where a
//! request is authorized to leave for a worker.

use super::eligibility::may_send_to;
use super::{
    AttemptEvent, AttemptReport, ClaimState, ClusterView, RequestEffect, RequestId, RequestTable,
    Stage,
};
use crate::control_plane::RETENTION_MS;
use crate::error::ErrorCode;
use crate::invariants::{is_disabled, Invariant};
use crate::types::Millis;

impl RequestTable {
    /// Handles an event of an attempt. `lease_valid` tells whether the edge
    /// holds its freshness lease.
    pub fn on_attempt_event(
        &mut self,
        cluster: &mut ClusterView,
        report: AttemptReport,
        lease_valid: bool,
        now: Millis,
    ) {
        let AttemptReport {
            request_id,
            token,
            event,
        } = report;
        let current = self.requests.get(&request_id);
        let Some(request) = current.filter(|request| request.token == token) else {
            self.effects
                .push(RequestEffect::Abort { request_id, token });
            return;
        };
        match request.stage {
            Stage::Waiting => {}
            Stage::Connecting(worker) => {
                self.on_connect_event(cluster, request_id, worker, event, lease_valid, now)
            }
            Stage::Sent(worker) => self.on_response_event(cluster, request_id, worker, event, now),
            Stage::Streaming(worker) => {
                self.on_stream_event(cluster, request_id, worker, event, now)
            }
        }
    }

    fn on_connect_event(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        event: AttemptEvent,
        lease_valid: bool,
        now: Millis,
    ) {
        match event {
            AttemptEvent::Connected => {
                self.authorize_send(cluster, request_id, worker, lease_valid, now)
            }
            AttemptEvent::ConnectFailed => {
                self.skip_for_a_while(worker, now);
                self.requeue_charged(cluster, request_id, worker, now);
            }
            _ => self.fail_attempt(
                cluster,
                request_id,
                worker,
                ErrorCode::InvalidWorkerResponse,
                now,
            ),
        }
    }

    fn on_response_event(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        event: AttemptEvent,
        now: Millis,
    ) {
        match event {
            AttemptEvent::NotExecuted => self.requeue_charged(cluster, request_id, worker, now),
            AttemptEvent::Complete => self.complete(cluster, request_id, worker, now),
            AttemptEvent::StreamStarted => self.start_stream(request_id, worker),
            AttemptEvent::Failed(error_code) => {
                self.fail_attempt(cluster, request_id, worker, error_code, now)
            }
            _ => self.fail_attempt(
                cluster,
                request_id,
                worker,
                ErrorCode::InvalidWorkerResponse,
                now,
            ),
        }
    }

    fn on_stream_event(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        event: AttemptEvent,
        now: Millis,
    ) {
        match event {
            AttemptEvent::StreamEnded => self.end_stream(cluster, request_id, worker, now),
            AttemptEvent::Failed(_) => self.break_stream(cluster, request_id, worker),
            _ => self.fail_attempt(
                cluster,
                request_id,
                worker,
                ErrorCode::InvalidWorkerResponse,
                now,
            ),
        }
    }

    /// Sends the request on its open connection, or takes it back. After this
    /// either the worker may run it or its caller may be rejected, never both.
    pub(super) fn authorize_send(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        worker: usize,
        lease_valid: bool,
        now: Millis,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        // until the id is claimed for this edge, another may be sending it
        let claim_pending = matches!(request.claim, ClaimState::Pending(_));
        if claim_pending && !is_disabled(Invariant::ClaimBeforeSend) {
            request.connected = true;
            return;
        }
        let expired = now >= request.deadline;
        let may_send = lease_valid
            && cluster.is_available(worker)
            && !expired
            && may_send_to(cluster, request, worker);
        if may_send {
            return self.send(cluster, request_id, worker, now);
        }
        self.abort_unsent(request_id);
        if lease_valid && !expired {
            return self.requeue(cluster, request_id, worker, now);
        }
        self.finish(cluster, request_id, worker);
        let error_code = if expired {
            ErrorCode::NotSent
        } else {
            ErrorCode::NoLease
        };
        self.reject(request_id, error_code, now);
    }

    fn abort_unsent(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let token = request.token;
        self.effects
            .push(if is_disabled(Invariant::AbandonedNotSent) {
                let adapter = None;
                RequestEffect::Send {
                    request_id,
                    token,
                    adapter,
                }
            } else {
                RequestEffect::Abort { request_id, token }
            });
    }

    fn send(&mut self, cluster: &ClusterView, request_id: RequestId, worker: usize, now: Millis) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        request.stage = Stage::Sent(worker);
        request.sent_at = now;
        request.possibly_sent = true;
        // whether it may be retried is decided by the configuration that it
        // is sent under, not by a later one
        let configuration = cluster.configuration.as_ref();
        request.idempotent =
            configuration.is_some_and(|c| c.routes[request.route as usize].repeatable);
        let service =
            configuration.and_then(|c| c.services.iter().find(|s| s.name == request.service));
        let requested = request.spec.adapter.clone();
        let adapter = requested.or_else(|| service.and_then(|service| service.adapter.clone()));
        let token = request.token;
        if !request.idempotent && request.spec.client_supplied_id {
            let id = request.spec.id.clone();
            let until = now + request.timeout_ms() + RETENTION_MS;
            self.record_sent_id(id, request_id, until, now);
        }
        self.effects.push(RequestEffect::Send {
            request_id,
            token,
            adapter,
        });
    }
}
