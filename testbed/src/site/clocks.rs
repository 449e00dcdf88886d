//! Frozen processes, and what each process' clocks read.

use super::World;
use sorreldoor::runtime::Now;
use sorreldoor::types::Millis;

/// What clocks read as time begins: far from zero, so that one that stopped
/// never goes below it.
const CLOCK_START_MS: i64 = 1_000_000;

impl World {
    /// Freezes a process for a while, and its monotonic clock too if asked to.
    pub fn freeze(&mut self, process: usize, ms: Millis, clock_stops: bool) {
        let state = &mut self.processes[process];
        state.frozen_until = state.frozen_until.max(self.now + ms);
        let at = state.frozen_until;
        if clock_stops {
            state.monotonic_ms -= ms as i64;
        }
        self.at(at, move |world| world.wake(process));
    }

    pub(super) fn monotonic_ms(&self, process: usize) -> Millis {
        (CLOCK_START_MS + self.now as i64 + self.processes[process].monotonic_ms).max(0) as Millis
    }

    pub(super) fn wall(&self, process: usize) -> i64 {
        self.now as i64 + self.processes[process].wall
    }

    pub(super) fn clocks(&self, process: usize) -> Now {
        Now {
            monotonic_ms: self.monotonic_ms(process),
            wall: self.wall(process),
        }
    }

    /// Delivers something to a process: dropped if it is down or in another
    /// incarnation, and queued while it is frozen.
    pub(crate) fn deliver_to_process(
        &mut self,
        process: usize,
        incarnation: u64,
        action: impl FnOnce(&mut World) + 'static,
    ) {
        if !self.runs(process, incarnation) {
            return;
        }
        let state = &self.processes[process];
        if state.frozen_until > self.now || !state.inbox.is_empty() {
            self.processes[process]
                .inbox
                .push_back((incarnation, Box::new(action)));
            return;
        }
        action(self);
    }

    /// A process thaws: everything that arrived meanwhile is delivered, in
    /// order, until it freezes again.
    fn wake(&mut self, process: usize) {
        while self.processes[process].frozen_until <= self.now {
            let Some((incarnation, action)) = self.processes[process].inbox.pop_front() else {
                return;
            };
            if self.runs(process, incarnation) {
                action(self);
            }
        }
    }
}
