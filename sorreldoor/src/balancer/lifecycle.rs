//! The lifecycle of a request: admission, its route and deadline under the current
//! configuration, and removal.

use super::authentication::Caller;
use super::request_table::Request;
use super::state::Balancer;
use super::RequestId;
use crate::configuration::hosted::{Hosted, Route};
use crate::error::ErrorCode;
use crate::invariants::{is_disabled, Invariant};
use crate::proxy::request_state::{Repeatability, RequestEvent, RequestProgress};
use crate::proxy::RequestMetadata;
use crate::types::Millis;

impl Balancer {
    /// Adds a request after its head was received, and counts it for the retry
    /// budget. `host` and `path` are as sent by the client.
    ///
    /// # Errors
    /// `NoConfiguration` before the first configuration, `UnknownRoute` if no
    /// route matches, `UnknownKey` if the route requires a key and no tenant has
    /// the one sent, `QuotaExceeded` if the tenant's quota is used up.
    pub fn begin(
        &mut self,
        host: &str,
        path: &str,
        metadata: RequestMetadata,
        arrived_at: Millis,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        self.advance_clock(now);
        let hosted = self.hosted.clone().ok_or(ErrorCode::NoConfiguration)?;
        let route_index = hosted.find(host, path).ok_or(ErrorCode::UnknownRoute)?;
        let route = &hosted.routes[route_index as usize];
        let caller = Caller::authenticate(&hosted, route, metadata.api_key.as_ref());
        if caller == Caller::Unauthenticated {
            self.counts.unauthenticated += 1;
            return Err(ErrorCode::UnknownKey);
        }
        if !self.within_quota(&caller, now) {
            self.counts.over_quota += 1;
            return Err(ErrorCode::QuotaExceeded);
        }
        let request = Request {
            host: host.into(),
            path: path.into(),
            arrived_at,
            client_timeout_ms: metadata.deadline_ms,
            deadline: deadline(route, metadata.deadline_ms, arrived_at),
            prompt_tokens: metadata.prompt_tokens,
            segments: metadata.prompt_segments.into(),
            api_key: metadata.api_key,
            route: Some(route_index),
            caller,
            configuration_generation: self.configuration_generation,
            split_key: self.rng.next(),
            attempt: None,
            tried: Vec::new(),
            attempts: 0,
            reached_endpoint: false,
            progress: RequestProgress::new(Repeatability::from(&**route)),
            last_error: None,
            queued: None,
            has_waited: false,
        };
        self.count_request(&request, route, now);
        Ok(self.requests.insert(request))
    }

    /// Counts a request against the quota of its tenant; returns whether it is
    /// admitted.
    fn within_quota(&mut self, caller: &Caller, now: Millis) -> bool {
        let limited = caller
            .tenant()
            .and_then(|tenant| Some((tenant.id(), tenant.quota()?)));
        let Some((id, quota)) = limited else {
            return true;
        };
        let nodes = self.nodes.count();
        self.admission.admit(id, quota, nodes, now) || is_disabled(Invariant::Quota)
    }

    fn count_request(&mut self, request: &Request, route: &Route, now: Millis) {
        if let Some(first) = self.next_service(request, route, 0.0) {
            let service = &mut self.services[first.service];
            service.retry_budget.record_request(&self.site_limits, now);
            if request.has_long_prompt() {
                service.last_long_prompt = Some(now);
            }
        }
        self.counts.begun += 1;
    }

    /// The request's route in the current configuration.
    pub fn route(&self, request_id: RequestId) -> Option<&Route> {
        let request = self.requests.get(request_id)?;
        let hosted = self.hosted.as_ref()?;
        // indices are valid only in the configuration they were found in
        let index = match request.configuration_generation == self.configuration_generation {
            true => request.route?,
            false => hosted.find(&request.host, &request.path)?,
        };
        hosted.routes.get(index as usize).map(|route| &**route)
    }

    /// The request's deadline, on the clock of `now`; 0 for an unknown request.
    pub fn deadline(&self, request_id: RequestId) -> Millis {
        self.requests
            .get(request_id)
            .map_or(0, |request| request.deadline)
    }

    /// Updates route, deadline and caller if the configuration has changed since they
    /// were set.
    pub(super) fn refresh_route(&self, request: &mut Request, hosted: &Hosted) {
        if request.configuration_generation == self.configuration_generation {
            return;
        }
        request.route = hosted.find(&request.host, &request.path);
        request.configuration_generation = self.configuration_generation;
        if let Some(index) = request.route {
            let route = &hosted.routes[index as usize];
            request.deadline = deadline(route, request.client_timeout_ms, request.arrived_at);
            request.caller = Caller::authenticate(hosted, route, request.api_key.as_ref());
        }
    }

    /// Records an event that affects the request's progress, but no endpoint.
    pub fn record_event(&mut self, request_id: RequestId, event: RequestEvent) {
        if let Some(request) = self.requests.get_mut(request_id) {
            request.progress.apply(event);
        }
    }

    /// Removes a request in any state. An attempt in flight is ended.
    pub fn finish(&mut self, request_id: RequestId, now: Millis) {
        self.advance_clock(now);
        self.leave_queue(request_id);
        let attempt = self.requests.get(request_id).and_then(|r| r.attempt);
        self.release_attempt(request_id, true);
        self.requests.remove(request_id);
        if let Some(attempt) = attempt {
            self.remove_if_unused(attempt.endpoint);
        }
    }

    pub(super) fn leave_queue(&mut self, request_id: RequestId) {
        let request = self.requests.get_mut(request_id);
        let queued = request.and_then(|request| request.queued.take());
        if let Some((key, position)) = queued {
            self.wait_queue.remove(key, position);
        }
    }

    /// The waiting requests that may find capacity now, in queue order. The caller
    /// decides on each of them again.
    pub fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        self.advance_clock(now);
        self.wait_queue.take_ready(now)
    }
}

/// The earlier of the client's deadline and the route's.
fn deadline(route: &Route, client_timeout_ms: Option<u64>, arrived_at: Millis) -> Millis {
    arrived_at
        + client_timeout_ms
            .unwrap_or(u64::MAX / 4)
            .min(route.timeout_ms)
}
