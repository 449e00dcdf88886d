//! Sending: handles the events of attempts, and authorizes each send to a
//! worker in one place, `RequestTable::authorize_send`.

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
    /// Handles an event of an attempt. `lease_valid` is true while the edge's
    /// lease proves its configuration current.
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

    /// Sends the request on its open connection if that is allowed. If not, it
    /// aborts the attempt before any byte is sent, then requeues or rejects the
    /// request. A rejected request is therefore never run.
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
        // another edge may send a request whose id is not claimed yet
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
        // the configuration in force at the time of sending decides whether
        // the request may be retried
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
