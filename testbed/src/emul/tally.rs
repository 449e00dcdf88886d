//! The figures of a run.

use super::client::End;
use super::*;
use sorreldoor::error::ErrorCode;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub asked: u64,
    pub served: u64,
    /// Served, but later than the aim or with too long a pause.
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    /// Milliseconds to the first event or the whole answer, sorted.
    pub first: Vec<f64>,
    /// The longest pause within a stream, in milliseconds.
    pub pause: f64,
    /// The pauses of streams at their worst, in milliseconds, sorted.
    pub pauses: Vec<f64>,
    /// By kind of request: asked, served, and in time.
    pub by_kind: Vec<(String, [u64; 3])>,
    /// Tokens of prompts read, and of shared parts that some worker had read.
    pub read: u64,
    pub reread: u64,
    /// Sendings within a zone, to another zone, to another region.
    pub here: u64,
    pub zones: u64,
    pub regions: u64,
    /// Sendings beyond the first of a try, and refusals of nodes.
    pub retries: u64,
    pub refusals: u64,
    /// Of them while under half of the places were taken, and later than a
    /// quarter of the aim.
    pub idle_refusals: u64,
    pub late_refusals: u64,
    /// Nodes' own answers by kind of request and problem: all, and while idle.
    pub why: BTreeMap<String, (u64, u64)>,
    pub conns: u64,
    pub put_back: u64,
    /// Served in time, of those asked in each second.
    pub seconds: Vec<(u32, u32)>,
    /// Virtual milliseconds until the last event.
    pub lasted: u64,
}

impl std::fmt::Display for Tally {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "asked {} served {} late {} refused {} failed {} retries {} refusals {} first {:.0}/{:.0}/{:.0}",
            self.asked,
            self.served,
            self.late,
            self.refused,
            self.failed,
            self.retries,
            self.refusals,
            self.first_at(0.5),
            self.first_at(0.95),
            self.first_at(0.99)
        )
    }
}

impl Tally {
    pub(super) fn wall(&mut self, now: Us) {
        self.lasted = now / 1000;
    }

    pub(super) fn arrived(&mut self, zone: bool, region: bool) {
        match (zone, region) {
            (true, _) => self.here += 1,
            (_, true) => self.zones += 1,
            _ => self.regions += 1,
        }
    }

    /// The value below which a share `q` of the first events lies.
    pub fn first_at(&self, q: f64) -> f64 {
        at(&self.first, q)
    }

    pub fn pause_at(&self, q: f64) -> f64 {
        at(&self.pauses, q)
    }

    /// Percentages by kind of request: served, and in time.
    pub fn kinds(&self) -> Vec<(&str, f64, f64)> {
        let of = |a: u64, b: u64| 100.0 * a as f64 / b.max(1) as f64;
        let each = self.by_kind.iter();
        each.map(|(n, k)| (n.as_str(), of(k[1], k[0]), of(k[2], k[0])))
            .collect()
    }

    /// Adds the figures of another run; `sort` once after the last.
    pub fn add(&mut self, o: Tally) {
        let sums: [(&mut u64, u64); 17] = [
            (&mut self.asked, o.asked),
            (&mut self.served, o.served),
            (&mut self.late, o.late),
            (&mut self.refused, o.refused),
            (&mut self.failed, o.failed),
            (&mut self.read, o.read),
            (&mut self.reread, o.reread),
            (&mut self.here, o.here),
            (&mut self.zones, o.zones),
            (&mut self.regions, o.regions),
            (&mut self.retries, o.retries),
            (&mut self.refusals, o.refusals),
            (&mut self.idle_refusals, o.idle_refusals),
            (&mut self.late_refusals, o.late_refusals),
            (&mut self.conns, o.conns),
            (&mut self.put_back, o.put_back),
            (&mut self.lasted, o.lasted),
        ];
        sums.into_iter().for_each(|(a, b)| *a += b);
        for (k, n) in o.why {
            let w = self.why.entry(k).or_default();
            *w = (w.0 + n.0, w.1 + n.1);
        }
        self.first.extend(o.first);
        self.pauses.extend(o.pauses);
        self.pause = self.pause.max(o.pause);
        self.seconds.extend(o.seconds);
        if self.by_kind.is_empty() {
            self.by_kind = o.by_kind;
            return;
        }
        for (a, b) in self.by_kind.iter_mut().zip(o.by_kind) {
            (0..3).for_each(|i| a.1[i] += b.1[i]);
        }
    }

    pub fn sort(&mut self) {
        self.first.sort_by(f64::total_cmp);
        self.pauses.sort_by(f64::total_cmp);
    }

    /// The lowest share in time over `n` seconds in a row.
    pub fn worst(&self, n: usize) -> f64 {
        let of = |w: &[(u32, u32)]| {
            let (a, b) = w.iter().fold((0, 0), |x, y| (x.0 + y.0, x.1 + y.1));
            f64::from(a) / f64::from(b.max(1))
        };
        self.seconds.windows(n).map(of).fold(1.0, f64::min)
    }
}

fn at(v: &[f64], q: f64) -> f64 {
    let i = ((v.len() as f64 * q) as usize).min(v.len().saturating_sub(1));
    v.get(i).copied().unwrap_or(0.0)
}

impl World {
    /// A node's own refusal of a try.
    pub(super) fn refusal(&mut self, t: usize, p: ErrorCode) {
        let class = self.asks[self.tries[t].ask].class;
        let c = &self.mix.classes[class];
        let key = format!("{} {}", c.name, p.code());
        let why = self.tally.why.entry(key).or_default();
        why.0 += 1;
        if p.status() != 503 {
            return;
        }
        self.tally.refusals += 1;
        if self.now - self.tries[t].sent > us(c.aim_ms as f64 / 4.0) + 1000 {
            self.tally.late_refusals += 1;
        }
        let svc = c.service;
        let fit = |i: &usize| {
            let w = &self.workers[*i];
            w.svc == svc && w.dead.is_none() && w.leaving.is_none()
        };
        let all = (0..self.workers.len()).filter(fit).map(|i| self.load(i));
        let total = all.fold(LoadReport::default(), |sum, load| LoadReport {
            running: sum.running + load.running,
            waiting: sum.waiting + load.waiting,
            slots: sum.slots + load.slots,
        });
        if total.running * 2 < total.slots && total.waiting == 0 {
            self.tally.idle_refusals += 1;
            let key = format!("{} {}", c.name, p.code());
            self.tally.why.entry(key).or_default().1 += 1;
        }
    }

    /// The troubles of this run, and refusals while places were free.
    pub fn played(&self) -> String {
        let of = |t: &Trouble| {
            let s = &self.mix.services[t.service].name;
            let (k, n, x, z) = (&t.kind, t.count, t.x, t.zone);
            format!(
                "{k} at {} for {} of {s} n {n} x {x} zone {z}",
                t.at_s, t.for_s
            )
        };
        let all: Vec<String> = self.mix.troubles.iter().map(of).collect();
        format!("{}; own answers {:?}", all.join("; "), self.tally.why)
    }

    /// Requests that were not served: kind, when, how they ended, and the
    /// sendings of their tries.
    pub fn unserved(&self) -> Vec<String> {
        let bad = |a: &&Ask| !matches!(a.end, Some(End::Served(_)));
        let asks = self.asks.iter().enumerate();
        let of = |(i, a): (usize, &Ask)| {
            let tries = self.tries.iter().filter(|t| t.ask == i);
            let tries: Vec<String> = tries
                .map(|t| format!("{} us, {} sends, {} ran", t.sent, t.sends, t.ran.len()))
                .collect();
            let tokens: u32 = a.parts.iter().map(|p| p.tokens).sum();
            format!(
                "{} at {} us, zone {}, {tokens} tokens, {} of {} events, {:?}: {tries:?}",
                self.mix.classes[a.class].name, a.at, a.zone, a.got, a.events, a.end
            )
        };
        asks.filter(|(_, a)| bad(a)).map(of).collect()
    }

    /// The figures, once a run is over.
    pub fn tally(&self) -> Tally {
        let mut t = self.tally.clone();
        let m = &self.mix;
        let ms = |x: Us| x as f64 / 1000.0;
        let mut kinds = vec![[0u64; 3]; m.classes.len()];
        t.seconds = vec![(0, 0); m.seconds.ceil() as usize + 1];
        for a in &self.asks {
            let c = &m.classes[a.class];
            let s = ((a.at.saturating_sub(us(10_000.0))) / 1_000_000) as usize;
            let s = s.min(t.seconds.len() - 1);
            t.asked += 1;
            t.seconds[s].1 += 1;
            kinds[a.class][0] += 1;
            match a.end {
                Some(End::Served(_)) => {
                    t.served += 1;
                    kinds[a.class][1] += 1;
                    let first = ms(a.first.unwrap_or(a.at) - a.at);
                    let pause = ms(a.pause);
                    let late = first > c.aim_ms as f64 || (c.gap_ms > 0 && pause > c.gap_ms as f64);
                    t.late += u64::from(late);
                    kinds[a.class][2] += u64::from(!late);
                    t.seconds[s].0 += u32::from(!late);
                    t.first.push(first);
                    if c.kind == "stream" {
                        t.pauses.push(pause);
                    }
                }
                Some(End::Refused) => t.refused += 1,
                _ => t.failed += 1,
            }
        }
        t.sort();
        t.pause = t.pauses.last().copied().unwrap_or(0.0);
        let beyond = |x: &Try| u64::from(x.sends.saturating_sub(1));
        t.retries = self.tries.iter().map(beyond).sum();
        let named = kinds.into_iter().zip(&m.classes);
        t.by_kind = named.map(|(k, c)| (c.name.clone(), k)).collect();
        t
    }
}
