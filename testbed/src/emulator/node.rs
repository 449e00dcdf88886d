//! A proxy node: what the proxy does with sockets, here with events, driven by a
//! load balancing policy.

use super::policy::Policy;
use super::worker::AnswerFault;
use super::*;
use sorreldoor::balancer::{AttemptOutcome, Decision, RequestId, Target};
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use std::collections::BTreeMap;

/// As in the proxy, in milliseconds.
const CONNECT_MS: u64 = 400;
const LEAST_PATIENCE: u64 = 400;
const LEAST_SMALL: u64 = 150;
/// Idle connections are reused for so long; the shorter time is for requests
/// that are not idempotent.
const KEEP: Micros = 4_000_000;
const FRESH: Micros = 1_500_000;

/// One attempt of a node at a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerAttempt {
    pub node: usize,
    pub incarnation: u32,
    pub request_id: RequestId,
    pub client_attempt: usize,
    /// The intended worker, its address and zone, and the worker that is there.
    pub worker: usize,
    pub addr: SocketAddr,
    pub zone: u16,
    pub there: Option<usize>,
    /// The worker will reset it: it has too many connections.
    pub over_limit: bool,
    pub sent: Micros,
    /// When the worker stops.
    pub until: Micros,
    pub priority: u8,
    /// Events that the client had received.
    pub last: u32,
    /// Not closed yet, as the node sees it and as the worker does.
    pub open: bool,
    pub cut: bool,
    pub head_sent: bool,
    pub answer_fault: Option<AnswerFault>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Connect,
    Head,
    Body,
}

#[derive(Clone, Debug)]
pub(crate) struct CurrentAttempt {
    pub attempt_id: u64,
    pub phase: Phase,
    pub stream: bool,
    pub began: bool,
    /// Times in milliseconds: head time-out, its current end, and the deadline.
    pub patience_ms: u64,
    pub until: u64,
    pub deadline: u64,
    pub gap: u64,
    /// When it last sent something, or the attempt was sent.
    pub since: u64,
    /// An idempotent request without a stream, hedged early.
    pub small: bool,
}

/// A request at a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeRequest {
    pub client_attempt: usize,
    pub current: Option<CurrentAttempt>,
    /// Number of waits, so that outdated timers are ignored.
    pub waits: u64,
    pub waiting: bool,
    pub last: u32,
    pub head_sent: bool,
    pub failed: bool,
}

pub(crate) struct Node {
    pub name: String,
    pub zone: u16,
    pub region: u8,
    pub up: bool,
    pub incarnation: u32,
    pub frozen_until: Micros,
    /// Spans of faults of its own.
    pub fault_spans: Vec<(Micros, Micros)>,
    pub received: (bool, bool),
    /// When the newest update will have arrived.
    pub last_update: Micros,
    pub policy: Box<dyn Policy>,
    pub in_progress: BTreeMap<RequestId, NodeRequest>,
    pub by_attempt: HashMap<usize, RequestId>,
    pub pool: HashMap<usize, Vec<Micros>>,
}

impl World {
    /// A request arrived at a node.
    pub(super) fn request_arrived(&mut self, n: usize, t: usize) {
        let now = self.ms();
        let tr = &self.client_attempts[t];
        if tr.over {
            return;
        }
        let a = &self.client_requests[tr.ask];
        let c = &self.mix.classes[a.class];
        let requested = RequestMetadata {
            client_attempt_id: format!("{t:x}"),
            deadline_ms: Some((tr.deadline.saturating_sub(tr.sent)) / 1000),
            model: "m".into(),
            prompt_tokens: a.parts.iter().map(|p| p.tokens).sum(),
            max_output_tokens: 0,
            prompt_segments: a.parts.clone(),
            last_event: Some(u64::from(tr.from)).filter(|l| *l > 0),
            api_key: None,
        };
        let path = format!("/{}/x", c.name);
        let (from, x) = (tr.from, &mut self.nodes[n]);
        match x.policy.begin(&path, requested, now) {
            Err(p) => self.answer(t, p, 200 * u64::from(p.is_retryable())),
            Ok(request_id) => {
                x.by_attempt.insert(t, request_id);
                x.in_progress.insert(
                    request_id,
                    NodeRequest {
                        client_attempt: t,
                        current: None,
                        waits: 0,
                        waiting: false,
                        last: from,
                        head_sent: false,
                        failed: false,
                    },
                );
                self.decide(n, request_id);
            }
        }
    }

    pub(super) fn send_to_client(&mut self, t: usize, m: ClientMessage) {
        let at = self.now + micros(self.mix.client_ms);
        self.push(at, SimEvent::ClientMessage(t, m));
    }

    pub(super) fn answer(&mut self, t: usize, p: ErrorCode, retry_after_ms: u64) {
        self.record_rejection(t, p);
        self.send_to_client(t, ClientMessage::Answer(p.status(), retry_after_ms));
    }

    /// The request is over at this node.
    pub(super) fn finish_request(&mut self, n: usize, request_id: RequestId) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        x.policy.finish(request_id, now);
        if let Some(j) = x.in_progress.remove(&request_id) {
            x.by_attempt.remove(&j.client_attempt);
        }
        self.wake(n);
    }

    pub(super) fn decide(&mut self, n: usize, request_id: RequestId) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        let Some(j) = x.in_progress.get_mut(&request_id) else {
            return;
        };
        j.waiting = false;
        j.waits += 1;
        let (t, number, incarnation) = (j.client_attempt, j.waits, x.incarnation);
        match x.policy.pick(request_id, now) {
            Decision::Send(to) => self.send_attempt(n, request_id, &to),
            Decision::Wait(ms) => {
                j.waiting = true;
                let at = self.now + micros(ms.max(1) as f64);
                self.push(at, SimEvent::Wake(n, incarnation, request_id, number));
            }
            Decision::Reject(p, retry_after_ms) => {
                let (head, failed) = (j.head_sent, j.failed);
                self.finish_request(n, request_id);
                match (head, failed) {
                    (true, _) => self.send_to_client(t, ClientMessage::Cut),
                    (_, true) => self.send_to_client(t, ClientMessage::Answer(500, 0)),
                    _ => self.answer(t, p, retry_after_ms),
                }
            }
        }
    }

    /// A wait is over, unless the request waits anew by now.
    pub(super) fn woken(&mut self, n: usize, request_id: RequestId, number: u64) {
        let j = self.nodes[n].in_progress.get(&request_id);
        if j.is_some_and(|j| j.waiting && j.waits == number) {
            self.decide(n, request_id);
        }
    }

    fn wake(&mut self, n: usize) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        let incarnation = x.incarnation;
        let all = x.policy.take_ready(now);
        let of = |r: &RequestId| {
            x.in_progress
                .get(r)
                .filter(|j| j.waiting)
                .map(|j| (*r, j.waits))
        };
        let all: Vec<(RequestId, u64)> = all.iter().filter_map(of).collect();
        for (request_id, number) in all {
            self.push(self.now, SimEvent::Wake(n, incarnation, request_id, number));
        }
    }

    pub(super) fn outcome(&mut self, n: usize, request_id: RequestId, h: AttemptOutcome) {
        let now = self.ms();
        self.nodes[n].policy.record_outcome(request_id, h, now);
        self.wake(n);
    }

    fn send_attempt(&mut self, n: usize, request_id: RequestId, to: &Target) {
        let now = self.ms();
        let attempt_id = self.worker_attempts.len() as u64;
        let w = self.by_name.get(&to.name).copied().unwrap_or(0);
        let zone = self.workers[w].zone;
        let x = &mut self.nodes[n];
        let Some(j) = x.in_progress.get_mut(&request_id) else {
            return;
        };
        let Some(route) = x.policy.route(request_id) else {
            let t = j.client_attempt;
            self.finish_request(n, request_id);
            return self.answer(t, ErrorCode::UnknownRoute, 0);
        };
        let deadline = x.policy.deadline(request_id);
        let small = route.kind == sorreldoor::configuration::hosted::Kind::Idempotent;
        let patience = match route.latency_target_ms {
            0 => u64::MAX / 4,
            a if small => (a * 6 / 10).max(LEAST_SMALL),
            a => a.max(LEAST_PATIENCE),
        };
        let repeatable = route.repeatable();
        j.current = Some(CurrentAttempt {
            attempt_id,
            phase: Phase::Connect,
            stream: route.kind == sorreldoor::configuration::hosted::Kind::Stream,
            began: false,
            patience_ms: patience,
            until: now + CONNECT_MS.min(deadline.saturating_sub(now).max(1)),
            deadline,
            gap: match route.gap_ms {
                g if g > 0 && route.resume => g.max(LEAST_PATIENCE),
                _ => u64::MAX / 4,
            },
            since: now,
            small,
        });
        let s = WorkerAttempt {
            node: n,
            incarnation: x.incarnation,
            request_id,
            client_attempt: j.client_attempt,
            worker: w,
            addr: to.addr,
            zone,
            there: None,
            over_limit: false,
            sent: self.now,
            until: 0,
            priority: to.priority.unwrap_or(5),
            last: j.last,
            open: true,
            cut: false,
            head_sent: false,
            answer_fault: None,
        };
        self.worker_attempts.push(s);
        let within = if repeatable { KEEP } else { FRESH };
        if self.take_pooled(n, w, within) {
            self.worker_attempts[attempt_id as usize].there = Some(w);
            return self.send_request(attempt_id);
        }
        self.statistics.conns += 1;
        let at = self.now + self.delay(self.nodes[n].zone, zone);
        self.push(at, SimEvent::Syn(attempt_id));
        self.tick(attempt_id);
    }

    fn take_pooled(&mut self, n: usize, w: usize, within: Micros) -> bool {
        let now = self.now;
        let d = self.delay(self.nodes[n].zone, self.workers[w].zone);
        let wk = &mut self.workers[w];
        let known = wk.ended_at.is_some_and(|t| t + d <= now);
        let Some(p) = self.nodes[n].pool.get_mut(&w) else {
            return false;
        };
        let was = p.len();
        p.retain(|t| !known && t + KEEP > now);
        wk.conns = wk.conns.saturating_sub((was - p.len()) as u32);
        match p.last() {
            Some(t) if t + within > now => p.pop().is_some(),
            _ => false,
        }
    }

    /// The connection is up: the request goes out.
    pub(super) fn send_request(&mut self, attempt_id: u64) {
        let now = self.ms();
        let s = &self.worker_attempts[attempt_id as usize];
        let (n, zone) = (s.node, s.zone);
        let d = self.delay(self.nodes[n].zone, zone);
        let Some(c) = self.current(attempt_id) else {
            return;
        };
        c.phase = Phase::Head;
        c.until = now.saturating_add(c.patience_ms);
        let left = c.deadline.saturating_sub(now);
        let at = self.now + d;
        let s = &mut self.worker_attempts[attempt_id as usize];
        (s.sent, s.until) = (self.now, at + left * 1000);
        self.client_attempts[s.client_attempt].worker_attempts += 1;
        self.push(at, SimEvent::RequestReceived(attempt_id));
        self.tick(attempt_id);
    }

    pub(super) fn current(&mut self, attempt_id: u64) -> Option<&mut CurrentAttempt> {
        let s = &self.worker_attempts[attempt_id as usize];
        let j = self.nodes[s.node].in_progress.get_mut(&s.request_id)?;
        j.current.as_mut().filter(|c| c.attempt_id == attempt_id)
    }

    pub(super) fn tick(&mut self, attempt_id: u64) {
        if let Some(c) = self.current(attempt_id) {
            let at = c.until.min(c.deadline) * 1000;
            self.push(at, SimEvent::Timer(attempt_id));
        }
    }
}
