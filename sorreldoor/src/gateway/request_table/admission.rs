//! Admission: which requests are accepted into the queue.

use super::eligibility::is_home_bound;
use super::{
    ClaimRequest, ClaimState, ClusterView, Request, RequestEffect, RequestId, RequestProfile,
    RequestSpec, RequestTable, Stage,
};
use crate::configuration::{Configuration, Kind, Route};
use crate::error::ErrorCode;
use crate::replicated_state::Recovery;
use crate::types::Millis;

/// Outcome of the admission check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// The checks that need no body have passed; the body may be read.
    Accepted,
    /// The request is redirected to its home region; the effect has been pushed.
    Redirected,
}

impl RequestTable {
    /// Accepts a request into the queue, or rejects or redirects it.
    pub fn submit(
        &mut self,
        cluster: &ClusterView,
        request_id: RequestId,
        spec: RequestSpec,
        now: Millis,
    ) {
        if let Err(error_code) = self.admit(cluster, request_id, spec, now) {
            self.reject(request_id, error_code, now);
        }
    }

    /// Counts an arriving request, whether it is accepted or not, and credits
    /// the spill budget for it.
    pub fn record_arrival(&mut self, cluster: &ClusterView, now: Millis) {
        self.retry_after.record_arrival(now);
        if let Some(configuration) = &cluster.configuration {
            let limits = cluster.spill_limits(configuration);
            self.spill_budget.deposit(limits);
        }
    }

    /// Checks what is known before the body of a request is read.
    ///
    /// # Errors
    /// The reason to reject the request with.
    pub fn check_admission(
        &mut self,
        cluster: &ClusterView,
        request_id: RequestId,
        spec: &RequestSpec,
    ) -> Result<Admission, ErrorCode> {
        let (configuration, index) = cluster.route(&spec.route)?;
        let route = &configuration.routes[index as usize];
        if is_home_bound(route)
            && spec.home.ok_or(ErrorCode::InvalidRequestField)? != cluster.region
        {
            // the body must not pass through another region
            let edges = cluster.edges_for(spec.home, true, &spec.key);
            let addr = edges.first().cloned().ok_or(ErrorCode::NoWorker)?;
            let redirect = RequestEffect::Redirect { request_id, addr };
            self.effects.push(redirect);
            return Ok(Admission::Redirected);
        }
        if cluster.is_evacuated(cluster.zone) {
            return Err(ErrorCode::ShuttingDown);
        }
        if self.is_unservable(cluster, configuration, route) {
            return Err(ErrorCode::NoWorker);
        }
        Ok(Admission::Accepted)
    }

    /// Whether the request could only time out in the queue: the region has
    /// lost its workers, and the request cannot spill to another one.
    fn is_unservable(
        &self,
        cluster: &ClusterView,
        configuration: &Configuration,
        route: &Route,
    ) -> bool {
        let region_lost = cluster.recovery(cluster.region) == Recovery::Lost;
        if route.kind == Kind::Fetch || !region_lost {
            return false;
        }
        let can_spill = cluster
            .spill_limits(configuration)
            .any(|(region, percent)| self.spill_budget.allows(region, percent));
        route.home || !can_spill
    }

    fn admit(
        &mut self,
        cluster: &ClusterView,
        request_id: RequestId,
        spec: RequestSpec,
        now: Millis,
    ) -> Result<(), ErrorCode> {
        let (configuration, index) = cluster.route(&spec.route)?;
        let route = &configuration.routes[index as usize];
        if self.check_admission(cluster, request_id, &spec)? == Admission::Redirected {
            return Ok(());
        }
        // the body was read under the profile of an earlier configuration
        if !RequestProfile::of(route).is_compatible(&spec.profile) {
            return Err(ErrorCode::NotSent);
        }
        if !route.repeatable && self.is_duplicate(&spec) {
            return Err(ErrorCode::DuplicateRequestId);
        }
        let queue_limit = queue_limit(configuration, route);
        if self.queue_length(index) >= queue_limit.max(1) {
            return Err(ErrorCode::QueueFull);
        }
        self.counters.accepted += 1;
        self.retry_budget.deposit(configuration.retry_percent);
        let needs_claim = !route.repeatable && spec.client_supplied_id;
        let mut request = Request::new(spec, index, now, now + route.timeout_ms);
        if needs_claim {
            request.claim = ClaimState::Pending(now);
            let claim = ClaimRequest::new(&request.spec, route.timeout_ms);
            let effect = RequestEffect::Claim { request_id, claim };
            self.effects.push(effect);
        }
        self.requests.insert(request_id, request);
        Ok(())
    }

    /// Whether a request with the same client-supplied id is in the table or
    /// was sent from here before.
    fn is_duplicate(&self, spec: &RequestSpec) -> bool {
        let same_id = |request: &Request| request.spec.id == spec.id;
        spec.client_supplied_id
            && (self.requests.values().any(same_id) || self.sent_ids.contains_key(&spec.id))
    }

    fn queue_length(&self, route: u16) -> usize {
        self.requests
            .values()
            .filter(|request| request.stage == Stage::Waiting && request.route == route)
            .count()
    }

    /// Rejects a request that is not in the table, or has been removed from it.
    pub fn reject(&mut self, request_id: RequestId, error_code: ErrorCode, now: Millis) {
        self.counters.rejected += 1;
        let retry_after_s = if error_code.is_retryable() {
            let queued = self.waiting_ids().len();
            self.retry_after.schedule(error_code, queued, now)
        } else {
            0
        };
        self.effects.push(RequestEffect::Reject {
            request_id,
            error_code,
            retry_after_s,
        });
    }
}

/// The highest queue limit among the worker groups of the route's services.
fn queue_limit(configuration: &Configuration, route: &Route) -> usize {
    route
        .shares
        .iter()
        .flat_map(|share| &configuration.services[share.service as usize].groups)
        .map(|group| configuration.groups[*group as usize].queue as usize)
        .max()
        .unwrap_or(0)
}
