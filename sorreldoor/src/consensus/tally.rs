//! Counting votes: when an election, global or domain, is won.

use super::node::{Consensus, Role};
use super::quorum;
use super::types::*;

impl<M: StateMachine> Consensus<M> {
    /// The election bounds: N-1 Domain Leaders taking part, a log as new as
    /// N-2 others, and a majority of all cores. Only the last is never waived.
    fn elected(&self) -> bool {
        if !self.quorum().reached(|i| self.election.yes.contains(&i)) {
            return false;
        }
        let n = quorum::regions(self.log.members()).len();
        let mine = self.log.last();
        let newer = self
            .election
            .leads
            .iter()
            .filter(|(i, l)| **i != self.me && mine >= **l)
            .count();
        let ruled = self.election.leads.len() + 1 >= n && newer + 2 >= n;
        // with its majority lost a region has no Domain Leader to take part
        ruled || self.now.saturating_sub(self.election.since) >= self.timing.waive
    }

    pub(super) fn check_elections(&mut self) {
        let mine = self.region_voters(self.region());
        let dwon = quorum::most(&mine, |i| self.domain_election.yes.contains(&i));
        if self.domain_role == Role::PreCandidate && dwon {
            self.hard.dterm += 1;
            self.hard.dvote = Some(self.me);
            self.save_hard();
            self.domain_role = Role::Candidate;
            self.domain_election.yes = [self.me].into();
            self.domain_election.seq = self.seq;
            self.ask_domain(self.hard.dterm, false);
        }
        // the own vote counts only once it is synced, like any other's
        let synced = self.saved >= self.domain_election.seq;
        let dwon = quorum::most(&mine, |i| self.domain_election.yes.contains(&i));
        if self.domain_role == Role::Candidate && dwon && synced {
            self.domain_role = Role::Leader;
            self.note(Note::DomainLeader {
                dterm: self.hard.dterm,
                id: self.me,
            });
            let t = self.now;
            self.domain_seen = mine.iter().map(|i| (*i, t)).collect();
            // a Global Leader's rows hold more than its region's and stay good
            if self.role != Role::Leader {
                self.rows.clear();
            }
            self.domain_leader_known = true;
            self.domain_beat();
            if self.unheard() {
                let soon = self.now + self.rand(self.timing.elect / 16);
                self.elect_at = self.elect_at.min(soon);
            }
        }
        if self.role == Role::PreCandidate && self.elected() {
            self.start_election();
        }
        if self.role == Role::Candidate && self.saved >= self.election.seq && self.elected() {
            self.lead();
        }
    }
}
