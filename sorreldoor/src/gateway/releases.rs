//! Sends claims and releases of request ids to the control plane, and retries
//! releases.

use super::controller::EdgeController;
use super::event::EdgeEffect;
use crate::consensus::ClaimRecord;
use crate::control_plane::RETENTION_MS;
use crate::gateway::request_table::{ClaimRequest, RequestId};
use crate::net::Conn;
use crate::types::Millis;
use crate::wire::{Payload, SentRequest};
use std::collections::BTreeMap;

/// Most releases that are retried until they are confirmed.
const MAX_PENDING: usize = 65_536;
/// Most releases in one retry.
const MAX_BATCH: usize = 256;
/// Interval between retries of releases.
const RETRY_MS: Millis = 500;

/// Releases that a majority of the control plane has not confirmed yet.
#[derive(Debug, Default)]
pub(super) struct PendingReleases {
    /// The id to release, and when it was released.
    releases: BTreeMap<RequestId, (String, Millis)>,
    retry_at: Millis,
}

impl PendingReleases {
    fn add(&mut self, request_id: RequestId, id: String, now: Millis) {
        if self.releases.len() < MAX_PENDING {
            self.releases.insert(request_id, (id, now));
        }
    }

    pub fn confirm(&mut self, request_id: RequestId) {
        self.releases.remove(&request_id);
    }

    /// Releases to send again now. Those whose claims have expired are
    /// dropped.
    fn take_due(&mut self, now: Millis) -> Vec<(RequestId, String)> {
        if now < self.retry_at {
            return Vec::new();
        }
        self.retry_at = now + RETRY_MS;
        let expired = now.saturating_sub(RETENTION_MS);
        self.releases.retain(|_, (_, since)| *since > expired);
        let recent = now.saturating_sub(RETRY_MS / 2);
        self.releases
            .iter()
            .filter(|(_, (_, since))| *since <= recent)
            .map(|(request_id, (id, _))| (*request_id, id.clone()))
            .take(MAX_BATCH)
            .collect()
    }
}

impl EdgeController {
    /// Identifies a request of one incarnation of this edge.
    fn claimant(&self, request_id: RequestId) -> u128 {
        (u128::from(self.hello.incarnation) << 64) | u128::from(request_id)
    }

    /// Sends a claim. Without a session nothing is sent, and the table retries.
    pub(super) fn send_claim(&mut self, request_id: RequestId, request: ClaimRequest) {
        let claim = ClaimRecord {
            id: request.id,
            claimant: self.claimant(request_id),
            retention_ms: request.retention_ms,
        };
        self.send_to_control_plane(Payload::Claim { request_id, claim });
    }

    /// Releases a claim. The release is retried until a majority of the control
    /// plane has confirmed it, since a lost one would leave the id claimed by a
    /// request that never ran.
    pub(super) fn release(&mut self, request_id: RequestId, id: String) {
        self.pending_releases.add(request_id, id.clone(), self.now);
        self.send_release(request_id, id);
    }

    fn send_release(&mut self, request_id: RequestId, id: String) {
        let claimant = self.claimant(request_id);
        self.send_to_control_plane(Payload::Release {
            request_id,
            id,
            claimant,
        });
    }

    fn send_to_control_plane(&mut self, payload: Payload) {
        if let Some(conn) = self.pull.conn {
            self.effects.push(EdgeEffect::Send(conn, payload));
        }
    }

    /// Sends releases again that are not confirmed yet.
    pub(super) fn resend_releases(&mut self) {
        for (request_id, id) in self.pending_releases.take_due(self.now) {
            self.send_release(request_id, id);
        }
    }

    /// Reports recently sent ids on a new session, since the core may have lost
    /// its record of them.
    pub(super) fn report_sent_ids(&mut self, conn: Conn) {
        let sent_ids = self.table.recently_sent_ids();
        let requests: Vec<SentRequest> = sent_ids
            .into_iter()
            .map(|(id, request_id)| SentRequest {
                id,
                claimant: self.claimant(request_id),
            })
            .collect();
        if !requests.is_empty() {
            self.effects
                .push(EdgeEffect::Send(conn, Payload::SentRequests { requests }));
        }
    }
}
