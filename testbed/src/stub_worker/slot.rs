//! The state of a request at a stub worker: queued, then running in a slot.

use super::Shared;
use crate::sync::lock;
use std::sync::Arc;

/// Counts a request as queued or running, and frees its slot when dropped.
pub(super) struct WorkerSlot {
    worker: Arc<Shared>,
    running: bool,
}

impl WorkerSlot {
    /// Queues a request.
    pub(super) fn queue(worker: &Arc<Shared>) -> WorkerSlot {
        let mut state = lock(&worker.state);
        state.queued += 1;
        state.peak_in_flight = state.peak_in_flight.max(state.queued + state.running);
        WorkerSlot {
            worker: worker.clone(),
            running: false,
        }
    }

    /// Waits for a free slot and records the execution.
    pub(super) async fn run(&mut self, id: &str) {
        let _ = self.worker.free_slots.recv().await;
        self.running = true;
        let mut state = lock(&self.worker.state);
        state.queued -= 1;
        state.running += 1;
        state.peak_running = state.peak_running.max(state.running);
        state.executed.push(id.to_string());
    }
}

impl Drop for WorkerSlot {
    fn drop(&mut self) {
        let mut state = lock(&self.worker.state);
        if self.running {
            state.running -= 1;
            state.finished += 1;
            let _ = self.worker.release_slot.try_send(());
        } else {
            state.queued -= 1;
        }
    }
}
