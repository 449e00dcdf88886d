//! Elections: Domain Leaders by their region, the Global Leader among them.

use super::node::{Consensus, Lead, Poll, Role};
use super::quorum;
use super::types::*;

/// Election times without a Global Leader after which any voter may stand.
const UNLED: u32 = 1;

impl<M: Machine> Consensus<M> {
    pub(super) fn alarm(&mut self) {
        if self.failed {
            return;
        }
        self.domain_alarm();
        self.global_alarm();
        self.check_polls();
        self.reads_alarm();
    }

    fn domain_alarm(&mut self) {
        let mine = self.region_voters(self.region());
        if self.drole == Role::Leader {
            let live = self.now.saturating_sub(self.timing.elect);
            let ok = quorum::most(&mine, |i| {
                i == self.me || self.dseen.get(&i).is_some_and(|t| *t >= live)
            });
            // a leader its region no longer hears must not stand in the way
            if !ok || self.disk_stuck() || !self.is_voter() {
                self.drole = Role::Follower;
                self.reset_delect();
            } else if self.now >= self.dbeat_at {
                self.domain_beat();
            }
        } else if self.now >= self.delect_at && self.may_lead() {
            self.sound_domain();
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
            Lead {
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

    fn global_alarm(&mut self) {
        if self.role == Role::Leader {
            self.lead_alarm();
            return;
        }
        if self.drole == Role::Leader && self.now >= self.beat_at {
            self.beat_at = self.now + self.timing.beat;
            self.pump_domain(false);
        }
        if self.now >= self.elect_at {
            self.soon_elect();
            if self.now >= self.unled_at + self.timing.elect {
                self.unled_at = self.now;
                self.unled += 1;
            }
            if self.may_lead() && self.may_stand() {
                self.sound_global();
            }
        }
    }

    /// A core's last line was closed: its process has ended, or will be heard
    /// of again soon.
    pub(super) fn on_gone(&mut self, id: NodeId) {
        let soon = self.now + self.rand(self.timing.elect / 8);
        if self.leads.get(&self.region()).is_some_and(|l| l.id == id) {
            self.dled = false;
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
        self.drole == Role::Leader
            || self.unled > UNLED
            || self.now.saturating_sub(seen.max(self.heard_dl)) > self.timing.waive
    }

    // --- domain ---

    fn sound_domain(&mut self) {
        self.reset_delect();
        self.drole = Role::PreCandidate;
        self.dpoll = Poll {
            since: self.now,
            yes: [self.me].into(),
            ..Poll::default()
        };
        self.ask_domain(self.hard.dterm + 1, true);
        self.check_polls();
    }

    pub(super) fn ask_domain(&mut self, dterm: u64, pre: bool) {
        let last = self.log.last();
        for o in self.region_voters(self.region()) {
            if o != self.me {
                self.send_saved(o, Msg::DomainVoteRequest { dterm, last, pre });
            }
        }
    }

    pub(super) fn on_domain_ask(&mut self, from: NodeId, dterm: u64, last: Last, pre: bool) {
        let newer = last >= self.log.last();
        if pre {
            let silent = self.now.saturating_sub(self.heard_dl) >= self.timing.elect / 2;
            let quiet = (silent || !self.dled) && self.drole != Role::Leader;
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
        self.drole = Role::Follower;
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
        if yes && self.drole == want && dterm == at {
            self.dpoll.yes.insert(from);
            self.check_polls();
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
                Lead {
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
            if self.drole != Role::Leader {
                self.drole = Role::Follower;
            }
            self.heard_dl = self.now;
            self.dled = true;
            self.reset_delect();
        }
        self.send_saved(from, Msg::DomainHeartbeatReply { dterm, sent });
    }

    pub(super) fn on_domain_back(&mut self, from: NodeId, _dterm: u64, sent: Millis) {
        self.dseen.insert(from, self.now);
        let r = quorum::region_of(self.log.members(), from);
        let one = self.now.saturating_sub(sent).div_ceil(2);
        if let Some(r) = r.filter(|r| *r != self.region()) {
            let l = self.lat.entry((self.region(), r)).or_insert(one);
            // one slow answer must not make the leader move
            *l = (*l * 7 + one).div_ceil(8);
        }
    }

    // --- global ---

    fn sound_global(&mut self) {
        // asking again must not put off the waiver of the region rules
        let since = Some(self.poll.since).filter(|_| self.role == Role::PreCandidate);
        self.role = Role::PreCandidate;
        self.poll = self.new_poll();
        self.poll.since = since.unwrap_or(self.now);
        self.ask_global(self.hard.term + 1, true);
        self.check_polls();
    }

    fn new_poll(&self) -> Poll {
        let mut p = Poll {
            since: self.now,
            yes: [self.me].into(),
            ..Poll::default()
        };
        if self.drole == Role::Leader {
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

    pub(super) fn stand_global(&mut self) {
        self.hard.term += 1;
        self.hard.vote = Some(self.me);
        self.gl = None;
        self.forget_term();
        self.save_hard();
        self.role = Role::Candidate;
        self.poll = self.new_poll();
        self.poll.seq = self.seq;
        let r = self.rand(self.timing.elect);
        self.elect_at = self.now + self.timing.elect + r;
        self.ask_global(self.hard.term, false);
    }

    pub(super) fn on_move_now(&mut self, term: u64) {
        if term == self.hard.term && self.role != Role::Leader && self.may_lead() {
            self.stand_global();
            self.check_polls();
        }
    }

    pub(super) fn on_ask(&mut self, from: NodeId, term: u64, last: Last, pre: bool) {
        let newer = last >= self.log.last() || self.timing.broken == Broken::VoteStale;
        let leads = self.drole == Role::Leader;
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

    pub(super) fn on_ans(&mut self, from: NodeId, ans: (u64, bool, bool), lead: Option<Last>) {
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
            self.poll.leads.insert(from, l);
        }
        if yes {
            self.poll.yes.insert(from);
        }
        self.check_polls();
    }

    /// Forget what only held in the term before.
    fn forget_term(&mut self) {
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
