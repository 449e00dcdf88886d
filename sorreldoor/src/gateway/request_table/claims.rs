//! Claims of request ids with the control plane, an idempotency-key check over
//! all edges.
//!
//! A request that is not idempotent and carries an id chosen by its caller is
//! sent only after the control plane has recorded the id for this edge, so
//! that no other edge sends the same request.

use super::{ClusterView, RequestEffect, RequestId, RequestSpec, RequestTable, Stage};
use crate::control_plane::RETENTION_MS;
use crate::error::ErrorCode;
use crate::types::Millis;
use crate::wire::ClaimVote;

/// State of a request's claim on its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The id was generated here, or the request is idempotent.
    NotRequired,
    /// Last sent to the control plane at this time, and not answered yet.
    Pending(Millis),
    /// Recorded for this edge.
    Granted,
}

/// Time after which an unanswered claim is sent again.
const CLAIM_RETRY_MS: Millis = 400;
/// Most sent ids that are reported to a new control-plane session.
const MAX_REPORTED_IDS: usize = 4096;
/// Most sent ids that an edge records.
const MAX_SENT_IDS: usize = 65_536;

/// An id to claim, and how long the control plane is to remember it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The id to claim, as the client chose it.
    pub id: String,
    /// How long the claim is remembered at least, in milliseconds.
    pub retention_ms: Millis,
}

impl ClaimRequest {
    /// The claim for a request that runs for at most `timeout_ms`.
    pub fn new(spec: &RequestSpec, timeout_ms: Millis) -> ClaimRequest {
        ClaimRequest {
            id: spec.id.clone(),
            retention_ms: timeout_ms + RETENTION_MS,
        }
    }
}

/// The control plane's answer to a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimResult<'a> {
    /// The request that the claim was made for.
    pub request_id: RequestId,
    /// The id that was claimed.
    pub id: &'a str,
    /// Whether this edge has the claim, or why not.
    pub vote: ClaimVote,
}

impl RequestTable {
    /// Handles the control plane's answer to a claim.
    pub fn on_claim_result(
        &mut self,
        cluster: &mut ClusterView,
        result: ClaimResult,
        lease_valid: bool,
        now: Millis,
    ) {
        let request_id = result.request_id;
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let pending = matches!(request.claim, ClaimState::Pending(_));
        if request.spec.id != result.id || !pending {
            return;
        }
        if result.vote != ClaimVote::Granted {
            return self.reject_unclaimed(cluster, request_id, result.vote, now);
        }
        request.claim = ClaimState::Granted;
        if let (Stage::Connecting(worker), true) = (request.stage, request.connected) {
            self.authorize_send(cluster, request_id, worker, lease_valid, now);
        }
    }

    fn reject_unclaimed(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        vote: ClaimVote,
        now: Millis,
    ) {
        self.abort_connecting(cluster, request_id);
        // some replicas may have recorded the claim, so it is released
        self.remove(request_id);
        let error_code = match vote {
            ClaimVote::Full => ErrorCode::ClaimTableFull,
            _ => ErrorCode::DuplicateRequestId,
        };
        self.reject(request_id, error_code, now);
    }

    /// Sends claims again that have not been answered in time.
    pub fn retry_pending_claims(&mut self, now: Millis) {
        for (request_id, request) in &mut self.requests {
            let ClaimState::Pending(sent_at) = request.claim else {
                continue;
            };
            if now.saturating_sub(sent_at) < CLAIM_RETRY_MS {
                continue;
            }
            request.claim = ClaimState::Pending(now);
            let claim = ClaimRequest::new(&request.spec, request.timeout_ms());
            let request_id = *request_id;
            self.effects
                .push(RequestEffect::Claim { request_id, claim });
        }
    }

    /// Removes a request; the claim of one that was never sent is released.
    pub(super) fn remove(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.remove(&request_id) else {
            return;
        };
        if request.claim != ClaimState::NotRequired && !request.possibly_sent {
            let id = request.spec.id;
            self.effects.push(RequestEffect::Release { request_id, id });
        }
    }

    /// Records an id as sent from this edge until the time `until`, and removes
    /// expired records.
    ///
    /// The control plane holds the authoritative record; this one saves a round
    /// trip.
    pub(super) fn record_sent_id(
        &mut self,
        id: String,
        request_id: RequestId,
        until: Millis,
        now: Millis,
    ) {
        self.sent_ids.insert(id.clone(), request_id);
        self.sent_order.push_back((until, id, request_id));
        while let Some((until, id, owner)) = self.sent_order.front().cloned() {
            if until > now && self.sent_order.len() <= MAX_SENT_IDS {
                break;
            }
            self.sent_order.pop_front();
            if self.sent_ids.get(&id) == Some(&owner) {
                self.sent_ids.remove(&id);
            }
        }
    }

    /// Ids sent from here, newest first, for replicas that may have lost them.
    pub fn recently_sent_ids(&self) -> Vec<(String, RequestId)> {
        self.sent_order
            .iter()
            .rev()
            .filter(|(_, id, request_id)| self.sent_ids.get(id) == Some(request_id))
            .map(|(_, id, request_id)| (id.clone(), *request_id))
            .take(MAX_REPORTED_IDS)
            .collect()
    }
}
