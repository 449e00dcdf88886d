//! The Global Leader: its state at the start of a term, appends, its tick, and
//! the check quorum by which it steps down.

use super::entry::{Body, Entry};
use super::event::{SilentVoter, StateChange, StepDownReason};
use super::node::Consensus;
use super::progress::Progress;
use super::role::Role;
use super::save::Save;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::invariants::{is_disabled, Invariant};
use crate::types::{Millis, NodeId};

impl<M: StateMachine> Consensus<M> {
    /// Become the Global Leader after winning an election, and append a no-op entry
    /// so that the term has an entry to commit.
    pub(super) fn become_leader(&mut self) {
        let next_index = self.log.last().index + 1;
        self.role = Role::Leader;
        self.global_leader = Some(self.id);
        self.reset_leader_state(next_index);
        self.next_placement_at = self.now + self.timing.placement_interval;
        let (term, id) = (self.hard_state.term, self.id);
        self.report(StateChange::GlobalLeader { term, id });
        self.append(Entry {
            term,
            proposal_id: 0,
            origin: id,
            body: Body::Noop,
        });
        self.broadcast_heartbeat();
        for id in self.pending_proposals.keys().copied().collect::<Vec<_>>() {
            self.forward_proposal(id);
        }
    }

    /// Begin to track the progress of all other members, and the uncommitted
    /// entries of earlier leaders.
    fn reset_leader_state(&mut self, next_index: u64) {
        self.progress.clear();
        self.appended_at.clear();
        self.uncommitted_proposals.clear();
        self.unavailable_regions.clear();
        for id in self.others() {
            let contact_at = self.initial_contact_at(id);
            let progress = Progress::active_from(next_index, contact_at);
            self.progress.insert(id, progress);
        }
        for index in self.committed + 1..next_index {
            if let Some(e) = self.log.get(index).filter(|e| e.proposal_id != 0) {
                self.uncommitted_proposals.insert(e.proposal_id, index);
            }
            self.appended_at.push_back((index, self.now));
        }
    }

    /// The time of last contact that a new leader assumes for a member. One that
    /// did not vote for this node has a quarter of `region_timeout` left to reply,
    /// so that commits don't wait for a region that failed before the election.
    fn initial_contact_at(&self, id: NodeId) -> Millis {
        let granted_vote = self.election.votes.contains(&id);
        if granted_vote || self.timing.injected_fault == InjectedFault::WaitForSilentRegions {
            return self.now;
        }
        let timeout = self.timing.region_timeout;
        self.now.saturating_sub(timeout - timeout / 4)
    }

    /// As Global Leader: append an entry to the log and replicate it.
    pub(super) fn append(&mut self, entry: Entry) {
        let index = self.log.last().index + 1;
        if entry.proposal_id != 0 {
            self.uncommitted_proposals.insert(entry.proposal_id, index);
        }
        self.appended_at.push_back((index, self.now));
        let changes_members = matches!(entry.body, Body::Members(_));
        self.log.push(vec![entry.clone()]);
        self.save(Save::Append {
            from: index,
            entries: vec![entry],
            commit: self.committed,
        });
        if changes_members {
            self.members_changed();
        }
        self.replicate();
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_live_quorum() && !is_disabled(Invariant::StepDown) {
            let silent = self.silent_voters();
            self.step_down(StepDownReason::NoQuorum { silent });
            return;
        }
        self.leader_known_at = Some(self.now);
        if self.disk_stalled() {
            self.step_down(StepDownReason::DiskStalled);
            return;
        }
        if self.now >= self.next_heartbeat_at {
            self.broadcast_heartbeat();
        }
        self.update_region_availability();
        self.replicate();
        self.send_overdue_results();
        self.leave_joint();
        if self.role == Role::Leader {
            self.tick_leader_transfer();
        }
    }

    /// Check quorum (thesis, section 6.2): whether a majority of all voters has
    /// replied within an election timeout. If not, another leader may have been
    /// elected.
    fn has_live_quorum(&self) -> bool {
        let live = self.now.saturating_sub(self.timing.election_timeout);
        self.quorum().is_reached(|id| {
            let progress = self.progress.get(&id);
            id == self.id || progress.is_some_and(|p| p.last_contact_at >= live)
        })
    }

    /// The voters that have not replied for an election timeout, for the
    /// operator's log.
    fn silent_voters(&self) -> Vec<SilentVoter> {
        let silent_for = |id: NodeId| {
            let progress = self.progress.get(&id);
            progress.map_or(self.now, |p| self.now.saturating_sub(p.last_contact_at))
        };
        let voters = self.voters().into_iter().filter(|id| *id != self.id);
        voters
            .map(|id| SilentVoter {
                id,
                silent_ms: silent_for(id),
            })
            .filter(|voter| voter.silent_ms >= self.timing.election_timeout)
            .collect()
    }
}
