//! A proxy node: what the proxy does with sockets, here with events, around
//! whoever decides.

use super::policy::Policy;
use super::worker::Spoil;
use super::*;
use sorreldoor::balancer::{AttemptOutcome, Decision, RequestId, Target};
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use std::collections::BTreeMap;

/// As in the proxy, in milliseconds.
const CONNECT_MS: u64 = 400;
const LEAST_PATIENCE: u64 = 400;
const LEAST_SMALL: u64 = 150;
/// Connections are kept for so long, and this long for what runs once.
const KEEP: Us = 4_000_000;
const FRESH: Us = 1_500_000;

/// One sending to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Send {
    pub node: usize,
    pub life: u32,
    pub request_id: RequestId,
    pub attempt: usize,
    /// The worker meant, its address and zone, and who is there.
    pub worker: usize,
    pub addr: SocketAddr,
    pub zone: u16,
    pub there: Option<usize>,
    /// The worker will reset it: it has too many connections.
    pub doomed: bool,
    pub sent: Us,
    /// When the worker stops.
    pub until: Us,
    pub priority: u8,
    /// Events that the caller had.
    pub last: u32,
    /// Not closed yet, as the node sees it and as the worker does.
    pub open: bool,
    pub cut: bool,
    pub headed: bool,
    pub spoil: Option<Spoil>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Connect,
    Head,
    Relay,
}

#[derive(Clone, Debug)]
pub(crate) struct Cur {
    pub sid: u64,
    pub phase: Phase,
    pub stream: bool,
    pub began: bool,
    /// Milliseconds: patience with this worker, and its renewal; the end.
    pub pause: u64,
    pub until: u64,
    pub deadline: u64,
    pub gap: u64,
    /// When it last spoke, or was sent to.
    pub since: u64,
    /// A small answer, asked for again soon.
    pub small: bool,
}

/// A request at a node.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub attempt: usize,
    pub cur: Option<Cur>,
    /// Counts waits, so that older alarms mean nothing.
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
    pub life: u32,
    pub frozen: Us,
    /// Spans of trouble of its own.
    pub rough: Vec<(Us, Us)>,
    pub has: (bool, bool),
    /// When the newest news will have come.
    pub last_update: Us,
    pub policy: Box<dyn Policy>,
    pub jobs: BTreeMap<RequestId, Job>,
    pub by_try: HashMap<usize, RequestId>,
    pub pool: HashMap<usize, Vec<Us>>,
}

impl World {
    /// A request came whole to a node.
    pub(super) fn asked(&mut self, n: usize, t: usize) {
        let now = self.ms();
        let tr = &self.tries[t];
        if tr.over {
            return;
        }
        let a = &self.asks[tr.ask];
        let c = &self.mix.classes[a.class];
        let asked = RequestMetadata {
            id: format!("{t:x}"),
            deadline_ms: Some((tr.deadline.saturating_sub(tr.sent)) / 1000),
            model: "m".into(),
            tokens_in: a.parts.iter().map(|p| p.tokens).sum(),
            tokens_out: 0,
            prompt_segments: a.parts.clone(),
            last_event: Some(u64::from(tr.from)).filter(|l| *l > 0),
        };
        let path = format!("/{}/x", c.name);
        let (from, x) = (tr.from, &mut self.nodes[n]);
        match x.policy.begin(&path, asked, now) {
            Err(p) => self.answer(t, p, 200 * u64::from(p.is_retryable())),
            Ok(request_id) => {
                x.by_try.insert(t, request_id);
                x.jobs.insert(
                    request_id,
                    Job {
                        attempt: t,
                        cur: None,
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

    pub(super) fn to(&mut self, t: usize, m: ToClient) {
        let at = self.now + us(self.mix.client_ms);
        self.push(at, Ev::Client(t, m));
    }

    pub(super) fn answer(&mut self, t: usize, p: ErrorCode, retry_after_ms: u64) {
        self.refusal(t, p);
        self.to(t, ToClient::Answer(p.status(), retry_after_ms));
    }

    /// The request is over at this node.
    pub(super) fn over(&mut self, n: usize, request_id: RequestId) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        x.policy.finish(request_id, now);
        if let Some(j) = x.jobs.remove(&request_id) {
            x.by_try.remove(&j.attempt);
        }
        self.wake(n);
    }

    pub(super) fn decide(&mut self, n: usize, request_id: RequestId) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        let Some(j) = x.jobs.get_mut(&request_id) else {
            return;
        };
        j.waiting = false;
        j.waits += 1;
        let (t, no, life) = (j.attempt, j.waits, x.life);
        match x.policy.pick(request_id, now) {
            Decision::Send(to) => self.send(n, request_id, &to),
            Decision::Wait(ms) => {
                j.waiting = true;
                let at = self.now + us(ms.max(1) as f64);
                self.push(at, Ev::Wake(n, life, request_id, no));
            }
            Decision::Reject(p, retry_after_ms) => {
                let (head, failed) = (j.head_sent, j.failed);
                self.over(n, request_id);
                match (head, failed) {
                    (true, _) => self.to(t, ToClient::Cut),
                    (_, true) => self.to(t, ToClient::Answer(500, 0)),
                    _ => self.answer(t, p, retry_after_ms),
                }
            }
        }
    }

    /// Its wait is over, unless it is another wait by now.
    pub(super) fn woken(&mut self, n: usize, request_id: RequestId, no: u64) {
        let j = self.nodes[n].jobs.get(&request_id);
        if j.is_some_and(|j| j.waiting && j.waits == no) {
            self.decide(n, request_id);
        }
    }

    fn wake(&mut self, n: usize) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        let life = x.life;
        let all = x.policy.take_ready(now);
        let of = |r: &RequestId| x.jobs.get(r).filter(|j| j.waiting).map(|j| (*r, j.waits));
        let all: Vec<(RequestId, u64)> = all.iter().filter_map(of).collect();
        for (request_id, no) in all {
            self.push(self.now, Ev::Wake(n, life, request_id, no));
        }
    }

    pub(super) fn outcome(&mut self, n: usize, request_id: RequestId, h: AttemptOutcome) {
        let now = self.ms();
        self.nodes[n].policy.record_outcome(request_id, h, now);
        self.wake(n);
    }

    fn send(&mut self, n: usize, request_id: RequestId, to: &Target) {
        let now = self.ms();
        let sid = self.sends.len() as u64;
        let w = self.by_name.get(&to.name).copied().unwrap_or(0);
        let zone = self.workers[w].zone;
        let x = &mut self.nodes[n];
        let Some(j) = x.jobs.get_mut(&request_id) else {
            return;
        };
        let Some(route) = x.policy.route(request_id) else {
            let t = j.attempt;
            self.over(n, request_id);
            return self.answer(t, ErrorCode::UnknownRoute, 0);
        };
        let deadline = x.policy.deadline(request_id);
        let small = route.kind == sorreldoor::configuration::hosted::Kind::Idempotent;
        let patience = match route.aim_ms {
            0 => u64::MAX / 4,
            a if small => (a * 6 / 10).max(LEAST_SMALL),
            a => a.max(LEAST_PATIENCE),
        };
        let repeatable = route.repeatable();
        j.cur = Some(Cur {
            sid,
            phase: Phase::Connect,
            stream: route.kind == sorreldoor::configuration::hosted::Kind::Stream,
            began: false,
            pause: patience,
            until: now + CONNECT_MS.min(deadline.saturating_sub(now).max(1)),
            deadline,
            gap: match route.gap_ms {
                g if g > 0 && route.resume => g.max(LEAST_PATIENCE),
                _ => u64::MAX / 4,
            },
            since: now,
            small,
        });
        let s = Send {
            node: n,
            life: x.life,
            request_id,
            attempt: j.attempt,
            worker: w,
            addr: to.addr,
            zone,
            there: None,
            doomed: false,
            sent: self.now,
            until: 0,
            priority: to.priority.unwrap_or(5),
            last: j.last,
            open: true,
            cut: false,
            headed: false,
            spoil: None,
        };
        self.sends.push(s);
        let within = if repeatable { KEEP } else { FRESH };
        if self.pooled(n, w, within) {
            self.sends[sid as usize].there = Some(w);
            return self.pass(sid);
        }
        self.tally.conns += 1;
        let at = self.now + self.delay(self.nodes[n].zone, zone);
        self.push(at, Ev::Syn(sid));
        self.tick(sid);
    }

    fn pooled(&mut self, n: usize, w: usize, within: Us) -> bool {
        let now = self.now;
        let d = self.delay(self.nodes[n].zone, self.workers[w].zone);
        let wk = &mut self.workers[w];
        let known = wk.dead.is_some_and(|t| t + d <= now);
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
    pub(super) fn pass(&mut self, sid: u64) {
        let now = self.ms();
        let s = &self.sends[sid as usize];
        let (n, zone) = (s.node, s.zone);
        let d = self.delay(self.nodes[n].zone, zone);
        let Some(c) = self.cur(sid) else { return };
        c.phase = Phase::Head;
        c.until = now.saturating_add(c.pause);
        let left = c.deadline.saturating_sub(now);
        let at = self.now + d;
        let s = &mut self.sends[sid as usize];
        (s.sent, s.until) = (self.now, at + left * 1000);
        self.tries[s.attempt].sends += 1;
        self.push(at, Ev::Work(sid));
        self.tick(sid);
    }

    pub(super) fn cur(&mut self, sid: u64) -> Option<&mut Cur> {
        let s = &self.sends[sid as usize];
        let j = self.nodes[s.node].jobs.get_mut(&s.request_id)?;
        j.cur.as_mut().filter(|c| c.sid == sid)
    }

    pub(super) fn tick(&mut self, sid: u64) {
        if let Some(c) = self.cur(sid) {
            let at = c.until.min(c.deadline) * 1000;
            self.push(at, Ev::Timer(sid));
        }
    }
}
