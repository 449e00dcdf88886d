//! Callers: what they ask, how long they wait, and when they come back.

use super::mix::{unit, ClassMix};
use super::*;
use sorreldoor::proxy::PromptSegment;

/// What one caller wants, over all its tries.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub class: usize,
    pub zone: usize,
    pub at: Us,
    pub parts: Vec<PromptSegment>,
    pub events: u32,
    /// Events it has, when the first came, the last, and the longest pause.
    pub got: u32,
    pub first: Option<Us>,
    pub last: Us,
    pub pause: Us,
    pub tries: u32,
    pub end: Option<End>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    Served(Us),
    Refused,
    Failed,
}

/// One try, under an id of its own.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    pub ask: usize,
    pub node: usize,
    pub life: u32,
    pub sent: Us,
    pub deadline: Us,
    /// It goes on behind this event.
    pub from: u32,
    pub got: u32,
    pub last_heard: Us,
    pub over: bool,
    pub refused: bool,
    pub sends: u32,
    /// The sendings that ran, and those that arrived.
    pub ran: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ToClient {
    /// An event, and the worker it is of.
    Event(u32, usize),
    End,
    Answer(u16, u64),
    Cut,
}

impl World {
    /// Requests a second in a zone, now and at most.
    fn rate(&self, z: usize) -> (f64, f64) {
        let m = &self.mix;
        let all = |f: &dyn Fn(usize) -> f64| -> f64 {
            let c = m.classes.iter().enumerate();
            c.map(|(i, c)| c.per_s * f(i)).sum::<f64>() * m.load * m.share[z]
        };
        let t = self.now as f64 / 1e6 / m.period_s.max(1.0) + f64::from(m.zones[z]) * 0.5;
        let wave = 1.0 + m.swing * (t * std::f64::consts::TAU).sin();
        let top = all(&|_| 8.0) * (1.0 + m.swing);
        (all(&|i| self.crowd[i]) * wave, top)
    }

    pub(super) fn next_ask(&mut self, z: usize) {
        let (rate, top) = self.rate(z);
        if self.now >= self.end() || top <= 0.0 {
            return;
        }
        if unit(&mut self.asking) * top < rate {
            self.new_ask(z);
        }
        let gap = -unit(&mut self.asking).ln() / top;
        self.push(self.now + us(gap * 1000.0), Ev::Next(z));
    }

    fn new_ask(&mut self, z: usize) {
        let m = self.mix.clone();
        let weight = |i: usize| m.classes[i].per_s * self.crowd[i];
        let all: f64 = (0..m.classes.len()).map(weight).sum();
        let mut at = unit(&mut self.asking) * all;
        let class = (0..m.classes.len()).find(|i| {
            at -= weight(*i);
            at <= 0.0
        });
        let class = class.unwrap_or(0);
        let c = &m.classes[class];
        let stream = c.kind == "stream";
        let parts = match stream {
            true => self.parts(class, c),
            false => Vec::new(),
        };
        let events = match stream {
            true => (c.events.draw(&mut self.asking).round() as u32).max(1),
            false => 1,
        };
        let i = self.asks.len();
        self.asks.push(Ask {
            class,
            zone: self.moved[z],
            at: self.now,
            parts,
            events,
            got: 0,
            first: None,
            last: self.now,
            pause: 0,
            tries: 0,
            end: None,
        });
        self.attempt(i);
    }

    fn parts(&mut self, class: usize, c: &ClassMix) -> Vec<PromptSegment> {
        let mut out = Vec::new();
        let mut thing = 0u64;
        // the deepest part decides, and those before it hang on it
        let n = c.parts.last().map_or(0, |p| p.things.max(1));
        if let Some(p) = c.parts.last() {
            let u = unit(&mut self.asking);
            let x = u.powf(1.0 / (1.0 - p.skew.min(0.9)));
            thing = ((x * f64::from(n)) as u64).min(u64::from(n) - 1);
        }
        for (level, p) in c.parts.iter().enumerate() {
            let at = thing % u64::from(p.things.max(1));
            let id = (class as u64 + 1) << 56 | (level as u64 + 1) << 48 | at;
            let mut own = Rand::new(id);
            let tokens = p.tokens.draw(&mut own).max(1.0) as u32;
            out.push(PromptSegment { id, tokens });
        }
        let tokens = c.own.draw(&mut self.asking).max(1.0) as u32;
        let id = 1 << 60 | self.asks.len() as u64;
        out.push(PromptSegment { id, tokens });
        out
    }

    /// A node for a caller of this zone, as the directory has them.
    fn choose(&mut self, z: usize, but: &[usize]) -> Option<usize> {
        let m = &self.mix;
        let fit = |near: u8| {
            let f = |n: &&usize| {
                let x = &self.nodes[**n];
                !but.contains(n)
                    && match near {
                        0 => usize::from(x.zone) == z,
                        1 => x.region == m.zones[z],
                        _ => true,
                    }
            };
            self.ready.iter().filter(f).copied().collect::<Vec<_>>()
        };
        let all = (0..3).map(fit).find(|v| !v.is_empty())?;
        Some(all[self.rng.below(all.len() as u64) as usize])
    }

    fn attempt(&mut self, i: usize) {
        let (z, class) = (self.asks[i].zone, self.asks[i].class);
        let deadline = self.asks[i].at + us(self.mix.classes[class].deadline_ms as f64);
        let mut failed = Vec::new();
        let mut at = self.now + us(self.mix.client_ms);
        let node = loop {
            let Some(n) = self.choose(z, &failed) else {
                self.asks[i].end = Some(End::Failed);
                return;
            };
            if self.nodes[n].up {
                break n;
            }
            // nothing listens there, and the caller knows at once
            failed.push(n);
            at += 2 * us(self.mix.client_ms);
        };
        self.asks[i].tries += 1;
        let t = self.tries.len();
        let from = self.asks[i].got;
        self.tries.push(Try {
            ask: i,
            node,
            life: self.nodes[node].life,
            sent: self.now,
            deadline,
            from,
            got: from,
            last_heard: self.now,
            over: false,
            refused: false,
            sends: 0,
            ran: Vec::new(),
        });
        let life = self.nodes[node].life;
        self.push(at, Ev::Ask(node, life, t));
        let after = self.silence(t).min(deadline);
        self.push(after, Ev::Patience(t));
    }

    /// When a caller takes silence for the end.
    fn silence(&self, t: usize) -> Us {
        let tr = &self.tries[t];
        let c = &self.mix.classes[self.asks[tr.ask].class];
        let ms = match c.kind.as_str() {
            "stream" => 2000.max(4 * c.aim_ms).max(8 * c.gap_ms),
            _ => 1 << 32,
        };
        tr.last_heard + us(ms as f64)
    }

    pub(super) fn patience(&mut self, t: usize) {
        let tr = &self.tries[t];
        if tr.over {
            return;
        }
        let at = self.silence(t).min(tr.deadline);
        if self.now < at {
            return self.push(at, Ev::Patience(t));
        }
        let (n, life) = (tr.node, tr.life);
        self.judge_held(t);
        self.tries[t].over = true;
        let gone = self.now + us(self.mix.client_ms);
        self.push(gone, Ev::Gone(n, life, t));
        self.next_try(t, false, 0);
    }

    /// Comes back if it may and has the time.
    fn next_try(&mut self, t: usize, promised: bool, retry_after_ms: u64) {
        let i = self.tries[t].ask;
        let c = &self.mix.classes[self.asks[i].class];
        let deadline = self.tries[t].deadline;
        let left = deadline.saturating_sub(self.now);
        let pause = (retry_after_ms * 1000).min(left / 3).max(1000);
        let may = promised || c.repeatable();
        if may && self.asks[i].tries <= c.tries && left > 2 * pause {
            return self.act(self.now + pause, move |w| w.attempt(i));
        }
        self.asks[i].end = Some(match promised {
            true => End::Refused,
            false => End::Failed,
        });
    }

    pub(super) fn client_hears(&mut self, t: usize, m: ToClient) {
        if self.tries[t].over {
            return;
        }
        let now = self.now;
        let i = self.tries[t].ask;
        self.tries[t].last_heard = now;
        match m {
            ToClient::Event(no, _) => {
                if no != self.tries[t].got + 1 {
                    let got = self.tries[t].got;
                    self.wrong.insert(format!("ORDER: event {no} after {got}"));
                }
                self.tries[t].got = no;
                let a = &mut self.asks[i];
                match a.first {
                    Some(_) => a.pause = a.pause.max(now - a.last),
                    None => a.first = Some(now),
                }
                (a.got, a.last) = (no, now);
            }
            ToClient::End => {
                self.tries[t].over = true;
                let a = &mut self.asks[i];
                let stream = self.mix.classes[a.class].kind == "stream";
                if stream && a.got != a.events {
                    let s = format!("ORDER: ended after {} of {}", a.got, a.events);
                    self.wrong.insert(s);
                }
                a.first.get_or_insert(now);
                a.end = Some(End::Served(now));
            }
            ToClient::Answer(status, retry_after_ms) => {
                self.tries[t].over = true;
                let promised = matches!(status, 503 | 429);
                self.tries[t].refused = promised;
                self.judge_status(t, status);
                if matches!(status, 400..=404) {
                    self.asks[i].end = Some(End::Failed);
                    return;
                }
                self.next_try(t, promised, retry_after_ms);
            }
            ToClient::Cut => {
                self.tries[t].over = true;
                self.next_try(t, false, 0);
            }
        }
    }
}
