//! A proxy node: what the proxy does with sockets, here with events, around
//! whoever decides.

use super::policy::Policy;
use super::worker::Spoil;
use super::*;
use sorreldoor::problem::Problem;
use sorreldoor::proxy::table::{Heard, Pick, Rid, Target};
use sorreldoor::proxy::Asked;
use std::collections::BTreeMap;

/// As in the proxy, in milliseconds.
const CONNECT_MS: u64 = 400;
const LEAST_PATIENCE: u64 = 200;
/// Connections are kept for so long, and this long for what runs once.
const KEEP: Us = 4_000_000;
const FRESH: Us = 1_500_000;

/// One sending to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Send {
    pub node: usize,
    pub life: u32,
    pub rid: Rid,
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
enum Phase {
    Connect,
    Head,
    Relay,
}

#[derive(Clone, Debug)]
struct Cur {
    sid: u64,
    phase: Phase,
    stream: bool,
    began: bool,
    /// Milliseconds: patience with this worker, and its renewal; the end.
    pause: u64,
    until: u64,
    deadline: u64,
    gap: u64,
}

/// A request at a node.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    attempt: usize,
    cur: Option<Cur>,
    /// Counts waits, so that older alarms mean nothing.
    waits: u64,
    waiting: bool,
    last: u32,
    head_sent: bool,
    failed: bool,
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
    pub news: Us,
    pub policy: Box<dyn Policy>,
    pub jobs: BTreeMap<Rid, Job>,
    pub by_try: HashMap<usize, Rid>,
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
        let asked = Asked {
            id: format!("{t:x}"),
            deadline_ms: Some((tr.deadline.saturating_sub(tr.sent)) / 1000),
            model: "m".into(),
            tokens_in: a.parts.iter().map(|p| p.tokens).sum(),
            tokens_out: 0,
            parts: a.parts.clone(),
            last_event: Some(u64::from(tr.from)).filter(|l| *l > 0),
        };
        let path = format!("/{}/x", c.name);
        let (from, x) = (tr.from, &mut self.nodes[n]);
        match x.policy.begin(&path, asked, now) {
            Err(p) => self.answer(t, p, 200 * u64::from(p.again())),
            Ok(rid) => {
                x.by_try.insert(t, rid);
                x.jobs.insert(
                    rid,
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
                self.decide(n, rid);
            }
        }
    }

    fn to(&mut self, t: usize, m: ToClient) {
        let at = self.now + us(self.mix.client_ms);
        self.push(at, Ev::Client(t, m));
    }

    fn answer(&mut self, t: usize, p: Problem, again: u64) {
        self.refusal(t, p);
        self.to(t, ToClient::Answer(p.status(), again));
    }

    /// The request is over at this node.
    fn over(&mut self, n: usize, rid: Rid) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        x.policy.end(rid, now);
        if let Some(j) = x.jobs.remove(&rid) {
            x.by_try.remove(&j.attempt);
        }
        self.wake(n);
    }

    fn decide(&mut self, n: usize, rid: Rid) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        let Some(j) = x.jobs.get_mut(&rid) else {
            return;
        };
        j.waiting = false;
        j.waits += 1;
        let (t, no, life) = (j.attempt, j.waits, x.life);
        match x.policy.pick(rid, now) {
            Pick::Go(to) => self.send(n, rid, &to),
            Pick::Wait(ms) => {
                j.waiting = true;
                let at = self.now + us(ms.max(1) as f64);
                self.push(at, Ev::Wake(n, life, rid, no));
            }
            Pick::Refuse(p, again) => {
                let (head, failed) = (j.head_sent, j.failed);
                self.over(n, rid);
                match (head, failed) {
                    (true, _) => self.to(t, ToClient::Cut),
                    (_, true) => self.to(t, ToClient::Answer(500, 0)),
                    _ => self.answer(t, p, again),
                }
            }
        }
    }

    /// Its wait is over, unless it is another wait by now.
    pub(super) fn woken(&mut self, n: usize, rid: Rid, no: u64) {
        let j = self.nodes[n].jobs.get(&rid);
        if j.is_some_and(|j| j.waiting && j.waits == no) {
            self.decide(n, rid);
        }
    }

    fn wake(&mut self, n: usize) {
        let now = self.ms();
        let x = &mut self.nodes[n];
        let life = x.life;
        let all = x.policy.woken(now);
        let of = |r: &Rid| x.jobs.get(r).filter(|j| j.waiting).map(|j| (*r, j.waits));
        let all: Vec<(Rid, u64)> = all.iter().filter_map(of).collect();
        for (rid, no) in all {
            self.push(self.now, Ev::Wake(n, life, rid, no));
        }
    }

    fn heard(&mut self, n: usize, rid: Rid, h: Heard) {
        let now = self.ms();
        self.nodes[n].policy.heard(rid, h, now);
        self.wake(n);
    }

    fn send(&mut self, n: usize, rid: Rid, to: &Target) {
        let now = self.ms();
        let sid = self.sends.len() as u64;
        let w = self.by_name.get(&to.name).copied().unwrap_or(0);
        let zone = self.workers[w].zone;
        let x = &mut self.nodes[n];
        let Some(j) = x.jobs.get_mut(&rid) else {
            return;
        };
        let Some(route) = x.policy.route(rid) else {
            let t = j.attempt;
            self.over(n, rid);
            return self.answer(t, Problem::UnknownRoute, 0);
        };
        let deadline = x.policy.deadline(rid);
        let patience = match route.aim_ms {
            0 => u64::MAX / 4,
            a => (a / 2).max(LEAST_PATIENCE),
        };
        let repeatable = route.repeatable();
        j.cur = Some(Cur {
            sid,
            phase: Phase::Connect,
            stream: route.kind == sorreldoor::setup::hosted::Kind::Stream,
            began: false,
            pause: patience,
            until: now + CONNECT_MS.min(deadline.saturating_sub(now).max(1)),
            deadline,
            gap: match route.gap_ms {
                g if g > 0 && route.resume => g * 6 / 10,
                _ => u64::MAX / 4,
            },
        });
        let s = Send {
            node: n,
            life: x.life,
            rid,
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
        self.alarm(sid);
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
    fn pass(&mut self, sid: u64) {
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
        self.alarm(sid);
    }

    fn cur(&mut self, sid: u64) -> Option<&mut Cur> {
        let s = &self.sends[sid as usize];
        let j = self.nodes[s.node].jobs.get_mut(&s.rid)?;
        j.cur.as_mut().filter(|c| c.sid == sid)
    }

    fn alarm(&mut self, sid: u64) {
        if let Some(c) = self.cur(sid) {
            let at = c.until.min(c.deadline) * 1000;
            self.push(at, Ev::Timer(sid));
        }
    }

    pub(super) fn syn_ack(&mut self, sid: u64, ok: bool) {
        if self.cur(sid).is_none_or(|c| c.phase != Phase::Connect) {
            return;
        }
        match ok {
            true => self.pass(sid),
            false => self.ended(sid, Heard::NoConn),
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
    fn ended(&mut self, sid: u64, h: Heard) {
        let s = self.sends[sid as usize].clone();
        let Some(c) = self.cur(sid).cloned() else {
            return;
        };
        match h {
            Heard::NotRun(_) => self.give_back(sid),
            _ => self.drop_line(sid),
        }
        let left = h == Heard::Left;
        self.heard(s.node, s.rid, h);
        let late = self.ms() >= c.deadline;
        let Some(j) = self.nodes[s.node].jobs.get_mut(&s.rid) else {
            return;
        };
        j.cur = None;
        let head = j.head_sent;
        if left || (late && c.phase == Phase::Head && !head) {
            self.over(s.node, s.rid);
            return match left {
                true => self.to(s.attempt, ToClient::Cut),
                false => self.answer(s.attempt, Problem::DeadlinePassed, 0),
            };
        }
        self.decide(s.node, s.rid);
    }

    pub(super) fn timer(&mut self, sid: u64) {
        let (now, s) = (self.ms(), &self.sends[sid as usize]);
        let (n, rid) = (s.node, s.rid);
        let Some(c) = self.cur(sid).cloned() else {
            return;
        };
        if now < c.until.min(c.deadline) {
            return self.alarm(sid);
        }
        match c.phase {
            Phase::Connect => return self.ended(sid, Heard::NoConn),
            Phase::Head if now >= c.deadline => return self.ended(sid, Heard::Broke),
            Phase::Relay if now >= c.deadline => return self.ended(sid, Heard::Left),
            _ => {}
        }
        if c.phase == Phase::Relay && !c.stream {
            // why: once its head is there a plain answer is waited for to the end
        } else if self.nodes[n].policy.may_move(rid, now) {
            return self.ended(sid, Heard::Broke);
        }
        if let Some(c) = self.cur(sid) {
            c.until = u64::MAX / 4;
        }
        self.alarm(sid);
    }

    pub(super) fn answered(&mut self, sid: u64, a: Ans) {
        let s = self.sends[sid as usize].clone();
        let now = self.ms();
        let Some(c) = self.cur(sid) else { return };
        match a {
            Ans::Reset if c.phase == Phase::Connect => self.ended(sid, Heard::NoConn),
            Ans::Reset | Ans::Garbled => self.ended(sid, Heard::Broke),
            Ans::Misdirected => self.ended(sid, Heard::Misdirected),
            Ans::NotRun(l) => self.ended(sid, Heard::NotRun(Some(l))),
            Ans::Head(l) => {
                c.phase = Phase::Relay;
                c.until = now.saturating_add(c.gap);
                let h = Heard::Head {
                    load: Some(l),
                    cold_ms: None,
                };
                self.heard(s.node, s.rid, h);
                self.alarm(sid);
            }
            Ans::Event(no) => {
                c.until = now.saturating_add(c.gap);
                let first = !std::mem::replace(&mut c.began, true);
                let Some(j) = self.nodes[s.node].jobs.get_mut(&s.rid) else {
                    return;
                };
                // why: what a worker repeats the caller has already
                if no > j.last {
                    (j.last, j.head_sent) = (no, true);
                    self.to(s.attempt, ToClient::Event(no, s.worker));
                }
                if first {
                    self.heard(s.node, s.rid, Heard::First);
                }
            }
            Ans::End => {
                self.give_back(sid);
                self.heard(s.node, s.rid, Heard::Done(200));
                self.over(s.node, s.rid);
                self.to(s.attempt, ToClient::End);
            }
            Ans::Fail if c.phase == Phase::Relay => self.ended(sid, Heard::Broke),
            Ans::Fail => self.failed(sid),
        }
    }

    /// A worker's own failure is its answer, unless another may do better.
    fn failed(&mut self, sid: u64) {
        let s = self.sends[sid as usize].clone();
        let now = self.ms();
        let again = self.nodes[s.node].policy.may_move(s.rid, now);
        self.give_back(sid);
        self.heard(s.node, s.rid, Heard::Done(504));
        let Some(j) = self.nodes[s.node].jobs.get_mut(&s.rid) else {
            return;
        };
        (j.cur, j.failed) = (None, true);
        if again || j.head_sent {
            return self.decide(s.node, s.rid);
        }
        self.over(s.node, s.rid);
        self.to(s.attempt, ToClient::Answer(504, 0));
    }

    /// The caller has gone.
    pub(super) fn gone(&mut self, n: usize, t: usize) {
        let Some(rid) = self.nodes[n].by_try.get(&t).copied() else {
            return;
        };
        let cur = self.nodes[n].jobs.get(&rid).and_then(|j| j.cur.clone());
        if let Some(c) = cur {
            self.drop_line(c.sid);
            let h = match c.phase {
                Phase::Connect => Heard::NoConn,
                _ => Heard::Left,
            };
            // why: before the request has gone out there is nothing to leave
            if h == Heard::Left {
                self.heard(n, rid, h);
            }
        }
        self.over(n, rid);
    }
}
