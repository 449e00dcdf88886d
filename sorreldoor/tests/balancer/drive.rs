//! Many nodes' tables and some workers, together in virtual time.

use super::marks::Rand;
use super::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};

/// One kind of request, and how many come in a second.
#[derive(Clone)]
pub struct Flow {
    pub path: &'static str,
    pub per_s: f64,
    /// Shared parts to choose among, their tokens, and the request's own.
    pub things: u64,
    pub shared: u32,
    pub own: u32,
    pub out_ms: u64,
    pub from: u64,
    pub to: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Back {
    pub slots: u32,
    pub running: u32,
    pub queue: VecDeque<(usize, RequestId, u64, u64)>,
    pub kept: HashSet<u64>,
    pub reader_free: u64,
    /// Arrivals.
    pub came: Vec<u64>,
    /// Chance that a request breaks, is turned away, or finds no connection.
    pub broke: f64,
    pub away: f64,
    pub dead: f64,
}

impl Back {
    fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            slots: self.slots,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ev {
    Come(usize),
    Reach(usize, RequestId, u32),
    Head(usize, RequestId, u32),
    End(usize, RequestId, u32),
    Wake(usize),
    Break(usize, RequestId, u32),
    Again(usize, RequestId),
    Free(u32),
    WorkerRegistry,
}

pub struct Drive {
    pub nodes: Vec<Balancer>,
    /// Each node has a clock of its own.
    pub skew: Vec<u64>,
    pub region: Vec<u8>,
    pub list: Vec<Worker>,
    pub backs: Vec<Back>,
    pub flows: Vec<Flow>,
    pub rand: Rand,
    pub now: u64,
    evs: BinaryHeap<Reverse<(u64, u64, Ev)>>,
    seq: u64,
    /// By node and request: arrivals so far, parts, out_ms.
    open: BTreeMap<(usize, RequestId), (u32, Vec<PromptSegment>, u64)>,
    pub asked: Vec<u64>,
    pub further: Vec<u64>,
    pub served: u64,
    pub refused: u64,
    /// Tokens of shared parts sent, and those that had been read elsewhere or before.
    pub shared: u64,
    pub read: u64,
    pub reread: u64,
    pub firsts: Vec<u64>,
    seen: HashSet<u64>,
    waiting: HashSet<(usize, RequestId)>,
    pub round_robin: bool,
    turn: usize,
}

const STEP_MS: f64 = 0.02;

impl Drive {
    pub fn new(n: usize, seed: u64, h: Arc<Hosted>, list: Vec<Worker>) -> Drive {
        let mut rand = Rand(seed * 2 + 1);
        let zones: Vec<u16> = (0..n).map(|i| (i % 3) as u16).collect();
        let names: Vec<(String, u16)> = (0..n).map(|i| (format!("n{i}"), zones[i])).collect();
        let skew: Vec<u64> = (0..n).map(|_| rand.below(1_000_000)).collect();
        let nodes = (0..n)
            .map(|i| {
                let mut t = Balancer::new(place(&names[i].0, zones[i]), bounds(), seed);
                t.apply_configuration(h.clone(), skew[i]);
                t.update_nodes(names.clone());
                t.update_registry(&registry(1, list.clone()), skew[i]);
                t
            })
            .collect();
        let backs = list
            .iter()
            .map(|w| Back {
                slots: w.slots,
                ..Back::default()
            })
            .collect();
        Drive {
            nodes,
            skew,
            region: zones.iter().map(|z| REGIONS[*z as usize]).collect(),
            list,
            backs,
            flows: Vec::new(),
            rand,
            now: 0,
            evs: BinaryHeap::new(),
            seq: 0,
            open: BTreeMap::new(),
            asked: Vec::new(),
            further: Vec::new(),
            served: 0,
            refused: 0,
            shared: 0,
            read: 0,
            reread: 0,
            firsts: Vec::new(),
            seen: HashSet::new(),
            waiting: HashSet::new(),
            round_robin: false,
            turn: 0,
        }
    }

    pub fn put(&mut self, at: u64, e: Ev) {
        self.seq += 1;
        self.evs.push(Reverse((at, self.seq, e)));
    }

    /// Plays until `end`; the list goes out to all nodes at `WorkerRegistry` events.
    pub fn run(&mut self, end: u64, mut on_list: impl FnMut(&mut Drive)) {
        for f in 0..self.flows.len() {
            let at = self.flows[f].from + self.rand.below(20);
            self.put(at, Ev::Come(f));
        }
        for i in 0..self.nodes.len() {
            self.put(0, Ev::Wake(i));
        }
        while let Some(Reverse((at, _, e))) = self.evs.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match e {
                Ev::Come(f) => self.come(f),
                Ev::Reach(n, r, w) => self.reach(n, r, w),
                Ev::Head(n, r, w) => {
                    let b = &self.backs[w as usize];
                    let load = Some(b.load());
                    let slow_start_ms = None;
                    self.record_outcome(
                        n,
                        r,
                        AttemptOutcome::HeadReceived {
                            load,
                            slow_start_ms,
                        },
                    );
                    self.record_outcome(n, r, AttemptOutcome::FirstEvent);
                }
                Ev::End(n, r, w) => {
                    self.record_outcome(n, r, AttemptOutcome::Completed(200));
                    self.over(n, r);
                    self.served += 1;
                    self.leave(w);
                }
                Ev::Break(n, r, w) => {
                    self.record_outcome(n, r, AttemptOutcome::Failed);
                    self.leave(w);
                    self.pick(n, r);
                }
                Ev::Wake(n) => {
                    let t = self.clock(n);
                    for r in self.nodes[n].take_ready(t) {
                        self.pick(n, r);
                    }
                    self.put(at + 10, Ev::Wake(n));
                }
                Ev::Again(n, r) if self.waiting.contains(&(n, r)) => self.pick(n, r),
                Ev::Again(..) => {}
                Ev::Free(w) => self.leave(w),
                Ev::WorkerRegistry => on_list(self),
            }
        }
    }

    /// The node starts anew: it forgets all, and its requests are lost.
    pub fn restart(&mut self, n: usize, h: Arc<Hosted>) {
        let t = self.clock(n);
        let zone = (n % 3) as u16;
        let mut x = Balancer::new(place(&format!("n{n}"), zone), bounds(), t);
        x.apply_configuration(h, t);
        let all = 0..self.nodes.len();
        x.update_nodes(all.map(|i| (format!("n{i}"), (i % 3) as u16)).collect());
        x.update_registry(&registry(1, self.list.clone()), t);
        self.nodes[n] = x;
        self.open.retain(|k, _| k.0 != n);
        self.waiting.retain(|k| k.0 != n);
        self.backs
            .iter_mut()
            .for_each(|b| b.queue.retain(|q| q.0 != n));
        let evs = std::mem::take(&mut self.evs).into_iter();
        self.evs = evs
            .filter_map(|Reverse((at, seq, e))| {
                let e = match e {
                    Ev::Reach(i, ..) | Ev::Head(i, ..) | Ev::Again(i, _) if i == n => return None,
                    Ev::End(i, _, w) | Ev::Break(i, _, w) if i == n => Ev::Free(w),
                    e => e,
                };
                Some(Reverse((at, seq, e)))
            })
            .collect();
    }

    pub fn clock(&self, n: usize) -> u64 {
        self.now + self.skew[n]
    }

    fn record_outcome(&mut self, n: usize, r: RequestId, h: AttemptOutcome) {
        let t = self.clock(n);
        self.nodes[n].record_outcome(r, h, t);
    }

    fn over(&mut self, n: usize, r: RequestId) {
        let t = self.clock(n);
        self.nodes[n].finish(r, t);
        self.open.remove(&(n, r));
    }

    fn come(&mut self, f: usize) {
        let fl = self.flows[f].clone();
        let n = self.rand.below(self.nodes.len() as u64) as usize;
        let mut parts = Vec::new();
        if fl.shared > 0 {
            let id = self.rand.below(fl.things) + 1 + (f as u64) * 1_000_000;
            // parts differ in size, but a part is always the same
            let tokens = fl.shared / 2 + (id * 7919 % u64::from(fl.shared)) as u32;
            parts.push((id, tokens));
        }
        if fl.own > 0 {
            parts.push((self.rand.next() | 1 << 40, fl.own));
        }
        let t = self.clock(n);
        self.asked.push(self.now);
        let a = ask(&parts);
        let ps = a.prompt_segments.clone();
        let r = self.nodes[n].begin("h", fl.path, a, t, t).unwrap();
        self.open.insert((n, r), (0, ps, fl.out_ms));
        self.pick(n, r);
        let gap = 1000.0 / fl.per_s;
        let next = self.now as f64 + gap * (self.rand.below(2000) as f64 / 1000.0);
        if next < fl.to as f64 {
            let at = (next + self.rand.below(1000) as f64 / 1000.0) as u64;
            self.put(at, Ev::Come(f));
        }
    }

    fn pick(&mut self, n: usize, r: RequestId) {
        let t = self.clock(n);
        self.waiting.remove(&(n, r));
        match self.nodes[n].pick(r, t) {
            Decision::Send(g) => {
                let mut w = g.worker;
                if self.round_robin {
                    w = loop {
                        self.turn += 1;
                        let i = self.turn % self.list.len();
                        if self.list[i].region == self.region[n] {
                            break i as u32;
                        }
                    };
                }
                if self.rand.chance(self.backs[w as usize].dead) {
                    self.record_outcome(n, r, AttemptOutcome::ConnectFailed);
                    return self.pick(n, r);
                }
                let far = self.list[w as usize].region != self.region[n];
                let lag = 1 + self.rand.below(3) + if far { 35 } else { 0 };
                self.put(self.now + lag, Ev::Reach(n, r, w));
            }
            Decision::Wait(ms) => {
                self.waiting.insert((n, r));
                self.put(self.now + ms, Ev::Again(n, r));
            }
            Decision::Reject(..) => {
                self.refused += 1;
                self.over(n, r);
            }
        }
    }

    fn reach(&mut self, n: usize, r: RequestId, w: u32) {
        let now = self.now;
        let Some(o) = self.open.get_mut(&(n, r)) else {
            return;
        };
        o.0 += 1;
        if o.0 > 1 {
            self.further.push(now);
        }
        let (parts, out) = (o.1.clone(), o.2);
        let b = &mut self.backs[w as usize];
        b.came.push(now);
        if self.rand.chance(b.away) || b.queue.len() as u32 > 2 * b.slots {
            let load = Some(b.load());
            self.record_outcome(n, r, AttemptOutcome::Rejected(load));
            return self.pick(n, r);
        }
        if self.rand.chance(b.broke) {
            b.running += 1;
            return self.put(now + 30, Ev::Break(n, r, w));
        }
        let mut tokens = 0;
        let mut whole = true;
        for (i, p) in parts.iter().enumerate() {
            let shared = i + 1 < parts.len();
            whole &= b.kept.contains(&p.id);
            if shared {
                self.shared += u64::from(p.tokens);
            }
            if !whole {
                tokens += p.tokens;
                b.kept.insert(p.id);
                if shared {
                    self.read += u64::from(p.tokens);
                    if !self.seen.insert(p.id) {
                        self.reread += u64::from(p.tokens);
                    }
                }
            }
        }
        let read = (f64::from(tokens) * STEP_MS) as u64;
        match b.running < b.slots {
            true => self.start(n, r, w, read, out, now),
            false => b.queue.push_back((n, r, read, out)),
        }
    }

    fn start(&mut self, n: usize, r: RequestId, w: u32, read: u64, out: u64, came: u64) {
        let now = self.now;
        let b = &mut self.backs[w as usize];
        b.running += 1;
        b.reader_free = b.reader_free.max(now) + read;
        let first = b.reader_free + 20;
        self.firsts.push(first - came);
        self.put(first, Ev::Head(n, r, w));
        self.put(first + out, Ev::End(n, r, w));
    }

    fn leave(&mut self, w: u32) {
        let b = &mut self.backs[w as usize];
        b.running -= 1;
        if let Some((n, r, read, out)) = b.queue.pop_front() {
            let now = self.now;
            self.start(n, r, w, read, out, now);
        }
    }

    pub fn firsts_at(&mut self, share: f64) -> u64 {
        self.firsts.sort_unstable();
        let i = (self.firsts.len() as f64 * share) as usize;
        self.firsts.get(i).copied().unwrap_or(0)
    }
}
