//! The sending side of a node's network interface: one queue, so many bytes a
//! millisecond.

use sorreldoor::consensus::Msg;
use sorreldoor::types::Millis;
use sorreldoor::wire::{self, Payload};

/// Bytes that one node can send in a millisecond, to all others together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bandwidth {
    bytes_per_ms: u64,
}

impl Bandwidth {
    pub fn megabits_per_second(megabits: u64) -> Bandwidth {
        Bandwidth {
            bytes_per_ms: megabits * 125,
        }
    }
}

/// The queue of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Uplink {
    /// When the last byte queued so far has left, in microseconds.
    busy_until_us: u64,
    /// Bytes sent since the start of the process.
    pub sent_bytes: u64,
    /// The longest that anything waited behind what was queued before it.
    pub longest_wait: Millis,
    pub largest_frame: u64,
}

impl Uplink {
    /// Queue a frame; when its last byte has left.
    pub fn send(&mut self, bandwidth: Bandwidth, now: Millis, bytes: u64) -> Millis {
        let now_us = now * 1000;
        let begins_us = self.busy_until_us.max(now_us);
        let wait = (begins_us - now_us) / 1000;
        self.longest_wait = self.longest_wait.max(wait);
        self.largest_frame = self.largest_frame.max(bytes);
        self.sent_bytes += bytes;
        self.busy_until_us = begins_us + bytes * 1000 / bandwidth.bytes_per_ms;
        self.busy_until_us.div_ceil(1000)
    }
}

/// What a message takes on the wire.
pub fn frame_bytes(msg: &Msg) -> u64 {
    wire::pack("", &Payload::Consensus(msg.clone())).len() as u64
}
