//! What comes back from workers to a node, and how sendings end.

use super::node::Phase;
use super::*;
use sorreldoor::balancer::AttemptOutcome;
use sorreldoor::error::ErrorCode;

/// Between looks at whether a silent worker is to be left, in milliseconds.
const LOOK: u64 = 100;

impl World {
    pub(super) fn syn_ack(&mut self, sid: u64, ok: bool) {
        if self.cur(sid).is_none_or(|c| c.phase != Phase::Connect) {
            return;
        }
        match ok {
            true => self.pass(sid),
            false => self.ended(sid, AttemptOutcome::ConnectFailed),
        }
    }

    /// Closes the connection of a sending.
    fn drop_line(&mut self, sid: u64) {
        let s = &mut self.sends[sid as usize];
        if !std::mem::replace(&mut s.open, false) {
            return;
        }
        let (n, zone) = (s.node, s.zone);
        let at = self.now + self.delay(self.nodes[n].zone, zone);
        self.push(at, Ev::Close(sid));
    }

    fn give_back(&mut self, sid: u64) {
        let s = &mut self.sends[sid as usize];
        s.open = false;
        let (n, w) = (s.node, s.worker);
        self.nodes[n].pool.entry(w).or_default().push(self.now);
    }

    /// The sending ended without an answer that can be used.
    fn ended(&mut self, sid: u64, h: AttemptOutcome) {
        let s = self.sends[sid as usize].clone();
        let Some(c) = self.cur(sid).cloned() else {
            return;
        };
        match h {
            AttemptOutcome::Rejected(_) => self.give_back(sid),
            _ => self.drop_line(sid),
        }
        let left = h == AttemptOutcome::Canceled;
        self.outcome(s.node, s.request_id, h);
        let late = self.ms() >= c.deadline;
        let Some(j) = self.nodes[s.node].jobs.get_mut(&s.request_id) else {
            return;
        };
        j.cur = None;
        let head = j.head_sent;
        if left || (late && c.phase == Phase::Head && !head) {
            self.over(s.node, s.request_id);
            return match left {
                true => self.to(s.attempt, ToClient::Cut),
                false => self.answer(s.attempt, ErrorCode::DeadlineExceeded, 0),
            };
        }
        self.decide(s.node, s.request_id);
    }

    pub(super) fn timer(&mut self, sid: u64) {
        let (now, s) = (self.ms(), &self.sends[sid as usize]);
        let (n, request_id) = (s.node, s.request_id);
        let Some(c) = self.cur(sid).cloned() else {
            return;
        };
        if now < c.until.min(c.deadline) {
            return self.tick(sid);
        }
        match c.phase {
            Phase::Connect => return self.ended(sid, AttemptOutcome::ConnectFailed),
            Phase::Head if now >= c.deadline => return self.ended(sid, AttemptOutcome::Failed),
            Phase::Relay if now >= c.deadline => return self.ended(sid, AttemptOutcome::Canceled),
            _ => {}
        }
        let own = match c.phase {
            Phase::Relay => c.gap,
            _ => c.pause,
        };
        // a worker that speaks to others is slow, but not for twice as long
        let small = c.small && c.phase == Phase::Head;
        let slow = small || now >= c.since.saturating_add(2 * own);
        let silent = if slow { 0 } else { own };
        if c.phase == Phase::Relay && !c.stream {
            // once its head is there a plain answer is waited for to the end
        } else if self.nodes[n].policy.may_fail_over(request_id, silent, now) {
            return self.ended(sid, AttemptOutcome::Failed);
        }
        if let Some(c) = self.cur(sid) {
            c.until = now + LOOK;
        }
        self.tick(sid);
    }

    pub(super) fn answered(&mut self, sid: u64, a: Ans) {
        let s = self.sends[sid as usize].clone();
        let now = self.ms();
        let Some(c) = self.cur(sid) else { return };
        match a {
            Ans::Reset if c.phase == Phase::Connect => {
                self.ended(sid, AttemptOutcome::ConnectFailed)
            }
            Ans::Reset | Ans::Garbled => self.ended(sid, AttemptOutcome::Failed),
            Ans::Misdirected => self.ended(sid, AttemptOutcome::Misdirected),
            Ans::NotRun(l) => self.ended(sid, AttemptOutcome::Rejected(Some(l))),
            Ans::Head(l) => {
                c.phase = Phase::Relay;
                (c.since, c.until) = (now, now.saturating_add(c.gap));
                let h = AttemptOutcome::HeadReceived {
                    load: Some(l),
                    slow_start_ms: None,
                };
                self.outcome(s.node, s.request_id, h);
                self.tick(sid);
            }
            Ans::Event(no) => {
                (c.since, c.until) = (now, now.saturating_add(c.gap));
                let first = !std::mem::replace(&mut c.began, true);
                let Some(j) = self.nodes[s.node].jobs.get_mut(&s.request_id) else {
                    return;
                };
                // what a worker repeats the caller has already
                if no > j.last {
                    (j.last, j.head_sent) = (no, true);
                    self.to(s.attempt, ToClient::Event(no, s.worker));
                }
                self.nodes[s.node].policy.record_activity(s.request_id, now);
                if first {
                    self.outcome(s.node, s.request_id, AttemptOutcome::FirstEvent);
                }
            }
            Ans::End => {
                self.give_back(sid);
                self.outcome(s.node, s.request_id, AttemptOutcome::Completed(200));
                self.over(s.node, s.request_id);
                self.to(s.attempt, ToClient::End);
            }
            Ans::Fail if c.phase == Phase::Relay => self.ended(sid, AttemptOutcome::Failed),
            Ans::Fail => self.failed(sid),
        }
    }

    /// A worker's own failure is its answer, unless another may do better.
    fn failed(&mut self, sid: u64) {
        let s = self.sends[sid as usize].clone();
        let now = self.ms();
        let may_fail_over = self.nodes[s.node]
            .policy
            .may_fail_over(s.request_id, 0, now);
        self.give_back(sid);
        self.outcome(s.node, s.request_id, AttemptOutcome::Completed(504));
        let Some(j) = self.nodes[s.node].jobs.get_mut(&s.request_id) else {
            return;
        };
        (j.cur, j.failed) = (None, true);
        if may_fail_over || j.head_sent {
            return self.decide(s.node, s.request_id);
        }
        self.over(s.node, s.request_id);
        self.to(s.attempt, ToClient::Answer(504, 0));
    }

    /// The caller has gone.
    pub(super) fn gone(&mut self, n: usize, t: usize) {
        let Some(request_id) = self.nodes[n].by_try.get(&t).copied() else {
            return;
        };
        let cur = self.nodes[n]
            .jobs
            .get(&request_id)
            .and_then(|j| j.cur.clone());
        if let Some(c) = cur {
            self.drop_line(c.sid);
            let h = match c.phase {
                Phase::Connect => AttemptOutcome::ConnectFailed,
                _ => AttemptOutcome::Canceled,
            };
            // before the request has gone out there is nothing to leave
            if h == AttemptOutcome::Canceled {
                self.outcome(n, request_id, h);
            }
        }
        self.over(n, request_id);
    }
}
