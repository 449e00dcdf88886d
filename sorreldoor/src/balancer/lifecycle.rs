//! The begin and the end of a request, and its route and deadline in between.

use super::authentication::Caller;
use super::request_table::Request;
use super::state::Balancer;
use super::RequestId;
use crate::configuration::hosted::{Hosted, Route};
use crate::error::ErrorCode;
use crate::invariants::{broken, Invariant};
use crate::proxy::request_state::{Repeatability, RequestEvent, RequestProgress};
use crate::proxy::RequestMetadata;
use crate::types::Millis;

impl Balancer {
    /// Adds a request whose head came; it counts for the retry budget from now
    /// on. `host` and `path` are as the client wrote them.
    ///
    /// # Errors
    /// `NoConfiguration` before the first configuration, `UnknownRoute` if no
    /// route matches, `UnknownKey` if no tenant holds the request's key and the
    /// route needs one, `QuotaExceeded` if the tenant has requested too much.
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
            generation: self.generation,
            split_draw: self.rng.next(),
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

    /// Counts a request against the quota of its tenant.
    fn within_quota(&mut self, caller: &Caller, now: Millis) -> bool {
        let limited = caller
            .tenant()
            .and_then(|tenant| Some((tenant.id(), tenant.quota()?)));
        let Some((id, quota)) = limited else {
            return true;
        };
        let nodes = self.nodes.count();
        self.admission.admit(id, quota, nodes, now) || broken(Invariant::Quota)
    }

    fn count_request(&mut self, request: &Request, route: &Route, now: Millis) {
        if let Some(first) = self.next_service(request, route, 0.0) {
            let service = &mut self.services[first.service];
            service.retry_budget.record_request(&self.bounds, now);
            if request.has_long_prompt() {
                service.last_long_prompt = Some(now);
            }
        }
        self.counts.begun += 1;
    }

    /// The request's route in the configuration in force.
    pub fn route(&self, request_id: RequestId) -> Option<&Route> {
        let request = self.requests.get(request_id)?;
        let hosted = self.hosted.as_ref()?;
        // an index means nothing in another configuration
        let index = match request.generation == self.generation {
            true => request.route?,
            false => hosted.find(&request.host, &request.path)?,
        };
        hosted.routes.get(index as usize).map(|route| &**route)
    }

    /// The request's deadline, on the clock of `now`; 0 if it is unknown.
    pub fn deadline(&self, request_id: RequestId) -> Millis {
        self.requests
            .get(request_id)
            .map_or(0, |request| request.deadline)
    }

    /// Looks route and tenant up again if the configuration has changed.
    pub(super) fn refresh_route(&self, request: &mut Request, hosted: &Hosted) {
        if request.generation == self.generation {
            return;
        }
        request.route = hosted.find(&request.host, &request.path);
        request.generation = self.generation;
        if let Some(index) = request.route {
            let route = &hosted.routes[index as usize];
            request.deadline = deadline(route, request.client_timeout_ms, request.arrived_at);
            request.caller = Caller::authenticate(hosted, route, request.api_key.as_ref());
        }
    }

    /// Records an event that only the request's own progress depends on.
    pub fn record_event(&mut self, request_id: RequestId, event: RequestEvent) {
        if let Some(request) = self.requests.get_mut(request_id) {
            request.progress.apply(event);
        }
    }

    /// Removes a request, whatever its state.
    pub fn finish(&mut self, request_id: RequestId, now: Millis) {
        self.advance_clock(now);
        self.leave_queue(request_id);
        let attempt = self.requests.get(request_id).and_then(|r| r.attempt);
        self.close_attempt(request_id, true);
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

    /// The waiting requests that may find capacity now, the first in order first.
    pub fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        self.advance_clock(now);
        self.wait_queue.take_ready(now)
    }
}

/// The client's deadline or the route's, whichever ends first.
fn deadline(route: &Route, client_timeout_ms: Option<u64>, arrived_at: Millis) -> Millis {
    arrived_at
        + client_timeout_ms
            .unwrap_or(u64::MAX / 4)
            .min(route.timeout_ms)
}
