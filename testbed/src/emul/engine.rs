//! A stand-in model worker: batches, prompts read in pieces, and memory that
//! running requests share with kept parts of prompts.

use super::mix::EngineMix;
use sorreldoor::proxy::PromptSegment;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Task {
    pub sid: u64,
    pub priority: u8,
    pub order: u64,
    pub parts: Vec<PromptSegment>,
    /// Tokens that the caller has already, and all that there are.
    pub from: u32,
    pub total: u32,
    /// Tokens made here so far, and whether any was.
    pub made: u32,
    pub until: u64,
}

#[derive(Clone, Debug)]
struct Run {
    t: Task,
    /// Parts in use.
    held: Vec<u64>,
    /// Tokens of memory of its own.
    own: u64,
    unread: u32,
    piece: u32,
    /// Parts to be kept once they are read.
    fresh: Vec<PromptSegment>,
}

#[derive(Clone, Debug)]
struct Keep {
    tokens: u32,
    refs: u32,
    used: u64,
}

/// What a step brought, for the request `sid`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Out {
    /// Let in: it has a place in the batch.
    In(u64),
    /// The first token: it runs.
    Began(u64),
    /// The event with this number, and whether it is the last.
    Event(u64, u32, bool),
    /// Its time was over; whether it had begun.
    Over(u64, bool),
    /// This part was read.
    Read(u64, PromptSegment),
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub mix: EngineMix,
    pub slots: u32,
    wait: BTreeMap<(u8, u64), Task>,
    run: Vec<Run>,
    kept: HashMap<u64, Keep>,
    idle: BTreeSet<(u64, u64)>,
    used: u64,
    clock: u64,
    pub stepping: bool,
    /// Requests put back for want of memory or a place.
    pub put_back: u64,
    out: Vec<Out>,
}

impl Engine {
    pub fn new(mix: &EngineMix, slots: u32) -> Engine {
        Engine {
            mix: mix.clone(),
            slots,
            wait: BTreeMap::new(),
            run: Vec::new(),
            kept: HashMap::new(),
            idle: BTreeSet::new(),
            used: 0,
            clock: 0,
            stepping: false,
            put_back: 0,
            out: Vec::new(),
        }
    }

    pub fn running(&self) -> u32 {
        self.run.len() as u32
    }

    pub fn waiting(&self) -> u32 {
        self.wait.len() as u32
    }

    pub fn add(&mut self, t: Task) {
        self.wait.insert((t.priority, t.order), t);
    }

    /// More than this worker can ever hold.
    pub fn too_large(&self, parts: &[PromptSegment], tokens: u32) -> bool {
        let sum: u64 = parts.iter().map(|p| u64::from(p.tokens)).sum();
        sum + u64::from(tokens) > self.mix.tokens
    }

    /// The caller is gone.
    pub fn drop_task(&mut self, sid: u64) {
        self.wait.retain(|_, t| t.sid != sid);
        if let Some(i) = self.run.iter().position(|r| r.t.sid == sid) {
            self.leave(i);
        }
    }

    fn leave(&mut self, i: usize) -> Task {
        let r = self.run.remove(i);
        self.used -= r.own;
        for id in &r.held {
            self.unhold(*id);
        }
        r.t
    }

    fn hold(&mut self, id: u64) {
        self.clock += 1;
        let c = self.clock;
        if let Some(k) = self.kept.get_mut(&id) {
            if k.refs == 0 {
                self.idle.remove(&(k.used, id));
            }
            k.refs += 1;
            k.used = c;
        }
    }

    fn unhold(&mut self, id: u64) {
        self.clock += 1;
        let c = self.clock;
        if let Some(k) = self.kept.get_mut(&id) {
            k.refs -= 1;
            k.used = c;
            if k.refs == 0 {
                self.idle.insert((c, id));
            }
        }
    }

    /// Lets the parts unused longest give way until `need` more fit.
    fn make_room(&mut self, need: u64) -> bool {
        while self.used + need > self.mix.tokens {
            let Some((_, id)) = self.idle.pop_first() else {
                return false;
            };
            if let Some(k) = self.kept.remove(&id) {
                self.used -= u64::from(k.tokens);
            }
        }
        true
    }

    /// The newest among the least urgent, if less urgent than `than`.
    fn least(&self, than: Option<u8>) -> Option<usize> {
        let all = self.run.iter().enumerate();
        all.filter(|(_, r)| than.is_none_or(|p| r.t.priority > p))
            .max_by_key(|(_, r)| (r.t.priority, r.t.order))
            .map(|(i, _)| i)
    }

    fn back(&mut self, i: usize) {
        let t = self.leave(i);
        self.put_back += 1;
        self.add(t);
    }

    fn let_in(&mut self) {
        while let Some(e) = self.wait.first_entry() {
            let p = e.get().priority;
            if self.run.len() as u32 >= self.slots {
                match self.least(Some(p)) {
                    Some(i) => self.back(i),
                    None => return,
                }
                continue;
            }
            let t = e.remove();
            let hits = t.parts.iter().take_while(|x| self.kept.contains_key(&x.id));
            let n = hits.count();
            let held: Vec<u64> = t.parts[..n].iter().map(|x| x.id).collect();
            held.iter().for_each(|id| self.hold(*id));
            let rest: u32 = t.parts[n..].iter().map(|x| x.tokens).sum();
            // even a prompt kept whole is read to its last token
            let unread = (rest + t.from + t.made).max(1);
            while !self.make_room(u64::from(unread) + 1) {
                match self.least(Some(p)) {
                    Some(i) => self.back(i),
                    None => {
                        held.iter().for_each(|id| self.unhold(*id));
                        self.add(t);
                        return;
                    }
                }
            }
            self.used += u64::from(unread);
            self.out.push(Out::In(t.sid));
            self.run.push(Run {
                held,
                own: u64::from(unread),
                unread,
                piece: 0,
                fresh: t.parts[n..].to_vec(),
                t,
            });
        }
    }

    /// Plans the next step; how long it takes, in milliseconds, unless idle.
    pub fn plan(&mut self) -> Option<f64> {
        self.let_in();
        if self.run.is_empty() {
            return None;
        }
        let mut left = self.mix.chunk;
        for r in &mut self.run {
            r.piece = r.unread.min(left);
            left -= r.piece;
        }
        let m = &self.mix;
        let of = |r: &Run| f64::from(r.t.made + r.t.from) + r.own as f64;
        let context: f64 = self.run.iter().map(of).sum::<f64>() + self.held_tokens();
        let read = f64::from(m.chunk - left);
        Some(
            m.step_ms
                + m.per_slot_ms * self.run.len() as f64
                + m.per_k_ms * context / 1000.0
                + read / m.read_per_ms,
        )
    }

    fn held_tokens(&self) -> f64 {
        let ids = self.run.iter().flat_map(|r| &r.held);
        ids.filter_map(|id| self.kept.get(id))
            .map(|k| f64::from(k.tokens))
            .sum()
    }

    /// The step is over.
    pub fn finish(&mut self, now: u64) -> Vec<Out> {
        let mut done = Vec::new();
        for i in 0..self.run.len() {
            let r = &mut self.run[i];
            let was = r.unread;
            r.unread -= r.piece;
            r.piece = 0;
            if r.unread > 0 {
                continue;
            }
            if was > 0 {
                self.settle(i);
            }
            let r = &mut self.run[i];
            r.t.made += 1;
            r.own += 1;
            self.used += 1;
            let (sid, at) = (r.t.sid, r.t.from + r.t.made);
            if r.t.made == 1 {
                self.out.push(Out::Began(sid));
            }
            let end = at >= r.t.total;
            if end || at % self.mix.stride == 0 {
                let no = at.div_ceil(self.mix.stride);
                self.out.push(Out::Event(sid, no, end));
            }
            if end {
                done.push(sid);
            }
        }
        done.iter().for_each(|sid| self.drop_task(*sid));
        self.overdue(now);
        while !self.make_room(0) {
            match self.least(None) {
                Some(i) => self.back(i),
                None => break,
            }
        }
        std::mem::take(&mut self.out)
    }

    /// What this request read is kept for others.
    fn settle(&mut self, i: usize) {
        for p in std::mem::take(&mut self.run[i].fresh) {
            self.out.push(Out::Read(self.run[i].t.sid, p));
            let t = u64::from(p.tokens);
            self.run[i].own -= t.min(self.run[i].own);
            match self.kept.entry(p.id) {
                // another read the same meanwhile, and one copy is enough
                Entry::Occupied(_) => self.used -= t,
                Entry::Vacant(v) => {
                    v.insert(Keep {
                        tokens: p.tokens,
                        refs: 0,
                        used: 0,
                    });
                    self.idle.insert((0, p.id));
                }
            }
            self.hold(p.id);
            self.run[i].held.push(p.id);
        }
    }

    fn overdue(&mut self, now: u64) {
        let late = |t: &&Task| t.until <= now;
        let w = self.wait.values().filter(late);
        let r = self.run.iter().map(|r| &r.t).filter(late);
        let all: Vec<(u64, bool)> = w.chain(r).map(|t| (t.sid, t.made > 0)).collect();
        for (sid, began) in all {
            self.drop_task(sid);
            self.out.push(Out::Over(sid, began));
        }
    }

    /// Everything under way, as at a crash.
    pub fn all(&self) -> Vec<u64> {
        let w = self.wait.values().map(|t| t.sid);
        w.chain(self.run.iter().map(|r| r.t.sid)).collect()
    }
}
