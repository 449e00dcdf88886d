//! Changes of the members, and a leader that is to stop.
//!
//! Voters change by joint consensus: one entry makes the old and the new set
//! of voters count together, and once both have a majority that holds it, a
//! second entry ends the old set's say. Between the two, nothing is committed
//! and nobody is elected without a majority of each, so no change ever
//! tolerates less than the sets it leads from and to. Whoever leads while such
//! a change is unfinished finishes it.

use super::node::{Consensus, Role};
use super::quorum;
use super::types::*;
use crate::types::*;

impl<M: StateMachine> Consensus<M> {
    /// The entry that begins the change to the members `next`; none where the
    /// change before is not committed, this term has committed nothing yet, or
    /// it would leave no voters.
    pub(super) fn change_of_members(&self, next: &[Member]) -> Option<Vec<Member>> {
        let begun = self.log.term_at(self.commit) == Some(self.hard.term);
        if !begun || !self.members_settled() {
            return None;
        }
        let next = quorum::settled(next);
        let now = self.log.members();
        let will = quorum::newest_voters(&next);
        if will.is_empty() {
            return None;
        }
        if will == quorum::newest_voters(now) {
            return Some(next);
        }
        Some(quorum::joint(now, &next))
    }

    /// The entry for an operator's proposal to drop one member. A proposal is
    /// sent again until it is answered, so one made for other members than the
    /// present ones must not bring those back.
    pub(super) fn dropped_member(&self, next: &[Member]) -> Option<Vec<Member>> {
        let now = self.log.members();
        let rest = now.iter().filter(|m| next.contains(m)).count();
        let one_less = rest == next.len() && rest + 1 == now.len();
        self.change_of_members(next).filter(|_| one_less)
    }

    /// A leader's own change of the members; it isn't sent again.
    pub(super) fn reconfigure(&mut self, next: &[Member]) {
        if self.role != Role::Leader || self.moving.is_some() {
            return;
        }
        let Some(members) = self.change_of_members(next) else {
            return;
        };
        self.append_members(members);
    }

    fn append_members(&mut self, members: Vec<Member>) {
        let (term, origin) = (self.hard.term, self.me);
        let body = Body::Members(members);
        self.append(Entry {
            term,
            proposal_id: 0,
            origin,
            body,
        });
    }

    /// Ends a change of voters once its first entry is committed in this term
    /// or was committed in an earlier one.
    pub(super) fn end_joint(&mut self) {
        if self.role != Role::Leader || self.moving.is_some() {
            return;
        }
        let members = self.log.members();
        let committed = self.log.conf_idx() <= self.commit;
        let begun = self.log.term_at(self.commit) == Some(self.hard.term);
        if quorum::is_joint(members) && committed && begun {
            return self.append_members(quorum::settled(members));
        }
        if committed && !self.is_voter() {
            self.step_down("no longer a voter");
        }
    }

    /// Whether this node may stand in an election.
    pub(super) fn may_lead(&self) -> bool {
        self.is_voter() && !self.stopping && !self.disk_stuck()
    }

    pub(super) fn on_stop(&mut self) {
        self.stopping = true;
        if self.role == Role::Leader && self.moving.is_none() {
            self.hand_over();
        }
    }

    /// Hands the leadership to a voter that holds the whole log: a Domain
    /// Leader before others, then the one heard last.
    pub(super) fn hand_over(&mut self) {
        let live = self.now.saturating_sub(self.timing.dead);
        let leads = |id: NodeId| self.leads.values().any(|l| l.id == id);
        let members = self.log.members();
        let able = members
            .iter()
            .filter(|m| m.voter && m.id != self.me && self.caught_up(m.id));
        let heard = able.filter_map(|m| self.rows.get(&m.id).map(|r| (m.id, r.seen)));
        let next = heard
            .filter(|(_, seen)| *seen >= live)
            .max_by_key(|(id, seen)| (leads(*id), *seen, *id));
        if let Some((id, _)) = next {
            self.move_to(id);
        }
    }
}
