//! Processes that stand still, and what their clocks say.

use super::World;
use sorreldoor::runtime::Now;
use sorreldoor::types::Millis;

impl World {
    /// Stop a process for a while; with `still`, its clock stands as well.
    pub fn freeze(&mut self, p: usize, ms: Millis, still: bool) {
        let q = &mut self.procs[p];
        q.frozen_until = q.frozen_until.max(self.now + ms);
        let at = q.frozen_until;
        if still {
            q.monotonic_ms -= ms as i64;
        }
        self.at(at, move |w| w.wake(p));
    }

    pub(super) fn monotonic_ms(&self, p: usize) -> Millis {
        // far from zero, so that a clock set back never goes below it
        (1_000_000 + self.now as i64 + self.procs[p].monotonic_ms).max(0) as Millis
    }

    pub(super) fn wall(&self, p: usize) -> i64 {
        self.now as i64 + self.procs[p].wall
    }

    pub(super) fn clocks(&self, p: usize) -> Now {
        Now {
            monotonic_ms: self.monotonic_ms(p),
            wall: self.wall(p),
        }
    }

    /// Hand something to a process: never to another life of it, and to a
    /// frozen one when it wakes.
    pub(crate) fn reach_proc(
        &mut self,
        p: usize,
        incarnation: u64,
        f: impl FnOnce(&mut World) + 'static,
    ) {
        let q = &self.procs[p];
        if !q.up || q.incarnation != incarnation {
            return;
        }
        if q.frozen_until > self.now || !q.inbox.is_empty() {
            self.procs[p].inbox.push_back((incarnation, Box::new(f)));
            return;
        }
        f(self);
    }

    /// All that came meanwhile, in the order in which it came.
    fn wake(&mut self, p: usize) {
        while self.procs[p].frozen_until <= self.now {
            let Some((incarnation, f)) = self.procs[p].inbox.pop_front() else {
                return;
            };
            if self.procs[p].up && self.procs[p].incarnation == incarnation {
                f(self);
            }
        }
    }
}
