//! The edge's session with the control plane: handles received frames and
//! applies the state updates in them.

use super::controller::EdgeController;
use super::event::EdgeEffect;
use crate::discovery::WorkerRegistry;
use crate::gateway::request_table::{ClaimResult, RequestId};
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::subscription::GrantOutcome;
use crate::wire::{EncodedUpdate, Payload, ProposalOutcome, StateDelta, LARGE_UPDATE_BYTES};
use std::net::SocketAddr;
use std::sync::Arc;

impl EdgeController {
    pub(super) fn on_net_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Up { conn, dialled } => self.on_connected(conn, dialled),
            NetEvent::Down { conn } => self.on_disconnected(conn),
            NetEvent::Frame { conn, payload } => self.on_payload(conn, *payload),
        }
    }

    fn on_connected(&mut self, conn: Conn, dialled: Option<SocketAddr>) {
        // a node that connects to an edge only asks for the cores
        let Some(addr) = dialled else { return };
        let is_core = !self.pull.is_asked_peer(addr);
        if is_core {
            let hello = Payload::Hello(self.hello.clone());
            self.effects.push(EdgeEffect::Send(conn, hello));
        }
        for effect in self.pull.on_connected(conn, addr, self.now) {
            self.on_subscription_effect(effect);
        }
        if is_core {
            self.log_event(LogEvent::SessionEstablished, addr.to_string());
            self.report_sent_ids(conn);
        }
    }

    fn on_disconnected(&mut self, conn: Conn) {
        self.pull.on_disconnected(conn);
        let lost: Vec<RequestId> = self
            .pending_proposals
            .iter()
            .filter(|(_, sent_on)| **sent_on == conn)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in lost {
            // it was sent on that connection, so it may have been accepted
            self.on_proposal_result(request_id, ProposalOutcome::Unknown);
        }
    }

    fn on_payload(&mut self, conn: Conn, payload: Payload) {
        match payload {
            Payload::Grant { no, ok, delta } => self.on_grant(no, ok, delta),
            Payload::ClaimResult {
                request_id,
                id,
                result,
            } => {
                let result = ClaimResult {
                    request_id,
                    id: &id,
                    vote: result,
                };
                let lease_valid = self.pull.has_lease(self.now);
                self.table
                    .on_claim_result(&mut self.cluster, result, lease_valid, self.now);
            }
            Payload::Released { request_id } => self.pending_releases.confirm(request_id),
            Payload::ProposalResult {
                request_id,
                outcome,
            } => self.on_proposal_result(request_id, outcome),
            // on the session's own connection renewals serve as heartbeats
            Payload::Ping { .. } if self.pull.conn == Some(conn) => {}
            Payload::Ping { .. } => {
                let pong = Payload::Ping { no: 0 };
                self.effects.push(EdgeEffect::Send(conn, pong));
            }
            Payload::WorkerRegistry(registry) => self.apply_registry(registry),
            Payload::CoreAddressesRequest => {
                let answer = Payload::CoreAddresses(self.pull.core_addresses(self.now));
                self.effects.push(EdgeEffect::Send(conn, answer));
            }
            Payload::CoreAddresses(answer) => {
                for effect in self.pull.on_core_addresses(conn, &answer, self.now) {
                    self.on_subscription_effect(effect);
                }
            }
            _ => {}
        }
    }

    fn on_grant(&mut self, no: u64, ok: bool, delta: StateDelta) {
        // a core that has not proved itself current may send stale state, which
        // only an edge without a configuration applies
        let has_document = delta.record.as_ref().is_some_and(|r| r.has_document);
        if delta.record_withheld {
            self.pull.on_withheld_grant(no, self.now);
            return;
        }
        match self.pull.on_grant(no, ok, has_document, self.now) {
            GrantOutcome::Confirmed => {
                self.apply_delta(delta);
                self.complete_reads(no);
            }
            GrantOutcome::Unverified => self.apply_delta(delta),
            GrantOutcome::Rejected => {}
        }
    }

    fn on_proposal_result(&mut self, request_id: RequestId, outcome: ProposalOutcome) {
        if self.pending_proposals.remove(&request_id).is_some() {
            self.effects
                .push(EdgeEffect::ProposalResult(request_id, outcome));
        }
    }

    fn apply_delta(&mut self, delta: StateDelta) {
        if let Some(update) = delta.record {
            self.apply_record(&update);
        }
        if let Some(registry) = delta.registry {
            self.apply_registry(registry);
        }
        if let Some(loads) = delta.loads {
            self.pull.known_versions.loads = loads.epoch_and_version();
            self.cluster.apply_loads(loads);
        }
        if let Some(edge_sessions) = delta.edge_sessions {
            self.pull.known_versions.edge_sessions = edge_sessions.0;
            self.pull.update_peers(&edge_sessions.1);
            self.cluster.apply_edge_sessions(edge_sessions);
        }
        if let Some((version, cores)) = delta.cores {
            self.pull.update_cores(version, &cores, self.hello.region);
        }
    }

    fn apply_record(&mut self, update: &EncodedUpdate) {
        // a delayed response must not undo a newer one
        if update.revision <= self.pull.known_versions.record {
            return;
        }
        let old_version = self.cluster.snapshot.view.version;
        self.apply_update(update);
        self.table.apply_configuration(&mut self.cluster, self.now);
        let version = self.cluster.snapshot.view.version;
        if version != old_version {
            self.log_event(LogEvent::ConfigurationApplied, format!("serial {version}"));
        }
    }

    fn apply_update(&mut self, encoded: &EncodedUpdate) {
        let update = encoded.update();
        if !update.as_ref().is_some_and(|u| self.replica.apply(u)) {
            // it does not apply to the replica's revision: request full state
            self.pull.known_versions.record = 0;
            return self.log_event(LogEvent::ConfigurationUnreadable, "");
        }
        self.pull.known_versions.record = encoded.revision;
        if !self.cluster.apply_view(self.replica.view()) {
            self.log_event(LogEvent::ConfigurationUnreadable, "");
        }
        if encoded.bytes.len() > LARGE_UPDATE_BYTES {
            // the core sends nothing more before this is acknowledged
            if let Some(conn) = self.pull.conn {
                let renewal = self.pull.renew(conn, self.now);
                self.on_subscription_effect(renewal);
            }
        }
    }

    fn apply_registry(&mut self, registry: Arc<WorkerRegistry>) {
        if registry.version > self.pull.known_versions.registry {
            self.pull.known_versions.registry = registry.version;
            self.cluster.apply_registry(registry);
        }
    }
}
