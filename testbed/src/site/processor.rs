//! The processor of a core: each event takes time, and what arrives meanwhile
//! waits in the core's queue, in order.

use super::World;
use sorreldoor::types::Millis;
use sorreldoor::wire::{self, Payload};

const US_PER_MS: u64 = 1000;

/// What events cost a core, in time of its processor. Encoding and decoding
/// dominate, so the cost grows with the bytes of the frames.
#[derive(Clone, Copy, Debug)]
pub struct CpuCosts {
    /// Each event, in microseconds.
    pub event_us: u64,
    /// Each byte of a frame that is sent or received, in nanoseconds.
    pub byte_ns: u64,
}

impl CpuCosts {
    /// As measured on a core that has a third of a processor: a session of an
    /// edge that begins among 93, which sends 37 kB of reports, took 2 ms.
    pub const THIRD_OF_A_PROCESSOR: CpuCosts = CpuCosts {
        event_us: 100,
        byte_ns: 50,
    };
}

impl World {
    /// The size of a frame, where it is charged for.
    pub(super) fn charged_bytes(&self, payload: &Payload) -> usize {
        let encoded = self.cpu_costs.map(|_| wire::encode_frame("", payload));
        encoded.map_or(0, |frame| frame.len())
    }

    /// A core has handled an event.
    pub(super) fn charge_event(&mut self, process: usize) {
        let Some(costs) = self.cpu_costs else { return };
        self.charge_us(process, costs.event_us);
    }

    /// A core has sent or received a frame.
    pub(super) fn charge_frame(&mut self, process: usize, bytes: usize) {
        let Some(costs) = self.cpu_costs else { return };
        if self.processes[process].core {
            self.charge_us(process, bytes as u64 * costs.byte_ns / 1000);
        }
    }

    fn charge_us(&mut self, process: usize, us: u64) {
        let now_us = self.now * US_PER_MS;
        let state = &mut self.processes[process];
        state.busy_until_us = state.busy_until_us.max(now_us) + us;
    }

    /// A process handles an event that had to wait.
    pub(super) fn note_wait(&mut self, process: usize, arrived_at: Millis) {
        let waited = self.now - arrived_at;
        let longest = &mut self.processes[process].longest_backlog_ms;
        *longest = waited.max(*longest);
    }

    /// When a process handles its next event, if that is not now.
    pub(super) fn busy_until(&self, process: usize) -> Option<Millis> {
        let until = self.processes[process].busy_until_us.div_ceil(US_PER_MS);
        (until > self.now).then_some(until)
    }
}
