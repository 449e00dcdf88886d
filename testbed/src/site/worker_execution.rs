//! How a simulated worker executes requests: slots, prefill and the events of
//! a stream.

use super::workers::{Execution, WorkerRequest};
use super::World;
use sorreldoor::gateway::request_table::AttemptEvent;
use sorreldoor::types::Millis;

/// Delay between the last event of a stream and its end.
const STREAM_END_MS: Millis = 2;

/// Position in a stream that a worker sends: its next event, and their number.
#[derive(Clone, Copy)]
struct StreamPosition {
    next: u64,
    events: u64,
}

impl StreamPosition {
    fn is_last(self) -> bool {
        self.next + 1 == self.events
    }

    fn advanced(self) -> StreamPosition {
        StreamPosition {
            next: self.next + 1,
            ..self
        }
    }
}

impl World {
    /// Fills the free slots of a worker from its queue.
    pub(super) fn start_executions(&mut self, worker: usize) {
        while (self.workers[worker].running.len() as u32) < self.workers[worker].slots {
            let Some(request) = self.workers[worker].waiting.pop_front() else {
                return;
            };
            self.execute(worker, request);
        }
    }

    fn execute(&mut self, worker: usize, request: WorkerRequest) {
        let client = &self.clients[&request.client];
        let (key, events) = (client.key.clone(), client.events);
        let state = &mut self.workers[worker];
        state.executions.push(Execution {
            at: self.now,
            client: request.client,
            id: request.id.clone(),
        });
        state.running.push(request.clone());
        let prefill_ms = if state.use_prefix(key) {
            0
        } else {
            state.prefill_ms
        };
        let prompt_ms = state.tail_ms + prefill_ms;
        let (incarnation, gap_ms) = (state.incarnation, state.gap_ms);
        if events == 0 {
            self.after(prompt_ms + gap_ms, move |world| {
                world.finish_execution(worker, incarnation, request, AttemptEvent::Complete)
            });
        } else {
            let position = StreamPosition { next: 0, events };
            self.after(prompt_ms, move |world| {
                world.stream(worker, incarnation, request, position)
            });
        }
    }

    /// Sends one event of a stream and schedules the next.
    fn stream(
        &mut self,
        worker: usize,
        incarnation: u64,
        request: WorkerRequest,
        position: StreamPosition,
    ) {
        let state = &self.workers[worker];
        let mut running = state.running.iter();
        if state.incarnation != incarnation || !running.any(|r| r.token == request.token) {
            return;
        }
        if state.frozen_until > self.now {
            let thawed_at = state.frozen_until;
            self.at(thawed_at, move |world| {
                world.stream(worker, incarnation, request, position)
            });
            return;
        }
        let (from, to) = (state.region, self.processes[request.edge].region);
        let delay = self.delay(from, to);
        if position.next == 0 {
            self.send_to_edge(worker, request.clone(), AttemptEvent::StreamStarted);
        }
        let event_of = request.clone();
        self.after(delay + 1, move |world| {
            world.deliver_stream_event(event_of, position.next, position.is_last())
        });
        if position.is_last() {
            self.after(STREAM_END_MS, move |world| {
                world.finish_execution(worker, incarnation, request, AttemptEvent::StreamEnded)
            });
        } else {
            let gap_ms = self.workers[worker].gap_ms;
            self.after(gap_ms, move |world| {
                world.stream(worker, incarnation, request, position.advanced())
            });
        }
    }

    fn finish_execution(
        &mut self,
        worker: usize,
        incarnation: u64,
        request: WorkerRequest,
        event: AttemptEvent,
    ) {
        let state = &mut self.workers[worker];
        if state.incarnation != incarnation {
            return;
        }
        if state.frozen_until > self.now {
            let thawed_at = state.frozen_until;
            self.at(thawed_at, move |world| {
                world.finish_execution(worker, incarnation, request, event)
            });
            return;
        }
        if !state.finish(request.edge, request.token) {
            return;
        }
        self.start_executions(worker);
        self.send_to_edge(worker, request, event);
    }
}
