//! Queries on the current configuration.

use super::node::Consensus;
use super::quorum::{self, Quorum};
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::types::{NodeId, RegionId};

impl<M: StateMachine> Consensus<M> {
    /// This node's region; `RegionId::MAX` if it is not a member.
    pub(super) fn region(&self) -> RegionId {
        self.region_of(self.id).unwrap_or(RegionId::MAX)
    }

    pub(super) fn region_of(&self, id: NodeId) -> Option<RegionId> {
        quorum::region_of(self.log.members(), id)
    }

    /// The region of the Global Leader.
    pub(super) fn leader_region(&self) -> Option<RegionId> {
        self.global_leader.and_then(|leader| self.region_of(leader))
    }

    pub(super) fn is_voter(&self) -> bool {
        quorum::voters(self.log.members()).any(|m| m.id == self.id)
    }

    pub(super) fn voters(&self) -> Vec<NodeId> {
        quorum::voters(self.log.members()).map(|m| m.id).collect()
    }

    /// The quorum for commits, elections and confirmations of leadership.
    pub(super) fn quorum(&self) -> Quorum {
        let quorum = Quorum::from_members(self.log.members());
        if self.timing.injected_fault == InjectedFault::IgnoreOutgoingVoters {
            return quorum.newest_only();
        }
        quorum
    }

    pub(super) fn region_voters(&self, region: RegionId) -> Vec<NodeId> {
        quorum::voters_in_region(self.log.members(), region)
    }

    /// All members but this node, learners included.
    pub(super) fn others(&self) -> Vec<NodeId> {
        let ids = self.log.members().iter().map(|m| m.id);
        ids.filter(|id| *id != self.id).collect()
    }
}
