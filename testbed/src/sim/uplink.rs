//! The sending side of a node's network interface: one queue drained at a fixed
//! bandwidth.

use sorreldoor::consensus::Msg;
use sorreldoor::types::Millis;
use sorreldoor::wire::{self, Payload};

/// Bytes per millisecond that one node can send, to all peers together.
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

/// The send queue of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Uplink {
    /// When the last byte queued so far has left, in microseconds.
    busy_until_us: u64,
    /// Bytes sent since the start of the process.
    pub sent_bytes: u64,
    /// The longest time a frame waited in the queue.
    pub longest_wait_ms: Millis,
    /// The largest frame sent.
    pub largest_frame_bytes: u64,
}

impl Uplink {
    /// Queues a frame; returns the time at which its last byte has been sent.
    pub fn send(&mut self, bandwidth: Bandwidth, now: Millis, bytes: u64) -> Millis {
        let now_us = now * 1000;
        let begins_us = self.busy_until_us.max(now_us);
        let wait = (begins_us - now_us) / 1000;
        self.longest_wait_ms = self.longest_wait_ms.max(wait);
        self.largest_frame_bytes = self.largest_frame_bytes.max(bytes);
        self.sent_bytes += bytes;
        self.busy_until_us = begins_us + bytes * 1000 / bandwidth.bytes_per_ms;
        self.busy_until_us.div_ceil(1000)
    }
}

/// The encoded size of a message.
pub fn frame_bytes(msg: &Msg) -> u64 {
    wire::encode_frame("", &Payload::Consensus(msg.clone())).len() as u64
}
