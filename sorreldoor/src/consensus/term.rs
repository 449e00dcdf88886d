//! Changes of term and role (thesis, section 3.3).

use super::event::{StateChange, StepDownReason};
use super::node::Consensus;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::NodeId;

impl<M: StateMachine> Consensus<M> {
    /// Clear the state that is valid in one term only.
    pub(super) fn reset_term_state(&mut self) {
        self.verified_index = 0;
        self.leader_round = 0;
        self.progress.clear();
        self.confirmation = None;
        self.confirmed_index = 0;
        self.fast_returned.clear();
        self.deferred_results.clear();
        self.uncommitted_proposals.clear();
        self.appended_at.clear();
        self.read_index_queue.clear();
        self.leader_transfer = None;
    }

    /// Enter a newer term as a follower.
    pub(super) fn become_follower(&mut self, term: u64, global_leader: Option<NodeId>) {
        self.report_step_down(StepDownReason::NewerTerm);
        self.hard_state.term = term;
        self.hard_state.vote = None;
        self.role = Role::Follower;
        self.global_leader = global_leader;
        self.reset_term_state();
        self.save_hard_state();
        self.reset_election_deadline();
    }

    /// Become a follower without a known leader, in the same term.
    pub(super) fn step_down(&mut self, reason: StepDownReason) {
        self.report_step_down(reason);
        self.role = Role::Follower;
        self.global_leader = None;
        self.reset_term_state();
        self.reset_election_deadline();
    }

    fn report_step_down(&mut self, reason: StepDownReason) {
        if self.role == Role::Leader {
            let term = self.hard_state.term;
            self.report(StateChange::SteppedDown { term, reason });
        }
    }
}
