//! Entering a newer term, and giving up the leadership of one.

use super::node::{Consensus, Role};
use super::types::*;
use crate::types::*;

impl<M: StateMachine> Consensus<M> {
    /// Forget what only held in the term before.
    pub(super) fn forget_term(&mut self) {
        self.verified = 0;
        self.round_from = 0;
        self.rows.clear();
        self.confirm = None;
        self.confirmed = 0;
        self.fast.clear();
        self.owed.clear();
        self.inflight.clear();
        self.born.clear();
        self.proofs.clear();
        self.moving = None;
    }

    pub(super) fn take_term(&mut self, term: u64, gl: Option<NodeId>) {
        if self.role == Role::Leader {
            self.note(Note::SteppedDown {
                term: self.hard.term,
                why: "a newer term",
            });
        }
        self.hard.term = term;
        self.hard.vote = None;
        self.role = Role::Follower;
        self.gl = gl;
        self.forget_term();
        self.save_hard();
        self.reset_elect();
    }

    pub(super) fn step_down(&mut self, why: &'static str) {
        if self.role == Role::Leader {
            let term = self.hard.term;
            self.note(Note::SteppedDown { term, why });
        }
        self.role = Role::Follower;
        self.gl = None;
        self.forget_term();
        self.reset_elect();
    }
}
