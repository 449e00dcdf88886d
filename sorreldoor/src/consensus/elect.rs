//! Elections: Domain Leaders by their region, the Global Leader among them.

use super::node::{Consensus, DomainLeader, Election, Role};
use super::quorum;
use super::types::*;
use crate::types::*;

/// Election times without a Global Leader after which any voter may stand.
const UNLED: u32 = 1;

impl<M: StateMachine> Consensus<M> {
    pub(super) fn tick(&mut self) {
        if self.failed {
            return;
        }
        self.tick_domain();
        self.tick_global();
        self.check_elections();
        self.tick_reads();
    }

    fn tick_domain(&mut self) {
        let mine = self.region_voters(self.region());
        if self.domain_role == Role::Leader {
            let live = self.now.saturating_sub(self.timing.elect);
            let ok = quorum::most(&mine, |i| {
                i == self.me || self.domain_seen.get(&i).is_some_and(|t| *t >= live)
            });
            // a leader its region no longer hears must not stand in the way
            if !ok || self.disk_stuck() || !self.is_voter() {
                self.domain_role = Role::Follower;
                self.reset_delect();
            } else if self.now >= self.dbeat_at {
                self.domain_beat();
            }
        } else if self.now >= self.delect_at && self.may_lead() {
            self.start_domain_pre_vote();
        }
    }

    pub(super) fn domain_beat(&mut self) {
        // reads bring heartbeats of the Global Leader's forward, and must
        // not put off the Domain Leader's
        self.dbeat_at = self.now + self.timing.beat;
        let (dterm, sent) = (self.hard.dterm, self.now);
        let r = self.region();
        self.leads.insert(
            r,
            DomainLeader {
                id: self.me,
                dterm,
                seen: sent,
            },
        );
        self.heard_dl = sent;
        for o in self.others() {
            self.send(o, Msg::DomainHeartbeat { dterm, sent });
        }
    }

    fn tick_global(&mut self) {
        if self.role == Role::Leader {
            self.lead_alarm();
            return;
        }
        if self.domain_role == Role::Leader && self.now >= self.beat_at {
            self.beat_at = self.now + self.timing.beat;
            self.replicate_in_domain(false);
        }
        if self.now >= self.elect_at {
            self.soon_elect();
            if self.now >= self.election_missed_at + self.timing.elect {
                self.election_missed_at = self.now;
                self.elections_missed += 1;
            }
            if self.may_lead() && self.may_stand() {
                self.start_pre_vote();
            }
        }
    }

    /// A core's last line was closed: its process has ended, or will be heard
    /// of again soon.
    pub(super) fn on_gone(&mut self, id: NodeId) {
        let soon = self.now + self.rand(self.timing.elect / 8);
        if self.leads.get(&self.region()).is_some_and(|l| l.id == id) {
            self.domain_leader_known = false;
            self.delect_at = self.delect_at.min(soon);
        }
        if self.gl == Some(id) {
            self.suspect = true;
            self.elect_at = self.elect_at.min(soon);
        }
    }

    /// A Domain Leader may stand; without one in its region, any core may.
    fn may_stand(&self) -> bool {
        let seen = self.leads.get(&self.region()).map_or(0, |l| l.seen);
        // a region that lost its majority can elect no Domain Leader, yet
        // may hold the newest log; there the region rule is waived
        // and where the one there is cannot win, since its own log or its own
        // view of the members is older than another's, that other must
        self.domain_role == Role::Leader
            || self.elections_missed > UNLED
            || self.now.saturating_sub(seen.max(self.heard_dl)) > self.timing.waive
    }

    // --- domain ---

    fn start_domain_pre_vote(&mut self) {
        self.reset_delect();
        self.domain_role = Role::PreCandidate;
        self.domain_election = Election {
            since: self.now,
            yes: [self.me].into(),
            ..Election::default()
        };
        self.ask_domain(self.hard.dterm + 1, true);
        self.check_elections();
    }

    pub(super) fn ask_domain(&mut self, dterm: u64, pre: bool) {
        let last = self.log.last();
        for o in self.region_voters(self.region()) {
            if o != self.me {
                self.send_saved(o, Msg::DomainVoteRequest { dterm, last, pre });
            }
        }
    }

    pub(super) fn on_domain_ask(&mut self, from: NodeId, dterm: u64, last: LogPosition, pre: bool) {
        let newer = last >= self.log.last();
        if pre {
            let silent = self.now.saturating_sub(self.heard_dl) >= self.timing.elect / 2;
            let quiet = (silent || !self.domain_leader_known) && self.domain_role != Role::Leader;
            let yes = newer && quiet && dterm > self.hard.dterm && !self.disk_stuck();
            self.send_saved(from, Msg::DomainVoteReply { dterm, yes, pre });
            return;
        }
        if dterm > self.hard.dterm {
            self.domain_term(dterm);
        }
        let free = self.hard.dvote.is_none_or(|v| v == from);
        let yes = dterm == self.hard.dterm && free && newer && !self.disk_stuck();
        if yes && self.hard.dvote.is_none() {
            self.hard.dvote = Some(from);
            self.reset_delect();
            self.save_hard();
        }
        let dterm = self.hard.dterm;
        self.send_saved(from, Msg::DomainVoteReply { dterm, yes, pre });
    }

    fn domain_term(&mut self, dterm: u64) {
        self.hard.dterm = dterm;
        self.hard.dvote = None;
        self.domain_role = Role::Follower;
        self.save_hard();
    }

    pub(super) fn on_domain_ans(&mut self, from: NodeId, dterm: u64, yes: bool, pre: bool) {
        if !yes && dterm > self.hard.dterm {
            self.domain_term(dterm);
            return;
        }
        let want = if pre {
            Role::PreCandidate
        } else {
            Role::Candidate
        };
        let at = self.hard.dterm + u64::from(pre);
        if yes && self.domain_role == want && dterm == at {
            self.domain_election.yes.insert(from);
            self.check_elections();
        }
    }

    pub(super) fn on_domain_beat(&mut self, from: NodeId, dterm: u64, sent: Millis) {
        let Some(r) = quorum::region_of(self.log.members(), from) else {
            return;
        };
        let known = self.leads.get(&r).map_or(0, |l| l.dterm);
        if dterm >= known {
            let seen = self.now;
            self.leads.insert(
                r,
                DomainLeader {
                    id: from,
                    dterm,
                    seen,
                },
            );
        }
        if r == self.region() {
            if dterm < self.hard.dterm {
                return;
            }
            if dterm > self.hard.dterm {
                self.domain_term(dterm);
            }
            if self.domain_role != Role::Leader {
                self.domain_role = Role::Follower;
            }
            self.heard_dl = self.now;
            self.domain_leader_known = true;
            self.reset_delect();
        }
        self.send_saved(from, Msg::DomainHeartbeatReply { dterm, sent });
    }

    pub(super) fn on_domain_back(&mut self, from: NodeId, _dterm: u64, sent: Millis) {
        self.domain_seen.insert(from, self.now);
        let r = quorum::region_of(self.log.members(), from);
        let one = self.now.saturating_sub(sent).div_ceil(2);
        if let Some(r) = r.filter(|r| *r != self.region()) {
            let l = self.lat.entry((self.region(), r)).or_insert(one);
            // one slow answer must not make the leader move
            *l = (*l * 7 + one).div_ceil(8);
        }
    }

    // --- global ---

    fn start_pre_vote(&mut self) {
        // asking again must not put off the waiver of the region rules
        let since = Some(self.election.since).filter(|_| self.role == Role::PreCandidate);
        self.role = Role::PreCandidate;
        self.election = self.new_election();
        self.election.since = since.unwrap_or(self.now);
        self.ask_global(self.hard.term + 1, true);
        self.check_elections();
    }

    fn new_election(&self) -> Election {
        let mut p = Election {
            since: self.now,
            yes: [self.me].into(),
            ..Election::default()
        };
        if self.domain_role == Role::Leader {
            p.leads.insert(self.me, self.log.last());
        }
        p
    }

    fn ask_global(&mut self, term: u64, pre: bool) {
        let last = self.log.last();
        for o in self.voters() {
            if o != self.me {
                self.send_saved(o, Msg::VoteRequest { term, last, pre });
            }
        }
    }

    pub(super) fn start_election(&mut self) {
        self.hard.term += 1;
        self.hard.vote = Some(self.me);
        self.gl = None;
        self.forget_term();
        self.save_hard();
        self.role = Role::Candidate;
        self.election = self.new_election();
        self.election.seq = self.seq;
        let r = self.rand(self.timing.elect);
        self.elect_at = self.now + self.timing.elect + r;
        self.ask_global(self.hard.term, false);
    }

    pub(super) fn on_move_now(&mut self, term: u64) {
        if term == self.hard.term && self.role != Role::Leader && self.may_lead() {
            self.start_election();
            self.check_elections();
        }
    }

    pub(super) fn on_ask(&mut self, from: NodeId, term: u64, last: LogPosition, pre: bool) {
        let newer = last >= self.log.last() || self.timing.broken == Broken::VoteStale;
        let leads = self.domain_role == Role::Leader;
        let mine = self.log.last();
        if pre {
            // of two that ask at once only one may go on, or they would
            // split the votes again and again
            let rival = match self.role {
                Role::PreCandidate => mine == last && self.me > from,
                r => r == Role::Candidate,
            };
            let free = newer && self.unheard() && !rival;
            let yes = free && term > self.hard.term && !self.disk_stuck();
            if yes && self.role == Role::PreCandidate {
                self.role = Role::Follower;
                self.reset_elect();
            }
            let term = if yes { term } else { self.hard.term };
            self.send_saved(
                from,
                Msg::VoteReply {
                    term,
                    yes,
                    pre,
                    leads,
                    last: mine,
                },
            );
            return;
        }
        if term > self.hard.term {
            self.take_term(term, None);
        }
        let free = self.hard.vote.is_none_or(|v| v == from);
        let yes = term == self.hard.term
            && free
            && newer
            && self.role == Role::Follower
            && !self.disk_stuck();
        if yes && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.reset_elect();
            self.save_hard();
        }
        let term = self.hard.term;
        self.send_saved(
            from,
            Msg::VoteReply {
                term,
                yes,
                pre,
                leads,
                last: mine,
            },
        );
    }

    pub(super) fn on_ans(
        &mut self,
        from: NodeId,
        ans: (u64, bool, bool),
        lead: Option<LogPosition>,
    ) {
        let (term, yes, pre) = ans;
        if !yes && term > self.hard.term {
            self.take_term(term, None);
            return;
        }
        let want = if pre {
            Role::PreCandidate
        } else {
            Role::Candidate
        };
        let at = self.hard.term + u64::from(pre && yes);
        if self.role != want || (yes && term != at) {
            return;
        }
        if let Some(l) = lead {
            self.election.leads.insert(from, l);
        }
        if yes {
            self.election.yes.insert(from);
        }
        self.check_elections();
    }
}
