//! Collects the state of all parts for the status document.

use super::Controller;
use crate::control_plane::connections::LIVE_TIMEOUT_MS;
use crate::control_plane::status::{ClaimsStatus, StatusSources};
use crate::json::Value;

impl Controller {
    /// This core's status as JSON.
    #[must_use]
    pub fn status(&self) -> Value {
        let sources = StatusSources {
            own_hello: &self.own_hello,
            site: &self.site,
            stopping: self.stopping,
            has_quorum: self.reads.has_quorum(),
            wall_ms: self.wall_ms,
            policy: &self.membership.policy,
            consensus: self.consensus.as_ref(),
            live_cores: self.live_cores(LIVE_TIMEOUT_MS).into_keys().collect(),
            claims: ClaimsStatus {
                remembered: self.idempotency.table().len(),
                capacity: self.idempotency.table().capacity(),
                can_vote: self.consensus.is_some() && self.idempotency.is_caught_up(),
            },
            edge_sessions: self.sessions.merged(),
            worker_list: &self.worker_list,
            loads: self.loads.loads(),
            latencies: self.singleton.latencies(),
        };
        sources.to_json()
    }
}
