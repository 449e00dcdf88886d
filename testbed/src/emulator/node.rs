//! A proxy node: carries out the decisions of its load balancing policy, with events
//! in place of sockets.

use super::policy::Policy;
use super::worker::AnswerFault;
use super::*;
use sorreldoor::balancer::{AttemptOutcome, Decision, RequestId, Target};
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use std::collections::BTreeMap;

/// Time limits of the proxy.
const CONNECT_TIMEOUT_MS: u64 = 400;
const MIN_HEAD_TIMEOUT_MS: u64 = 400;
const MIN_HEDGE_DELAY_MS: u64 = 150;
/// How long an idle connection may be reused; shorter for requests that must not be
/// repeated.
const IDLE_REUSE: Micros = 4_000_000;
const IDLE_REUSE_UNREPEATABLE: Micros = 1_500_000;

/// One attempt of a node at a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerAttempt {
    pub node: usize,
    pub incarnation: u32,
    pub request_id: RequestId,
    pub client_attempt: usize,
    /// The intended worker, its address and zone.
    pub worker: usize,
    pub addr: SocketAddr,
    pub zone: u16,
    /// The worker that accepted the connection, which may be another one.
    pub connected_worker: Option<usize>,
    /// The worker has too many connections and will reset this one.
    pub over_limit: bool,
    pub sent: Micros,
    /// When the worker stops working on it.
    pub deadline: Micros,
    pub priority: u8,
    /// The last event that the client had received.
    pub last_event: u32,
    /// The node has not closed the connection.
    pub open: bool,
    /// The worker sends nothing more: the connection is closed, or a reply was dropped.
    pub replies_stopped: bool,
    pub head_sent: bool,
    pub answer_fault: Option<AnswerFault>,
}

/// What a node waits for in an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Connect,
    Head,
    Body,
}

/// The open attempt of a request, as the node sees it; times in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct CurrentAttempt {
    pub attempt_id: u64,
    pub phase: Phase,
    pub stream: bool,
    pub first_event_received: bool,
    /// Silence before the head, and between events, after which fail-over is considered.
    pub head_timeout_ms: u64,
    pub next_check: u64,
    pub deadline: u64,
    pub max_gap_ms: u64,
    /// When the worker last sent something, or the attempt was sent.
    pub last_activity: u64,
    /// An idempotent request without a stream: it fails over before its latency target.
    pub hedged_early: bool,
}

/// A request at a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeRequest {
    pub client_attempt: usize,
    pub current: Option<CurrentAttempt>,
    /// Number of waits so far; the timer of an earlier wait is ignored.
    pub wait_number: u64,
    pub waiting: bool,
    pub last_event: u32,
    pub head_sent: bool,
    pub worker_failed: bool,
}

/// A proxy node and its requests.
pub(crate) struct Node {
    pub name: String,
    pub zone: u16,
    pub region: u8,
    pub up: bool,
    pub incarnation: u32,
    pub frozen_until: Micros,
    /// Spans of faults of this node.
    pub fault_spans: Vec<(Micros, Micros)>,
    /// Whether it has received a configuration, and a worker registry.
    pub received: (bool, bool),
    /// Arrival time of the latest update sent to it.
    pub last_update: Micros,
    pub policy: Box<dyn Policy>,
    pub in_progress: BTreeMap<RequestId, NodeRequest>,
    pub by_attempt: HashMap<usize, RequestId>,
    /// Idle connections by worker, each with the time since when it is idle.
    pub idle_connections: HashMap<usize, Vec<Micros>>,
}

impl World {
    /// A request arrived at a node.
    pub(super) fn request_arrived(&mut self, n: usize, client_attempt: usize) {
        let now = self.now_ms();
        let attempt = &self.client_attempts[client_attempt];
        if attempt.ended {
            return;
        }
        let a = &self.client_requests[attempt.request_index];
        let c = &self.mix.classes[a.class];
        let requested = RequestMetadata {
            client_attempt_id: format!("{client_attempt:x}"),
            deadline_ms: Some((attempt.deadline.saturating_sub(attempt.sent)) / 1000),
            model: "m".into(),
            prompt_tokens: a.prompt_segments.iter().map(|p| p.tokens).sum(),
            max_output_tokens: 0,
            prompt_segments: a.prompt_segments.clone(),
            last_event: Some(u64::from(attempt.resumed_after)).filter(|l| *l > 0),
            api_key: None,
        };
        let path = format!("/{}/x", c.name);
        let (from, node) = (attempt.resumed_after, &mut self.nodes[n]);
        match node.policy.begin(&path, requested, now) {
            Err(p) => self.answer(client_attempt, p, 200 * u64::from(p.is_retryable())),
            Ok(request_id) => {
                node.by_attempt.insert(client_attempt, request_id);
                node.in_progress.insert(
                    request_id,
                    NodeRequest {
                        client_attempt,
                        current: None,
                        wait_number: 0,
                        waiting: false,
                        last_event: from,
                        head_sent: false,
                        worker_failed: false,
                    },
                );
                self.decide(n, request_id);
            }
        }
    }

    pub(super) fn send_to_client(&mut self, client_attempt: usize, m: ClientMessage) {
        let at = self.now + micros(self.mix.client_ms);
        self.push(at, SimEvent::ClientMessage(client_attempt, m));
    }

    pub(super) fn answer(&mut self, client_attempt: usize, error: ErrorCode, retry_after_ms: u64) {
        self.record_rejection(client_attempt, error);
        self.send_to_client(
            client_attempt,
            ClientMessage::Answer(error.status(), retry_after_ms),
        );
    }

    /// Ends a request at this node.
    pub(super) fn finish_request(&mut self, n: usize, request_id: RequestId) {
        let now = self.now_ms();
        let x = &mut self.nodes[n];
        x.policy.finish(request_id, now);
        if let Some(j) = x.in_progress.remove(&request_id) {
            x.by_attempt.remove(&j.client_attempt);
        }
        self.retry_ready(n);
    }

    pub(super) fn decide(&mut self, n: usize, request_id: RequestId) {
        let now = self.now_ms();
        let node = &mut self.nodes[n];
        let Some(j) = node.in_progress.get_mut(&request_id) else {
            return;
        };
        j.waiting = false;
        j.wait_number += 1;
        let (client_attempt, number, incarnation) =
            (j.client_attempt, j.wait_number, node.incarnation);
        match node.policy.pick(request_id, now) {
            Decision::Send(to) => self.send_attempt(n, request_id, &to),
            Decision::Wait(ms) => {
                j.waiting = true;
                let at = self.now + micros(ms.max(1) as f64);
                self.push(at, SimEvent::WaitOver(n, incarnation, request_id, number));
            }
            Decision::Reject(p, retry_after_ms) => {
                let (head, failed) = (j.head_sent, j.worker_failed);
                self.finish_request(n, request_id);
                match (head, failed) {
                    (true, _) => self.send_to_client(client_attempt, ClientMessage::Cut),
                    (_, true) => self.send_to_client(client_attempt, ClientMessage::Answer(500, 0)),
                    _ => self.answer(client_attempt, p, retry_after_ms),
                }
            }
        }
    }

    /// Decides again, unless the request has begun another wait.
    pub(super) fn wait_over(&mut self, n: usize, request_id: RequestId, number: u64) {
        let j = self.nodes[n].in_progress.get(&request_id);
        if j.is_some_and(|j| j.waiting && j.wait_number == number) {
            self.decide(n, request_id);
        }
    }

    fn retry_ready(&mut self, n: usize) {
        let now = self.now_ms();
        let x = &mut self.nodes[n];
        let incarnation = x.incarnation;
        let all = x.policy.take_ready(now);
        let of = |r: &RequestId| {
            x.in_progress
                .get(r)
                .filter(|j| j.waiting)
                .map(|j| (*r, j.wait_number))
        };
        let all: Vec<(RequestId, u64)> = all.iter().filter_map(of).collect();
        for (request_id, number) in all {
            self.push(
                self.now,
                SimEvent::WaitOver(n, incarnation, request_id, number),
            );
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        n: usize,
        request_id: RequestId,
        outcome: AttemptOutcome,
    ) {
        let now = self.now_ms();
        self.nodes[n]
            .policy
            .record_outcome(request_id, outcome, now);
        self.retry_ready(n);
    }

    fn send_attempt(&mut self, n: usize, request_id: RequestId, target: &Target) {
        let now = self.now_ms();
        let attempt_id = self.worker_attempts.len() as u64;
        let w = self.by_name.get(&target.name).copied().unwrap_or(0);
        let zone = self.workers[w].zone;
        let x = &mut self.nodes[n];
        let Some(j) = x.in_progress.get_mut(&request_id) else {
            return;
        };
        let Some(route) = x.policy.route(request_id) else {
            let client_attempt = j.client_attempt;
            self.finish_request(n, request_id);
            return self.answer(client_attempt, ErrorCode::UnknownRoute, 0);
        };
        let deadline = x.policy.deadline(request_id);
        let idempotent = route.kind == sorreldoor::configuration::hosted::Kind::Idempotent;
        let head_timeout_ms = match route.latency_target_ms {
            0 => u64::MAX / 4,
            aim_ms if idempotent => (aim_ms * 6 / 10).max(MIN_HEDGE_DELAY_MS),
            aim_ms => aim_ms.max(MIN_HEAD_TIMEOUT_MS),
        };
        let repeatable = route.repeatable();
        j.current = Some(CurrentAttempt {
            attempt_id,
            phase: Phase::Connect,
            stream: route.kind == sorreldoor::configuration::hosted::Kind::Stream,
            first_event_received: false,
            head_timeout_ms,
            next_check: now + CONNECT_TIMEOUT_MS.min(deadline.saturating_sub(now).max(1)),
            deadline,
            max_gap_ms: match route.gap_ms {
                g if g > 0 && route.resume => g.max(MIN_HEAD_TIMEOUT_MS),
                _ => u64::MAX / 4,
            },
            last_activity: now,
            hedged_early: idempotent,
        });
        let s = WorkerAttempt {
            node: n,
            incarnation: x.incarnation,
            request_id,
            client_attempt: j.client_attempt,
            worker: w,
            addr: target.addr,
            zone,
            connected_worker: None,
            over_limit: false,
            sent: self.now,
            deadline: 0,
            priority: target.priority.unwrap_or(5),
            last_event: j.last_event,
            open: true,
            replies_stopped: false,
            head_sent: false,
            answer_fault: None,
        };
        self.worker_attempts.push(s);
        let within = if repeatable {
            IDLE_REUSE
        } else {
            IDLE_REUSE_UNREPEATABLE
        };
        if self.take_idle_connection(n, w, within) {
            self.worker_attempts[attempt_id as usize].connected_worker = Some(w);
            return self.send_request(attempt_id);
        }
        self.statistics.connections += 1;
        let at = self.now + self.delay(self.nodes[n].zone, zone);
        self.push(at, SimEvent::Syn(attempt_id));
        self.schedule_timer(attempt_id);
    }

    fn take_idle_connection(&mut self, n: usize, w: usize, within: Micros) -> bool {
        let now = self.now;
        let d = self.delay(self.nodes[n].zone, self.workers[w].zone);
        let wk = &mut self.workers[w];
        let end_known = wk.ended_at.is_some_and(|t| t + d <= now);
        let Some(idle) = self.nodes[n].idle_connections.get_mut(&w) else {
            return false;
        };
        let was = idle.len();
        idle.retain(|t| !end_known && t + IDLE_REUSE > now);
        wk.conns = wk.conns.saturating_sub((was - idle.len()) as u32);
        match idle.last() {
            Some(t) if t + within > now => idle.pop().is_some(),
            _ => false,
        }
    }

    /// Sends the request over the open connection.
    pub(super) fn send_request(&mut self, attempt_id: u64) {
        let now = self.now_ms();
        let s = &self.worker_attempts[attempt_id as usize];
        let (n, zone) = (s.node, s.zone);
        let d = self.delay(self.nodes[n].zone, zone);
        let Some(c) = self.current(attempt_id) else {
            return;
        };
        c.phase = Phase::Head;
        c.next_check = now.saturating_add(c.head_timeout_ms);
        let left = c.deadline.saturating_sub(now);
        let at = self.now + d;
        let s = &mut self.worker_attempts[attempt_id as usize];
        (s.sent, s.deadline) = (self.now, at + left * 1000);
        self.client_attempts[s.client_attempt].worker_attempts += 1;
        self.push(at, SimEvent::RequestReceived(attempt_id));
        self.schedule_timer(attempt_id);
    }

    pub(super) fn current(&mut self, attempt_id: u64) -> Option<&mut CurrentAttempt> {
        let s = &self.worker_attempts[attempt_id as usize];
        let j = self.nodes[s.node].in_progress.get_mut(&s.request_id)?;
        j.current.as_mut().filter(|c| c.attempt_id == attempt_id)
    }

    pub(super) fn schedule_timer(&mut self, attempt_id: u64) {
        if let Some(c) = self.current(attempt_id) {
            let at = c.next_check.min(c.deadline) * 1000;
            self.push(at, SimEvent::Timer(attempt_id));
        }
    }
}
