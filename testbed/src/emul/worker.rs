//! Workers' processes: connections, queues and answers, and their lives.

use super::engine::{Engine, Out, Task};
use super::*;
use std::collections::VecDeque;

pub(crate) enum Body {
    Model(Box<Engine>),
    Plain { running: u32, queue: VecDeque<u64> },
}

/// How a worker spoils some answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Spoil {
    Lost,
    Garbled,
}

/// One life of a worker.
pub(crate) struct Wk {
    pub name: String,
    pub addr: SocketAddr,
    pub svc: usize,
    pub zone: u16,
    pub region: u8,
    pub speed: f64,
    pub slots: u32,
    pub body: Body,
    pub dead: Option<Us>,
    /// Says nothing until then.
    pub dark: Us,
    pub full: Us,
    pub spoil: Option<(Spoil, f64, Us)>,
    /// Spans in which it was cold.
    pub cold: Vec<(Us, Us)>,
    pub lately: VecDeque<Us>,
    pub conns: u32,
    /// On the platform's list, as leaving, and gone at.
    pub listed: bool,
    pub leaving: Option<Us>,
    pub leaves: Option<Us>,
    /// From then on nothing may reach it.
    pub shut: Option<Us>,
}

impl World {
    pub(super) fn load(&self, i: usize) -> LoadReport {
        let w = &self.workers[i];
        match &w.body {
            Body::Model(e) => LoadReport {
                running: e.running(),
                waiting: e.waiting(),
                slots: w.slots,
            },
            Body::Plain { running, queue } => LoadReport {
                running: *running,
                waiting: queue.len() as u32,
                slots: w.slots,
            },
        }
    }

    pub(super) fn syn(&mut self, sid: u64) {
        let s = &self.sends[sid as usize];
        let (from, to) = (self.nodes[s.node].zone, s.zone);
        let Some(i) = self.by_addr.get(&s.addr).copied() else {
            let at = self.now + self.delay(from, to);
            return self.push(at, Ev::SynAck(sid, false));
        };
        let w = &mut self.workers[i];
        if w.dark > self.now {
            return;
        }
        let max = self.mix.services[w.svc].max_conns;
        self.sends[sid as usize].there = Some(i);
        self.sends[sid as usize].doomed = w.conns >= max;
        w.conns += 1;
        let at = self.now + us(1.0) + self.delay(from, to);
        self.push(at, Ev::SynAck(sid, true));
    }

    /// The bytes of a request come to a worker.
    pub(super) fn work(&mut self, sid: u64) {
        let s = self.sends[sid as usize].clone();
        let Some(i) = s.there else { return };
        if self.workers[i].dead.is_some() || s.doomed {
            return self.reply(sid, Ans::Reset);
        }
        if self.workers[i].dark > self.now || s.cut {
            return;
        }
        let misdirected = s.worker != i;
        self.arrivals.push(Arrival {
            sent: s.sent,
            at: self.now,
            node: s.node,
            worker: i,
            attempt: s.attempt,
            misdirected,
        });
        if misdirected {
            return self.reply(sid, Ans::Misdirected);
        }
        self.tally.arrived(
            self.nodes[s.node].zone == self.workers[i].zone,
            self.nodes[s.node].region == self.workers[i].region,
        );
        if self.falls(i) {
            return self.crash(i, Some(2.0), false);
        }
        let m = self.mix.clone();
        let x = &m.services[self.workers[i].svc];
        let load = self.load(i);
        let class = &m.classes[self.asks[self.tries[s.attempt].ask].class];
        let a = &self.asks[self.tries[s.attempt].ask];
        let tokens = a.events * x.engine.as_ref().map_or(1, |e| e.stride);
        let large = match &self.workers[i].body {
            Body::Model(e) => e.too_large(&a.parts, tokens),
            _ => false,
        };
        if self.workers[i].full > self.now || load.waiting >= x.queue || large {
            return self.reply(sid, Ans::NotRun(load));
        }
        if let Some((k, share, until)) = self.workers[i].spoil {
            let hit = until > self.now && mix::unit(&mut self.rng) < share;
            self.sends[sid as usize].spoil = hit.then_some(k);
        }
        match &mut self.workers[i].body {
            Body::Model(e) => {
                let at = self.now + us(e.mix.first_ms);
                self.push(at, Ev::Join(sid));
            }
            Body::Plain { running, queue } => {
                if *running >= x.slots {
                    queue.push_back(sid);
                } else {
                    *running += 1;
                    self.start_plain(sid, class.work_ms);
                }
            }
        }
    }

    /// Whether a cold worker takes more than it can bear.
    fn falls(&mut self, i: usize) -> bool {
        let now = self.now;
        let w = &mut self.workers[i];
        let per_s = self.mix.services[w.svc].warmup_per_s;
        w.lately.push_back(now);
        while w.lately.front().is_some_and(|t| t + us(1000.0) < now) {
            w.lately.pop_front();
        }
        let cold = w.cold.iter().any(|(a, b)| (*a..*b).contains(&now));
        // it falls over at well above what the bound lets through
        cold && per_s > 0.0 && w.lately.len() as f64 > per_s * 2.5 + 10.0
    }

    fn start_plain(&mut self, sid: u64, d: Dist) {
        let s = &self.sends[sid as usize];
        let (t, i) = (s.attempt, s.worker);
        self.ran(t, sid);
        let ms = d.draw(&mut self.rng) * self.workers[i].speed;
        let at = self.now + us(ms);
        self.push(at, Ev::Served(sid));
    }

    /// A worker began work on it.
    fn ran(&mut self, t: usize, sid: u64) {
        if !self.tries[t].ran.contains(&sid) {
            self.tries[t].ran.push(sid);
        }
    }

    /// Plain work is done.
    pub(super) fn served(&mut self, sid: u64) {
        let s = self.sends[sid as usize].clone();
        let i = s.worker;
        if self.workers[i].dead.is_some() {
            return;
        }
        let now = self.now;
        let Body::Plain { running, queue } = &mut self.workers[i].body else {
            return;
        };
        *running -= 1;
        let mut next = None;
        let mut over = Vec::new();
        while let Some(n) = queue.pop_front() {
            match &self.sends[n as usize] {
                s if s.cut => {}
                s if s.until <= now => over.push(n),
                _ => {
                    next = Some(n);
                    break;
                }
            }
        }
        *running += u32::from(next.is_some());
        let load = self.load(i);
        over.into_iter()
            .for_each(|n| self.reply(n, Ans::NotRun(load)));
        if let Some(n) = next {
            let c = self.asks[self.tries[self.sends[n as usize].attempt].ask].class;
            self.start_plain(n, self.mix.classes[c].work_ms);
        }
        if s.until <= now {
            return self.reply(sid, Ans::Fail);
        }
        self.reply(sid, Ans::Head(load));
        self.reply(sid, Ans::End);
    }

    /// A prompt is ready for the batch.
    pub(super) fn join(&mut self, sid: u64) {
        let s = self.sends[sid as usize].clone();
        let i = s.worker;
        if s.cut || self.workers[i].dead.is_some() {
            return;
        }
        let a = &self.asks[self.tries[s.attempt].ask];
        let Body::Model(e) = &mut self.workers[i].body else {
            return;
        };
        e.add(Task {
            sid,
            priority: s.priority,
            order: self.now << 20 | (sid & 0xf_ffff),
            parts: a.parts.clone(),
            from: s.last * e.mix.stride,
            total: a.events * e.mix.stride,
            made: 0,
            until: s.until,
        });
        if !e.stepping {
            self.plan(i);
        }
    }

    fn plan(&mut self, i: usize) {
        let w = &mut self.workers[i];
        let Body::Model(e) = &mut w.body else { return };
        let ms = e.plan();
        e.stepping = ms.is_some();
        if let Some(ms) = ms {
            let at = self.now + us(ms * w.speed).max(1);
            self.push(at, Ev::Step(i));
        }
    }

    pub(super) fn stepped(&mut self, i: usize) {
        let now = self.now;
        let w = &mut self.workers[i];
        if w.dead.is_some() {
            return;
        }
        let Body::Model(e) = &mut w.body else { return };
        let (early, was) = (e.mix.early_head, e.put_back);
        let outs = e.finish(now);
        self.tally.put_back += e.put_back - was;
        let load = self.load(i);
        for o in outs {
            match o {
                Out::In(sid) if early && !self.sends[sid as usize].headed => {
                    self.head(sid, load);
                }
                Out::In(_) => {}
                Out::Began(sid) => {
                    self.ran(self.sends[sid as usize].attempt, sid);
                    if !self.sends[sid as usize].headed {
                        self.head(sid, load);
                    }
                }
                Out::Event(sid, no, end) => {
                    self.reply(sid, Ans::Event(no));
                    if end {
                        self.reply(sid, Ans::End);
                    }
                }
                Out::Over(sid, began) if began => self.reply(sid, Ans::Fail),
                Out::Over(sid, _) => self.reply(sid, Ans::NotRun(load)),
                Out::Read(sid, p) => self.note_read(sid, i, p),
            }
        }
        self.plan(i);
    }

    fn head(&mut self, sid: u64, load: LoadReport) {
        self.sends[sid as usize].headed = true;
        self.reply(sid, Ans::Head(load));
    }

    fn note_read(&mut self, sid: u64, i: usize, p: sorreldoor::proxy::PromptSegment) {
        let a = &self.asks[self.tries[self.sends[sid as usize].attempt].ask];
        let shared = a.parts.last().is_some_and(|l| l.id != p.id);
        if shared && !self.read.insert((self.workers[i].svc, p.id)) {
            self.tally.reread += u64::from(p.tokens);
        }
        self.tally.read += u64::from(p.tokens);
    }

    /// Sends something back on the request's connection.
    fn reply(&mut self, sid: u64, a: Ans) {
        let s = &self.sends[sid as usize];
        let node = s.node;
        let Some(i) = s.there else { return };
        if s.cut {
            return;
        }
        if self.workers[i].dark > self.now {
            // what it leaves out here must not be followed by the rest
            self.sends[sid as usize].cut = true;
            return;
        }
        let a = match (s.spoil, a) {
            (Some(Spoil::Lost), Ans::Head(_) | Ans::Event(_) | Ans::End) => Ans::Reset,
            (Some(Spoil::Garbled), Ans::Head(_) | Ans::Event(_) | Ans::End) => Ans::Garbled,
            (_, a) => a,
        };
        let at = self.now + self.delay(self.workers[i].zone, self.nodes[node].zone);
        self.push(at, Ev::Ans(sid, a));
    }

    /// The node has closed the connection.
    pub(super) fn closed(&mut self, sid: u64) {
        self.sends[sid as usize].cut = true;
        let s = self.sends[sid as usize].clone();
        let Some(i) = s.there else { return };
        let w = &mut self.workers[i];
        w.conns = w.conns.saturating_sub(1);
        match &mut w.body {
            Body::Model(e) if s.worker == i => e.drop_task(sid),
            Body::Plain { queue, .. } => queue.retain(|q| *q != sid),
            _ => {}
        }
    }
}
