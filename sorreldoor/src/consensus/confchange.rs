//! Configuration changes by joint consensus (thesis, section 4.3).
//!
//! The first entry is a joint configuration of the old and the new set of voters.
//! Once it is committed, a second entry removes the old set. Between the two,
//! commits and elections require a majority of each set, so a change tolerates
//! at least as many failures as the smaller set. A new leader completes the unfinished change
//! of its predecessor.

use super::entry::{Body, Entry, Member};
use super::event::StepDownReason;
use super::node::Consensus;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;

impl<M: StateMachine> Consensus<M> {
    /// The configuration to append for a change to the members `next`: a joint one if
    /// the voters change. `None` while another change is in progress, before an entry
    /// of this term is committed, or if no voter would remain.
    pub(super) fn next_configuration(&self, next: &[Member]) -> Option<Vec<Member>> {
        let term_has_committed = self.log.term_at(self.committed) == Some(self.hard_state.term);
        if !term_has_committed || !self.has_stable_membership() {
            return None;
        }
        let next = quorum::without_outgoing(next);
        let current = self.log.members();
        let next_voters = quorum::newest_voters(&next);
        if next_voters.is_empty() {
            return None;
        }
        if next_voters == quorum::newest_voters(current) {
            return Some(next);
        }
        Some(quorum::enter_joint(current, &next))
    }

    /// The configuration for an operator's proposal to remove one member; `None` unless
    /// `next` is the current configuration without one member. Proposals are retried,
    /// and one for an older configuration must not add removed members again.
    pub(super) fn removal_configuration(&self, next: &[Member]) -> Option<Vec<Member>> {
        let current = self.log.members();
        let common = current.iter().filter(|m| next.contains(m)).count();
        let removes_one = common == next.len() && common + 1 == current.len();
        self.next_configuration(next).filter(|_| removes_one)
    }

    /// Handle a change that the leader's own process requests. Ignored, and not
    /// retried, if the change isn't possible now.
    pub(super) fn reconfigure(&mut self, next: &[Member]) {
        if self.role != Role::Leader || self.leader_transfer.is_some() {
            return;
        }
        let Some(members) = self.next_configuration(next) else {
            return;
        };
        self.append_configuration(members);
    }

    fn append_configuration(&mut self, members: Vec<Member>) {
        let (term, origin) = (self.hard_state.term, self.id);
        let body = Body::Members(members);
        self.append(Entry {
            term,
            proposal_id: 0,
            origin,
            body,
        });
    }

    /// Append the final configuration once the joint one is committed. A leader that is
    /// not a voter in the final one steps down once that is committed.
    pub(super) fn leave_joint(&mut self) {
        if self.role != Role::Leader || self.leader_transfer.is_some() {
            return;
        }
        let members = self.log.members();
        let committed = self.log.last_configuration_index() <= self.committed;
        let term_has_committed = self.log.term_at(self.committed) == Some(self.hard_state.term);
        if quorum::is_joint(members) && committed && term_has_committed {
            return self.append_configuration(quorum::without_outgoing(members));
        }
        if committed && !self.is_voter() {
            self.step_down(StepDownReason::NotAVoter);
        }
    }
}
