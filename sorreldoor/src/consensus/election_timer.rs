//! Randomized election timeouts (thesis, section 3.4).

use super::node::Consensus;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::Millis;

impl<M: StateMachine> Consensus<M> {
    /// A pseudo-random number below `span`, zero if `span` is zero (xorshift64).
    pub(super) fn random_below(&mut self, span: Millis) -> Millis {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state % span.max(1)
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let timeout = self.timing.election_timeout;
        self.election_deadline = self.now + timeout + self.random_below(timeout / 2);
    }

    /// As `reset_election_deadline`, but with a shorter timeout while there is no
    /// active leader. A leader that others are in contact with isn't deposed by
    /// that, as the campaign begins with a pre-vote.
    pub(super) fn reset_adaptive_election_deadline(&mut self) {
        if !self.no_active_leader() {
            self.reset_election_deadline();
            return;
        }
        let span = self.timing.election_timeout / 4;
        self.election_deadline = self.now + span + self.random_below(span);
    }

    pub(super) fn reset_domain_election_deadline(&mut self) {
        let half = self.timing.election_timeout / 2;
        // a shorter timeout if no known Domain Leader could be deposed by it
        let span = if self.domain_leader_known {
            half
        } else {
            half / 4
        };
        self.domain_election_deadline = self.now + span + self.random_below(span);
    }

    /// Whether this node has no contact with a Global Leader: none is known, the
    /// known one has sent nothing for an election timeout, or its connection was
    /// closed.
    pub(super) fn no_active_leader(&self) -> bool {
        let silence = self.now.saturating_sub(self.leader_contact_at);
        let silent = silence >= self.timing.election_timeout;
        self.role != Role::Leader
            && (self.global_leader.is_none() || self.leader_suspected || silent)
    }
}
