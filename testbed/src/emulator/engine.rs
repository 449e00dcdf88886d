//! An emulated inference engine: continuous batching by priority with preemption,
//! chunked prefill, and a KV memory shared by running tasks and the prefix cache.

use super::mix::EngineMix;
use sorreldoor::proxy::PromptSegment;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An attempt at an engine. Lower `priority` is more urgent; `order` breaks ties.
#[derive(Clone, Debug)]
pub struct Task {
    pub attempt_id: u64,
    pub priority: u8,
    pub order: u64,
    pub prompt_segments: Vec<PromptSegment>,
    /// Tokens that the client has received before this attempt, and the total.
    pub received: u32,
    pub total: u32,
    /// Tokens generated here so far.
    pub generated: u32,
    pub deadline: u64,
}

#[derive(Clone, Debug)]
struct RunningTask {
    task: Task,
    /// Cached segments that it uses; they are not evicted.
    pinned: Vec<u64>,
    /// Tokens of memory that only this task uses.
    own_tokens: u64,
    prefill_left: u32,
    planned_tokens: u32,
    /// Segments that enter the cache after prefill.
    uncached_segments: Vec<PromptSegment>,
}

impl RunningTask {
    /// Number of pairs of a prompt token planned for the step with an earlier one.
    fn planned_pairs(&self) -> f64 {
        let prompt: u32 = self
            .task
            .prompt_segments
            .iter()
            .map(|part| part.tokens)
            .sum();
        let before = f64::from(prompt.saturating_sub(self.prefill_left));
        let planned = f64::from(self.planned_tokens);
        planned * (before + planned / 2.0)
    }
}

#[derive(Clone, Debug)]
struct CachedSegment {
    tokens: u32,
    refs: u32,
    last_used: u64,
}

/// A result of a step; the first field is the `attempt_id` of the task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineEvent {
    /// It was admitted to the batch.
    Admitted(u64),
    /// The first token was generated.
    FirstToken(u64),
    /// The event with this number, and whether it is the last.
    Event(u64, u32, bool),
    /// Its deadline passed; true if it had generated a token.
    Expired(u64, bool),
    /// Prefill of this segment is done.
    Prefilled(u64, PromptSegment),
}

/// The engine of one worker. Its owner alternates `plan_step` and `finish_step`.
#[derive(Clone, Debug)]
pub struct Engine {
    pub mix: EngineMix,
    pub slots: u32,
    waiting_tasks: BTreeMap<(u8, u64), Task>,
    running_tasks: Vec<RunningTask>,
    prefix_cache: HashMap<u64, CachedSegment>,
    unpinned_segments: BTreeSet<(u64, u64)>,
    used_tokens: u64,
    use_count: u64,
    pub stepping: bool,
    /// Number of preemptions for lack of memory or of a slot.
    pub preemptions: u64,
    events: Vec<EngineEvent>,
}

impl Engine {
    pub fn new(mix: &EngineMix, slots: u32) -> Engine {
        Engine {
            mix: mix.clone(),
            slots,
            waiting_tasks: BTreeMap::new(),
            running_tasks: Vec::new(),
            prefix_cache: HashMap::new(),
            unpinned_segments: BTreeSet::new(),
            used_tokens: 0,
            use_count: 0,
            stepping: false,
            preemptions: 0,
            events: Vec::new(),
        }
    }

    pub fn running(&self) -> u32 {
        self.running_tasks.len() as u32
    }

    pub fn waiting(&self) -> u32 {
        self.waiting_tasks.len() as u32
    }

    pub fn enqueue(&mut self, t: Task) {
        self.waiting_tasks.insert((t.priority, t.order), t);
    }

    /// Whether a task needs more memory than the engine has in all.
    pub fn exceeds_memory(&self, parts: &[PromptSegment], tokens: u32) -> bool {
        let sum: u64 = parts.iter().map(|p| u64::from(p.tokens)).sum();
        sum + u64::from(tokens) > self.mix.tokens
    }

    /// Removes a waiting or running task and frees its memory.
    pub fn cancel_task(&mut self, attempt_id: u64) {
        self.waiting_tasks.retain(|_, t| t.attempt_id != attempt_id);
        if let Some(i) = self
            .running_tasks
            .iter()
            .position(|r| r.task.attempt_id == attempt_id)
        {
            self.remove_running(i);
        }
    }

    fn remove_running(&mut self, i: usize) -> Task {
        let r = self.running_tasks.remove(i);
        self.used_tokens -= r.own_tokens;
        for id in &r.pinned {
            self.unpin(*id);
        }
        r.task
    }

    fn pin(&mut self, id: u64) {
        self.use_count += 1;
        let c = self.use_count;
        if let Some(k) = self.prefix_cache.get_mut(&id) {
            if k.refs == 0 {
                self.unpinned_segments.remove(&(k.last_used, id));
            }
            k.refs += 1;
            k.last_used = c;
        }
    }

    fn unpin(&mut self, id: u64) {
        self.use_count += 1;
        let c = self.use_count;
        if let Some(k) = self.prefix_cache.get_mut(&id) {
            k.refs -= 1;
            k.last_used = c;
            if k.refs == 0 {
                self.unpinned_segments.insert((c, id));
            }
        }
    }

    /// Evicts the least recently used unpinned segments until `need` more tokens fit;
    /// false if they do not fit.
    fn evict_for(&mut self, need: u64) -> bool {
        while self.used_tokens + need > self.mix.tokens {
            let Some((_, id)) = self.unpinned_segments.pop_first() else {
                return false;
            };
            if let Some(k) = self.prefix_cache.remove(&id) {
                self.used_tokens -= u64::from(k.tokens);
            }
        }
        true
    }

    /// The index of the newest of the least urgent running tasks, if less urgent than
    /// `than`.
    fn preemption_victim(&self, than: Option<u8>) -> Option<usize> {
        let all = self.running_tasks.iter().enumerate();
        all.filter(|(_, r)| than.is_none_or(|p| r.task.priority > p))
            .max_by_key(|(_, r)| (r.task.priority, r.task.order))
            .map(|(i, _)| i)
    }

    fn preempt(&mut self, i: usize) {
        let t = self.remove_running(i);
        self.preemptions += 1;
        self.enqueue(t);
    }

    fn admit(&mut self) {
        while let Some(e) = self.waiting_tasks.first_entry() {
            let p = e.get().priority;
            if self.running_tasks.len() as u32 >= self.slots {
                match self.preemption_victim(Some(p)) {
                    Some(i) => self.preempt(i),
                    None => return,
                }
                continue;
            }
            let t = e.remove();
            let hits = t
                .prompt_segments
                .iter()
                .take_while(|x| self.prefix_cache.contains_key(&x.id));
            let n = hits.count();
            let pinned: Vec<u64> = t.prompt_segments[..n].iter().map(|x| x.id).collect();
            pinned.iter().for_each(|id| self.pin(*id));
            let rest: u32 = t.prompt_segments[n..].iter().map(|x| x.tokens).sum();
            // the last prompt token is computed even if the whole prompt is cached
            let prefill_left = (rest + t.received + t.generated).max(1);
            while !self.evict_for(u64::from(prefill_left) + 1) {
                match self.preemption_victim(Some(p)) {
                    Some(i) => self.preempt(i),
                    None => {
                        pinned.iter().for_each(|id| self.unpin(*id));
                        self.enqueue(t);
                        return;
                    }
                }
            }
            self.used_tokens += u64::from(prefill_left);
            self.events.push(EngineEvent::Admitted(t.attempt_id));
            self.running_tasks.push(RunningTask {
                pinned,
                own_tokens: u64::from(prefill_left),
                prefill_left,
                planned_tokens: 0,
                uncached_segments: t.prompt_segments[n..].to_vec(),
                task: t,
            });
        }
    }

    /// Admits tasks and plans the next step; returns its duration in milliseconds, or
    /// `None` if no task runs.
    pub fn plan_step(&mut self) -> Option<f64> {
        self.admit();
        if self.running_tasks.is_empty() {
            return None;
        }
        let mut left = self.mix.chunk;
        for r in &mut self.running_tasks {
            r.planned_tokens = r.prefill_left.min(left);
            left -= r.planned_tokens;
        }
        let m = &self.mix;
        let of =
            |r: &RunningTask| f64::from(r.task.generated + r.task.received) + r.own_tokens as f64;
        let context: f64 = self.running_tasks.iter().map(of).sum::<f64>() + self.pinned_tokens();
        let prefill_tokens = f64::from(m.chunk - left);
        let pairs: f64 = self
            .running_tasks
            .iter()
            .map(RunningTask::planned_pairs)
            .sum();
        Some(
            m.step_ms
                + m.per_slot_ms * self.running_tasks.len() as f64
                + m.per_k_ms * context / 1000.0
                + prefill_tokens / m.read_per_ms
                + m.pairs_ms_per_m * pairs / 1e6,
        )
    }

    fn pinned_tokens(&self) -> f64 {
        let ids = self.running_tasks.iter().flat_map(|r| &r.pinned);
        ids.filter_map(|id| self.prefix_cache.get(id))
            .map(|k| f64::from(k.tokens))
            .sum()
    }

    /// Ends the planned step at `now`; returns its results.
    pub fn finish_step(&mut self, now: u64) -> Vec<EngineEvent> {
        let mut done = Vec::new();
        for i in 0..self.running_tasks.len() {
            let r = &mut self.running_tasks[i];
            let was = r.prefill_left;
            r.prefill_left -= r.planned_tokens;
            r.planned_tokens = 0;
            if r.prefill_left > 0 {
                continue;
            }
            if was > 0 {
                self.cache_prefilled(i);
            }
            let r = &mut self.running_tasks[i];
            r.task.generated += 1;
            r.own_tokens += 1;
            self.used_tokens += 1;
            let (attempt_id, at) = (r.task.attempt_id, r.task.received + r.task.generated);
            if r.task.generated == 1 {
                self.events.push(EngineEvent::FirstToken(attempt_id));
            }
            let end = at >= r.task.total;
            if end || at % self.mix.stride == 0 {
                let number = at.div_ceil(self.mix.stride);
                self.events
                    .push(EngineEvent::Event(attempt_id, number, end));
            }
            if end {
                done.push(attempt_id);
            }
        }
        done.iter()
            .for_each(|attempt_id| self.cancel_task(*attempt_id));
        self.expire_tasks(now);
        while !self.evict_for(0) {
            match self.preemption_victim(None) {
                Some(i) => self.preempt(i),
                None => break,
            }
        }
        std::mem::take(&mut self.events)
    }

    /// Moves the prefilled segments of a task to the prefix cache.
    fn cache_prefilled(&mut self, i: usize) {
        for p in std::mem::take(&mut self.running_tasks[i].uncached_segments) {
            self.events.push(EngineEvent::Prefilled(
                self.running_tasks[i].task.attempt_id,
                p,
            ));
            let t = u64::from(p.tokens);
            self.running_tasks[i].own_tokens -= t.min(self.running_tasks[i].own_tokens);
            match self.prefix_cache.entry(p.id) {
                // another task prefilled the same segment in the meantime
                Entry::Occupied(_) => self.used_tokens -= t,
                Entry::Vacant(v) => {
                    v.insert(CachedSegment {
                        tokens: p.tokens,
                        refs: 0,
                        last_used: 0,
                    });
                    self.unpinned_segments.insert((0, p.id));
                }
            }
            self.pin(p.id);
            self.running_tasks[i].pinned.push(p.id);
        }
    }

    fn expire_tasks(&mut self, now: u64) {
        let late = |t: &&Task| t.deadline <= now;
        let w = self.waiting_tasks.values().filter(late);
        let r = self.running_tasks.iter().map(|r| &r.task).filter(late);
        let all: Vec<(u64, bool)> = w
            .chain(r)
            .map(|t| (t.attempt_id, t.generated > 0))
            .collect();
        for (attempt_id, began) in all {
            self.cancel_task(attempt_id);
            self.events.push(EngineEvent::Expired(attempt_id, began));
        }
    }

    /// The ids of all waiting and running tasks.
    pub fn task_ids(&self) -> Vec<u64> {
        let w = self.waiting_tasks.values().map(|t| t.attempt_id);
        w.chain(self.running_tasks.iter().map(|r| r.task.attempt_id))
            .collect()
    }
}
