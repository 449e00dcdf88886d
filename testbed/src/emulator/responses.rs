//! How nodes handle messages from workers, time-outs and disconnected clients.

use super::node::Phase;
use super::*;
use sorreldoor::balancer::AttemptOutcome;
use sorreldoor::error::ErrorCode;

/// Interval of checks for fail-over from a silent worker.
const RECHECK_MS: u64 = 100;

impl World {
    pub(super) fn syn_ack(&mut self, attempt_id: u64, ok: bool) {
        if self
            .current(attempt_id)
            .is_none_or(|c| c.phase != Phase::Connect)
        {
            return;
        }
        match ok {
            true => self.send_request(attempt_id),
            false => self.attempt_failed(attempt_id, AttemptOutcome::ConnectFailed),
        }
    }

    /// Closes the connection of an attempt, if it is open.
    fn close_connection(&mut self, attempt_id: u64) {
        let s = &mut self.worker_attempts[attempt_id as usize];
        if !std::mem::replace(&mut s.open, false) {
            return;
        }
        let (n, zone) = (s.node, s.zone);
        let at = self.now + self.delay(self.nodes[n].zone, zone);
        self.push(at, SimEvent::Close(attempt_id));
    }

    fn keep_connection(&mut self, attempt_id: u64) {
        let s = &mut self.worker_attempts[attempt_id as usize];
        s.open = false;
        let (n, w) = (s.node, s.worker);
        self.nodes[n]
            .idle_connections
            .entry(w)
            .or_default()
            .push(self.now);
    }

    /// Ends an attempt without a usable response; the policy decides what follows, unless
    /// the request was canceled or its deadline passed.
    fn attempt_failed(&mut self, attempt_id: u64, outcome: AttemptOutcome) {
        let s = self.worker_attempts[attempt_id as usize].clone();
        let Some(c) = self.current(attempt_id).cloned() else {
            return;
        };
        match outcome {
            AttemptOutcome::Rejected(_) => self.keep_connection(attempt_id),
            _ => self.close_connection(attempt_id),
        }
        let canceled = outcome == AttemptOutcome::Canceled;
        self.record_outcome(s.node, s.request_id, outcome);
        let deadline_passed = self.now_ms() >= c.deadline;
        let Some(j) = self.nodes[s.node].in_progress.get_mut(&s.request_id) else {
            return;
        };
        j.current = None;
        let head = j.head_sent;
        if canceled || (deadline_passed && c.phase == Phase::Head && !head) {
            self.finish_request(s.node, s.request_id);
            return match canceled {
                true => self.send_to_client(s.client_attempt, ClientMessage::Cut),
                false => self.answer(s.client_attempt, ErrorCode::DeadlineExceeded, 0),
            };
        }
        self.decide(s.node, s.request_id);
    }

    pub(super) fn timer(&mut self, attempt_id: u64) {
        let (now, s) = (self.now_ms(), &self.worker_attempts[attempt_id as usize]);
        let (n, request_id) = (s.node, s.request_id);
        let Some(c) = self.current(attempt_id).cloned() else {
            return;
        };
        if now < c.next_check.min(c.deadline) {
            return self.schedule_timer(attempt_id);
        }
        match c.phase {
            Phase::Connect => {
                return self.attempt_failed(attempt_id, AttemptOutcome::ConnectFailed)
            }
            Phase::Head if now >= c.deadline => {
                return self.attempt_failed(attempt_id, AttemptOutcome::Failed)
            }
            Phase::Body if now >= c.deadline => {
                return self.attempt_failed(attempt_id, AttemptOutcome::Canceled)
            }
            _ => {}
        }
        let own = match c.phase {
            Phase::Body => c.max_gap_ms,
            _ => c.head_timeout_ms,
        };
        // twice the time-out suffices for fail-over, even if the worker answers others
        let hedged_early = c.hedged_early && c.phase == Phase::Head;
        let slow = hedged_early || now >= c.last_activity.saturating_add(2 * own);
        let silent = if slow { 0 } else { own };
        if c.phase == Phase::Body && !c.stream {
            // a plain response whose head has arrived is awaited until the deadline
        } else if self.nodes[n].policy.may_fail_over(request_id, silent, now) {
            return self.attempt_failed(attempt_id, AttemptOutcome::Failed);
        }
        if let Some(c) = self.current(attempt_id) {
            c.next_check = now + RECHECK_MS;
        }
        self.schedule_timer(attempt_id);
    }

    pub(super) fn worker_message(&mut self, attempt_id: u64, a: WorkerMessage) {
        let s = self.worker_attempts[attempt_id as usize].clone();
        let now = self.now_ms();
        let Some(c) = self.current(attempt_id) else {
            return;
        };
        match a {
            WorkerMessage::Reset if c.phase == Phase::Connect => {
                self.attempt_failed(attempt_id, AttemptOutcome::ConnectFailed)
            }
            WorkerMessage::Reset | WorkerMessage::Garbled => {
                self.attempt_failed(attempt_id, AttemptOutcome::Failed)
            }
            WorkerMessage::Misdirected => {
                self.attempt_failed(attempt_id, AttemptOutcome::Misdirected)
            }
            WorkerMessage::Rejected(l) => {
                self.attempt_failed(attempt_id, AttemptOutcome::Rejected(Some(l)))
            }
            WorkerMessage::Head(l) => {
                c.phase = Phase::Body;
                (c.last_activity, c.next_check) = (now, now.saturating_add(c.max_gap_ms));
                let h = AttemptOutcome::HeadReceived {
                    load: Some(l),
                    slow_start_ms: None,
                };
                self.record_outcome(s.node, s.request_id, h);
                self.schedule_timer(attempt_id);
            }
            WorkerMessage::Event(number) => {
                (c.last_activity, c.next_check) = (now, now.saturating_add(c.max_gap_ms));
                let first = !std::mem::replace(&mut c.first_event_received, true);
                let Some(j) = self.nodes[s.node].in_progress.get_mut(&s.request_id) else {
                    return;
                };
                // events that the client has already received are dropped
                if number > j.last_event {
                    (j.last_event, j.head_sent) = (number, true);
                    self.send_to_client(s.client_attempt, ClientMessage::Event(number, s.worker));
                }
                self.nodes[s.node].policy.record_activity(s.request_id, now);
                if first {
                    self.record_outcome(s.node, s.request_id, AttemptOutcome::FirstEvent);
                }
            }
            WorkerMessage::End => {
                self.keep_connection(attempt_id);
                self.record_outcome(s.node, s.request_id, AttemptOutcome::Completed(200));
                self.finish_request(s.node, s.request_id);
                self.send_to_client(s.client_attempt, ClientMessage::End);
            }
            WorkerMessage::TimedOut if c.phase == Phase::Body => {
                self.attempt_failed(attempt_id, AttemptOutcome::Failed)
            }
            WorkerMessage::TimedOut => self.worker_failed(attempt_id),
        }
    }

    /// Passes on a 504 of a worker, unless the request may fail over.
    fn worker_failed(&mut self, attempt_id: u64) {
        let s = self.worker_attempts[attempt_id as usize].clone();
        let now = self.now_ms();
        let may_fail_over = self.nodes[s.node]
            .policy
            .may_fail_over(s.request_id, 0, now);
        self.keep_connection(attempt_id);
        self.record_outcome(s.node, s.request_id, AttemptOutcome::Completed(504));
        let Some(j) = self.nodes[s.node].in_progress.get_mut(&s.request_id) else {
            return;
        };
        (j.current, j.worker_failed) = (None, true);
        if may_fail_over || j.head_sent {
            return self.decide(s.node, s.request_id);
        }
        self.finish_request(s.node, s.request_id);
        self.send_to_client(s.client_attempt, ClientMessage::Answer(504, 0));
    }

    /// Ends the request of a client that has disconnected.
    pub(super) fn client_disconnected(&mut self, n: usize, client_attempt: usize) {
        let Some(request_id) = self.nodes[n].by_attempt.get(&client_attempt).copied() else {
            return;
        };
        let current = self.nodes[n]
            .in_progress
            .get(&request_id)
            .and_then(|j| j.current.clone());
        if let Some(c) = current {
            self.close_connection(c.attempt_id);
            let h = match c.phase {
                Phase::Connect => AttemptOutcome::ConnectFailed,
                _ => AttemptOutcome::Canceled,
            };
            // nothing to cancel if the request was not sent yet
            if h == AttemptOutcome::Canceled {
                self.record_outcome(n, request_id, h);
            }
        }
        self.finish_request(n, request_id);
    }
}
