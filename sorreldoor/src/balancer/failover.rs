//! Failover: whether a request in flight may be moved to another endpoint.

use super::decide::MIN_TIME_LEFT;
use super::endpoint::Endpoint;
use super::request_table::Request;
use super::state::Balancer;
use super::RequestId;
use crate::configuration::hosted::Hosted;
use crate::types::Millis;

impl Balancer {
    /// Whether a request in flight may be moved to another endpoint: its route and
    /// progress, its number of attempts, the time left, a shutdown and the retry budget
    /// allow it, another endpoint has capacity, and the current endpoint has sent nothing
    /// for `silence` milliseconds, for this or any other request. With `silence` 0
    /// the activity of the endpoint is not considered.
    pub fn may_fail_over(&mut self, request_id: RequestId, silence: Millis, now: Millis) -> bool {
        let Some(request) = self.requests.check_out(request_id) else {
            return false;
        };
        let allowed = match self.hosted.clone() {
            Some(hosted) => self.can_fail_over(&request, &hosted, silence, now),
            None => false,
        };
        self.requests.check_in(request_id, request);
        allowed
    }

    fn can_fail_over(
        &mut self,
        request: &Request,
        hosted: &Hosted,
        silence: Millis,
        now: Millis,
    ) -> bool {
        let current = request.configuration_generation == self.configuration_generation;
        let route = request.route.filter(|_| current);
        let Some(route) = route.and_then(|index| hosted.routes.get(index as usize)) else {
            return false;
        };
        let exhausted = request.attempts >= route.attempts.max(1);
        let too_late = request.deadline < now + MIN_TIME_LEFT;
        if exhausted || too_late || !request.progress.may_run_twice() {
            return false;
        }
        // an endpoint that responds to other requests is slow, not dead
        let silent = |e: &&Endpoint| silence == 0 || e.last_activity + silence <= now;
        let endpoint = request
            .attempt
            .and_then(|attempt| self.endpoints.get(attempt.endpoint));
        let Some(endpoint) = endpoint.filter(silent) else {
            return false;
        };
        let service = endpoint.service;
        self.completes_before_exit(request, route, service, now)
            && self.allows_retry(service, now)
            && self.find_candidates(request, route, now).1.best().is_some()
    }
}
