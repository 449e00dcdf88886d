//! Rejections that rest on the configuration: a client is told that its route or key
//! does not exist only while a core has confirmed that this node's state is current.

use super::controller::ProxyController;
use super::dialect::RequestMetadata;
use crate::balancer::{Decision, RequestId};
use crate::error::ErrorCode;
use crate::types::Millis;

impl ProxyController {
    /// Begins a request at the balancer.
    ///
    /// # Errors
    /// As [`Balancer::begin`](crate::balancer::Balancer::begin); `NoLease` in place of an
    /// error that another configuration might not give, unless the state is confirmed.
    pub fn begin_request(
        &mut self,
        host: &str,
        path: &str,
        metadata: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        let begun = self.balancer.begin(host, path, metadata, now, now);
        begun.map_err(|error| self.confirmed(error, now))
    }

    /// The balancer's decision on a request, with the same replacement of errors.
    pub fn decide(&mut self, request_id: RequestId, now: Millis) -> Decision {
        match self.balancer.decide(request_id, now) {
            Decision::Reject(error, retry_after_ms) => {
                Decision::Reject(self.confirmed(error, now), retry_after_ms)
            }
            decision => decision,
        }
    }

    fn confirmed(&self, error: ErrorCode, now: Millis) -> ErrorCode {
        let rests_on_configuration =
            matches!(error, ErrorCode::UnknownRoute | ErrorCode::UnknownKey);
        match rests_on_configuration && !self.subscription.is_confirmed(now) {
            true => ErrorCode::NoLease,
            false => error,
        }
    }
}
