//! The values behind the metrics of a core.

use super::Controller;
use crate::metrics::CoreFigures;

impl Controller {
    /// The current values of this core's metrics.
    #[must_use]
    pub fn metrics(&self) -> CoreFigures {
        let without_consensus = CoreFigures {
            holds_singleton_role: self.holds_singleton_role(),
            epoch: self.epoch(),
            edge_sessions: self.sessions.merged().len() as u64,
            workers: self.worker_list.workers().len() as u64,
            ..CoreFigures::default()
        };
        let Some(consensus) = &self.consensus else {
            return without_consensus;
        };
        let members = consensus.members();
        CoreFigures {
            is_leader: consensus.leads_globally(),
            is_domain_leader: consensus.leads_domain(),
            is_partitioned: consensus.is_partitioned(),
            disk_failed: consensus.disk_failed(),
            term: consensus.term(),
            committed: consensus.committed(),
            applied: consensus.applied(),
            log_entries: consensus.log().len() as u64,
            snapshot_bytes: consensus.snapshot_bytes() as u64,
            members: members.len() as u64,
            voters: members.iter().filter(|member| member.voter).count() as u64,
            configuration_version: consensus.state_machine().version(),
            ..without_consensus
        }
    }
}
