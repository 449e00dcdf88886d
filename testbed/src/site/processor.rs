//! The processor of a core: handling an event takes time, and events that arrive
//! meanwhile are queued in order.

use super::World;
use sorreldoor::types::Millis;
use sorreldoor::wire::{self, Payload};

const US_PER_MS: u64 = 1000;

/// Processor time that events cost a core. Encoding and decoding dominate, so the
/// cost grows with the size of the frames.
#[derive(Clone, Copy, Debug)]
pub struct CpuCosts {
    /// Cost of each event, in microseconds.
    pub event_us: u64,
    /// Cost of each byte of a frame sent or received, in nanoseconds.
    pub byte_ns: u64,
}

impl CpuCosts {
    /// A core that has a third of a processor: about 2 ms for a new edge session
    /// that sends 37 kB of reports.
    pub const THIRD_OF_A_PROCESSOR: CpuCosts = CpuCosts {
        event_us: 100,
        byte_ns: 50,
    };
}

impl World {
    /// The encoded size of a frame; 0 if there are no processor costs.
    pub(super) fn charged_bytes(&self, payload: &Payload) -> usize {
        let encoded = self.cpu_costs.map(|_| wire::encode_frame("", payload));
        encoded.map_or(0, |frame| frame.len())
    }

    /// Charges a core for handling an event.
    pub(super) fn charge_event(&mut self, process: usize) {
        let Some(costs) = self.cpu_costs else { return };
        self.charge_us(process, costs.event_us);
    }

    /// Charges a core for sending or receiving a frame.
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

    /// Records how long an event was queued that a process now handles.
    pub(super) fn record_wait(&mut self, process: usize, arrived_at: Millis) {
        let waited = self.now - arrived_at;
        let longest = &mut self.processes[process].longest_backlog_ms;
        *longest = waited.max(*longest);
    }

    /// When the processor of a process is free; `None` if it is free now.
    pub(super) fn busy_until(&self, process: usize) -> Option<Millis> {
        let until = self.processes[process].busy_until_us.div_ceil(US_PER_MS);
        (until > self.now).then_some(until)
    }
}
