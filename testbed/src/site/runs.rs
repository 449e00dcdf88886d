//! How a worker in virtual time runs what it has: slots, prefill, events.

use super::workers::Visit;
use super::World;
use sorreldoor::gateway::request_table::AttemptEvent;

impl World {
    pub(super) fn begin(&mut self, w: usize) {
        while (self.workers[w].running.len() as u32) < self.workers[w].slots {
            let Some(v) = self.workers[w].waiting.pop_front() else {
                return;
            };
            let now = self.now;
            let c = &self.callers[&v.caller];
            let (key, events) = (c.key.clone(), c.events);
            let k = &mut self.workers[w];
            k.ran.push((now, v.id.clone()));
            k.ran_for.push((now, v.caller, v.id.clone()));
            k.running.push(v.clone());
            let hit = !key.is_empty() && k.cache.contains(&key);
            if !key.is_empty() {
                k.cache.retain(|x| *x != key);
                k.cache.push_back(key);
                if k.cache.len() > 8 {
                    k.cache.pop_front();
                }
                k.hits += u64::from(hit);
                k.misses += u64::from(!hit);
            }
            let first = if hit { 0 } else { k.prefill };
            let busy = k.tail + first;
            let (life, gap) = (k.life, k.gap);
            if events == 0 {
                let end = busy + gap;
                self.after(end, move |world| {
                    world.work_done(w, life, v, AttemptEvent::Complete)
                });
            } else {
                self.after(busy, move |world| world.stream(w, life, v, 0, events));
            }
        }
    }

    /// Send event `i` of a stream, and go on with the next.
    fn stream(&mut self, w: usize, life: u64, v: Visit, i: u64, n: u64) {
        let k = &self.workers[w];
        if k.life != life || !k.running.iter().any(|r| r.token == v.token) {
            return;
        }
        if k.frozen_until > self.now {
            let at = k.frozen_until;
            self.at(at, move |world| world.stream(w, life, v, i, n));
            return;
        }
        let d = self.delay(self.workers[w].region, self.procs[v.edge].region);
        let u = v.clone();
        if i == 0 {
            self.tell_edge(w, v.clone(), AttemptEvent::StreamStarted);
        }
        self.after(d + 1, move |world| world.event(u, i, i + 1 == n));
        let gap = self.workers[w].gap;
        if i + 1 == n {
            self.after(2, move |world| {
                world.work_done(w, life, v, AttemptEvent::StreamEnded)
            });
        } else {
            self.after(gap, move |world| world.stream(w, life, v, i + 1, n));
        }
    }

    fn work_done(&mut self, w: usize, life: u64, v: Visit, told: AttemptEvent) {
        let k = &mut self.workers[w];
        if k.life != life {
            return;
        }
        if k.frozen_until > self.now {
            let at = k.frozen_until;
            self.at(at, move |world| world.work_done(w, life, v, told));
            return;
        }
        let before = k.running.len();
        k.running
            .retain(|r| !(r.token == v.token && r.edge == v.edge));
        if k.running.len() == before {
            return;
        }
        k.finished += 1;
        self.begin(w);
        self.tell_edge(w, v, told);
    }
}
