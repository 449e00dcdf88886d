//! Reconfiguration: checks the requests in the table against a new
//! configuration.

use super::eligibility::is_home_bound;
use super::{
    ClaimRequest, ClaimState, ClusterView, RequestEffect, RequestId, RequestProfile, RequestTable,
    Stage,
};
use crate::error::ErrorCode;
use crate::types::Millis;

/// Stands for the index of a route that the configuration no longer has.
const REMOVED_ROUTE: u16 = u16::MAX;

impl RequestTable {
    /// Looks up each request's route again, and rejects requests not sent yet
    /// that the new configuration does not allow.
    pub fn apply_configuration(&mut self, cluster: &mut ClusterView, now: Millis) {
        let request_ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for request_id in request_ids {
            self.reconfigure(cluster, request_id, now);
        }
    }

    fn reconfigure(&mut self, cluster: &mut ClusterView, request_id: RequestId, now: Millis) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let configuration = cluster.configuration.clone();
        let index = configuration
            .as_ref()
            .and_then(|configuration| configuration.route(&request.spec.route));
        request.route = index.unwrap_or(REMOVED_ROUTE);
        if matches!(request.stage, Stage::Sent(_) | Stage::Streaming(_)) {
            return;
        }
        let route = configuration
            .as_ref()
            .zip(index)
            .map(|(configuration, index)| &configuration.routes[index as usize]);
        let Some(route) = route else {
            return self.reject_unsent(cluster, request_id, ErrorCode::UnknownRoute, now);
        };
        let compatible = RequestProfile::of(route).is_compatible(&request.spec.profile);
        let elsewhere = is_home_bound(route) && request.spec.home != Some(cluster.region);
        if !compatible || elsewhere {
            return self.reject_unsent(cluster, request_id, ErrorCode::NotSent, now);
        }
        // the route was idempotent when the request arrived, and is not now
        let needs_claim = !route.repeatable && request.spec.client_supplied_id;
        if needs_claim && request.claim == ClaimState::NotRequired {
            request.claim = ClaimState::Pending(now);
            let claim = ClaimRequest::new(&request.spec, request.timeout_ms());
            let effect = RequestEffect::Claim { request_id, claim };
            self.effects.push(effect);
        }
    }

    fn reject_unsent(
        &mut self,
        cluster: &mut ClusterView,
        request_id: RequestId,
        error_code: ErrorCode,
        now: Millis,
    ) {
        self.abort_connecting(cluster, request_id);
        self.remove(request_id);
        self.reject(request_id, error_code, now);
    }
}
