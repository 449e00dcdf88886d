//! Counting votes: when an election, global or domain, is won.

use super::node::{Consensus, Role};
use super::quorum;
use super::types::*;

impl<M: Machine> Consensus<M> {
    /// The election bounds: N-1 Domain Leaders taking part, a log as new as
    /// N-2 others, and a majority of all cores. Only the last is never waived.
    fn elected(&self) -> bool {
        if !self.quorum().reached(|i| self.poll.yes.contains(&i)) {
            return false;
        }
        let n = quorum::regions(self.log.members()).len();
        let mine = self.log.last();
        let newer = self
            .poll
            .leads
            .iter()
            .filter(|(i, l)| **i != self.me && mine >= **l)
            .count();
        let ruled = self.poll.leads.len() + 1 >= n && newer + 2 >= n;
        // with its majority lost a region has no Domain Leader to take part
        ruled || self.now.saturating_sub(self.poll.since) >= self.timing.waive
    }

    pub(super) fn check_polls(&mut self) {
        let mine = self.region_voters(self.region());
        let dwon = quorum::most(&mine, |i| self.dpoll.yes.contains(&i));
        if self.drole == Role::PreCandidate && dwon {
            self.hard.dterm += 1;
            self.hard.dvote = Some(self.me);
            self.save_hard();
            self.drole = Role::Candidate;
            self.dpoll.yes = [self.me].into();
            self.dpoll.seq = self.seq;
            self.ask_domain(self.hard.dterm, false);
        }
        // the own vote counts only once it is synced, like any other's
        let synced = self.saved >= self.dpoll.seq;
        let dwon = quorum::most(&mine, |i| self.dpoll.yes.contains(&i));
        if self.drole == Role::Candidate && dwon && synced {
            self.drole = Role::Leader;
            self.note(Note::DomainLeader {
                dterm: self.hard.dterm,
                id: self.me,
            });
            let t = self.now;
            self.dseen = mine.iter().map(|i| (*i, t)).collect();
            // a Global Leader's rows hold more than its region's and stay good
            if self.role != Role::Leader {
                self.rows.clear();
            }
            self.dled = true;
            self.domain_beat();
            if self.unheard() {
                let soon = self.now + self.rand(self.timing.elect / 16);
                self.elect_at = self.elect_at.min(soon);
            }
        }
        if self.role == Role::PreCandidate && self.elected() {
            self.stand_global();
        }
        if self.role == Role::Candidate && self.saved >= self.poll.seq && self.elected() {
            self.lead();
        }
    }
}
