//! Read access to the state of the reducer, for its driver.

use super::entry::Member;
use super::node::Consensus;
use super::quorum;
use super::raft_log::RaftLog;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::{Millis, NodeId, RegionId};
use std::collections::BTreeMap;

/// Number of election timeouts without a leader after which a node counts as
/// partitioned.
const PARTITION_ELECTION_TIMEOUTS: Millis = 4;
/// Maximum entries that a replica may lack to count as caught up.
const CAUGHT_UP_ENTRIES: u64 = 8;

impl<M: StateMachine> Consensus<M> {
    /// Identity of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The state machine as of the last applied entry.
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// Mutable access to the state machine. A change that is not part of a
    /// committed entry makes replicas diverge.
    pub fn state_machine_mut(&mut self) -> &mut M {
        &mut self.state_machine
    }

    /// The latest term that this node has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Whether this node is the Global Leader of its term. A newer term may have
    /// another one already, so this alone doesn't allow a read.
    pub fn leads_globally(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this node is the Domain Leader of its region.
    pub fn leads_domain(&self) -> bool {
        self.domain_role == Role::Leader
    }

    /// The Global Leader of the current term, if known; it may have failed since.
    pub fn global_leader(&self) -> Option<NodeId> {
        self.global_leader
    }

    /// The commit index.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Index of the last entry applied to the state machine.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The log in memory, committed or not.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// Bytes of the newest snapshot's image.
    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot.as_ref().map_or(0, |s| s.image.len())
    }

    /// The members of the newest configuration, committed or not.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Regions without contact with a majority of their voters, on the Global Leader.
    pub fn unavailable_regions(&self) -> Vec<RegionId> {
        self.unavailable_regions.iter().copied().collect()
    }

    /// The last known Domain Leader of each region; it may have failed since.
    pub fn domain_leaders(&self) -> BTreeMap<RegionId, NodeId> {
        let leaders = self.domain_leaders.iter();
        leaders.map(|(region, l)| (*region, l.id)).collect()
    }

    /// Milliseconds since this node, as Global Leader, last had contact with `id`;
    /// `None` on any other node.
    pub fn silence_of(&self, id: NodeId) -> Option<Millis> {
        let progress = self.progress.get(&id);
        progress
            .filter(|_| self.role == Role::Leader)
            .map(|p| self.now.saturating_sub(p.last_contact_at))
    }

    /// Whether the newest configuration is committed and not a joint one.
    pub fn has_stable_membership(&self) -> bool {
        let committed = self.log.last_configuration_index() <= self.committed;
        committed && !quorum::is_joint(self.log.members())
    }

    /// Whether the replica lacks at most `CAUGHT_UP_ENTRIES` of this leader's log.
    pub fn caught_up(&self, id: NodeId) -> bool {
        let last = self.log.last().index;
        self.progress
            .get(&id)
            .is_some_and(|p| p.matched > 0 && p.matched + CAUGHT_UP_ENTRIES >= last)
    }

    /// Whether this node is the Global Leader, or follows one with which it had contact
    /// within two election timeouts.
    pub fn has_leader(&self) -> bool {
        let silence = self.now.saturating_sub(self.leader_contact_at);
        let live = silence < self.timing.election_timeout * 2;
        self.role == Role::Leader || (self.global_leader.is_some() && live)
    }

    /// Whether this process had a leader and has been without one for longer than an
    /// election takes: the other cores may have a leader that it can't reach.
    pub fn is_partitioned(&self) -> bool {
        let limit = self.timing.election_timeout * PARTITION_ELECTION_TIMEOUTS;
        let known_at = self.leader_known_at.filter(|_| self.role != Role::Leader);
        known_at.is_some_and(|known_at| self.now.saturating_sub(known_at) >= limit)
    }

    /// Whether a save has failed and its retry has not succeeded yet.
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }
}
