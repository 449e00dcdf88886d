//! Freezing processes, each process' clocks, and the delivery of events to a
//! process that may be down, frozen or busy.

use super::inbox::Lane;
use super::{Action, World};
use sorreldoor::runtime::Now;
use sorreldoor::types::Millis;

/// The reading of monotonic clocks at the start of a run; large, so that a clock
/// that was stopped stays above zero.
const CLOCK_START_MS: i64 = 1_000_000;

impl World {
    /// Freezes a process for `ms`, with its monotonic clock if `clock_stops`.
    pub fn freeze(&mut self, process: usize, ms: Millis, clock_stops: bool) {
        let state = &mut self.processes[process];
        state.frozen_until = state.frozen_until.max(self.now + ms);
        let at = state.frozen_until;
        if clock_stops {
            state.monotonic_offset_ms -= ms as i64;
        }
        self.at(at, move |world| world.wake(process));
    }

    pub(super) fn monotonic_ms(&self, process: usize) -> Millis {
        (CLOCK_START_MS + self.now as i64 + self.processes[process].monotonic_offset_ms).max(0)
            as Millis
    }

    pub(super) fn wall(&self, process: usize) -> i64 {
        self.now as i64 + self.processes[process].wall_offset_ms
    }

    pub(super) fn clocks(&self, process: usize) -> Now {
        Now {
            monotonic_ms: self.monotonic_ms(process),
            wall: self.wall(process),
        }
    }

    /// Runs an action at a process: drops it if the process is down or in another
    /// incarnation, and queues it while the process is frozen or busy.
    pub(crate) fn deliver_to_process(
        &mut self,
        process: usize,
        incarnation: u64,
        action: impl FnOnce(&mut World) + 'static,
    ) {
        self.deliver_in_lane(process, incarnation, Lane::Ordinary, action);
    }

    /// As [`World::deliver_to_process`], in one of the two lanes of a daemon's
    /// event queue.
    pub(super) fn deliver_in_lane(
        &mut self,
        process: usize,
        incarnation: u64,
        lane: Lane,
        action: impl FnOnce(&mut World) + 'static,
    ) {
        if !self.runs(process, incarnation) {
            return;
        }
        let state = &self.processes[process];
        let busy = self.busy_until(process).is_some();
        if state.frozen_until <= self.now && !busy && state.inbox.is_empty() {
            return action(self);
        }
        let arrived_at = self.now;
        let action: Action = Box::new(move |world: &mut World| {
            world.record_wait(process, arrived_at);
            action(world);
        });
        let inbox = &mut self.processes[process].inbox;
        inbox.push(lane, incarnation, action);
        self.schedule_wake(process);
    }

    /// Schedules [`World::wake`] for when the processor of a process with queued
    /// events is free.
    fn schedule_wake(&mut self, process: usize) {
        let state = &self.processes[process];
        if state.wake_scheduled || state.frozen_until > self.now || state.inbox.is_empty() {
            return;
        }
        let at = self.busy_until(process).unwrap_or(self.now);
        self.processes[process].wake_scheduled = true;
        self.at(at, move |world| {
            world.processes[process].wake_scheduled = false;
            world.wake(process);
        });
    }

    /// Delivers the queued events of a process in order, until it is frozen or
    /// busy.
    fn wake(&mut self, process: usize) {
        while self.processes[process].frozen_until <= self.now {
            if self.busy_until(process).is_some() {
                return self.schedule_wake(process);
            }
            let Some((incarnation, action)) = self.processes[process].inbox.pop() else {
                return;
            };
            if self.runs(process, incarnation) {
                action(self);
            }
        }
    }
}
