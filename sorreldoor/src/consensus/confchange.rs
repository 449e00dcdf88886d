//! Configuration changes by joint consensus (thesis, section 4.3).
//!
//! One entry makes the old and the new set of voters count together; once both
//! have a majority that has it, a second entry removes the old set. Between the
//! two, commits and elections need a majority of each, so a change never
//! tolerates fewer failures than the sets it leads from and to. A new leader
//! finishes a change that its predecessor left unfinished.

use super::entry::{Body, Entry, Member};
use super::event::StepDownReason;
use super::node::Consensus;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;

impl<M: StateMachine> Consensus<M> {
    /// The configuration to append for a change to the members `next`: a joint
    /// one if the voters change. None while another change is under way, before
    /// this term has committed an entry, or if no voter would be left.
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

    /// The configuration for an operator's proposal to remove one member. As
    /// proposals are retried, one made for an older configuration must not add
    /// members again, so it has to be the current one less one member.
    pub(super) fn removal_configuration(&self, next: &[Member]) -> Option<Vec<Member>> {
        let current = self.log.members();
        let common = current.iter().filter(|m| next.contains(m)).count();
        let removes_one = common == next.len() && common + 1 == current.len();
        self.next_configuration(next).filter(|_| removes_one)
    }

    /// A change that the leader's own process decides on; it isn't retried.
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

    /// Append the final configuration once the joint one is committed. A leader
    /// that is no voter any more steps down then.
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
