//! Queries and proposals of callers and operators.

use super::controller::EdgeController;
use super::event::EdgeEffect;
use crate::error::ErrorCode;
use crate::gateway::request_table::{RequestId, RequestSpec};
use crate::json::Value;
use crate::wire::{Payload, ProposalOutcome};
use simd_json::prelude::*;

impl EdgeController {
    /// Looks up the edges that a caller should send such a request to.
    pub(super) fn locate_edges(&mut self, request_id: RequestId, spec: &RequestSpec) {
        let edges = self.check_accepting().and_then(|()| self.edges_for(spec));
        self.effects
            .push(EdgeEffect::EdgesLocated(request_id, edges));
    }

    fn edges_for(&self, spec: &RequestSpec) -> Result<Vec<String>, ErrorCode> {
        let (configuration, index) = self.cluster.route(&spec.route)?;
        let home_bound = configuration.routes[index as usize].home;
        if home_bound && spec.home.is_none() {
            return Err(ErrorCode::InvalidRequestField);
        }
        let region = spec.home.or(Some(self.cluster.region));
        let edges = self.cluster.edges_for(region, home_bound, &spec.key);
        if edges.is_empty() {
            return Err(ErrorCode::NoWorker);
        }
        Ok(edges)
    }

    /// Explains where a request would go now.
    pub(super) fn explain(&mut self, request_id: RequestId, spec: RequestSpec) {
        let explanation = self.check_accepting().and_then(|()| self.explanation(spec));
        self.effects.push(match explanation {
            Ok(v) => EdgeEffect::Status(request_id, v.encode()),
            Err(error_code) => EdgeEffect::EdgesLocated(request_id, Err(error_code)),
        });
    }

    fn explanation(&self, spec: RequestSpec) -> Result<Value, ErrorCode> {
        let region = spec.home.unwrap_or(self.cluster.region);
        if region == self.cluster.region {
            return self.table.explain(&self.cluster, spec);
        }
        // the answer depends on the state of an edge of that region
        let edges = self.cluster.edges_for(Some(region), true, &spec.key);
        let edge = edges.first().cloned().ok_or(ErrorCode::NoWorker)?;
        let mut v = Value::object();
        let _ = v.insert("ask", edge);
        Ok(v)
    }

    /// Sends a proposal, or a query for one, to the control plane.
    pub(super) fn forward_proposal(&mut self, request_id: RequestId, payload: Payload) {
        let Some(conn) = self.pull.conn else {
            // nothing was sent, so the change is certainly not made
            let outcome = ProposalOutcome::Rejected;
            self.effects
                .push(EdgeEffect::ProposalResult(request_id, outcome));
            return;
        };
        self.pending_proposals.insert(request_id, conn);
        self.effects.push(EdgeEffect::Send(conn, payload));
    }

    /// Reads the configuration once the grant of a lease renewal sent now proves
    /// it current.
    pub(super) fn read_configuration(&mut self, request_id: RequestId) {
        let Some(conn) = self.pull.conn else {
            self.effects
                .push(EdgeEffect::ConfigurationRead(request_id, false));
            return;
        };
        let renewal = self.pull.renew(conn, self.now);
        self.pending_reads
            .push((request_id, self.pull.last_renewal()));
        self.on_subscription_effect(renewal);
    }

    /// Answers the reads that wait for the renewal `no` or an earlier one.
    pub(super) fn complete_reads(&mut self, no: u64) {
        let (proved, pending): (Vec<_>, Vec<_>) = self
            .pending_reads
            .drain(..)
            .partition(|(_, renewal)| *renewal <= no);
        self.pending_reads = pending;
        for (request_id, _) in proved {
            self.effects
                .push(EdgeEffect::ConfigurationRead(request_id, true));
        }
    }
}
