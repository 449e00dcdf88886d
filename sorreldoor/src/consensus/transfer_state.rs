//! State of one chunked transfer, on the sending and on the receiving side. The
//! protocol is in `snapshot_transfer`.

use super::messages::{Chunk, ContentHeader};
use crate::types::Millis;
use std::sync::Arc;

/// Maximum bytes of content in one message.
pub const TRANSFER_CHUNK_BYTES: usize = 32 * 1024;
/// Maximum bytes of content in flight to all members together; one chunk to each is
/// always allowed. Takes about a tenth of a second at 10 Mbit/s.
pub const TRANSFER_WINDOW_BYTES: usize = 128 * 1024;
/// Maximum bytes of a content that a receiver accepts.
pub(super) const MAX_CONTENT_BYTES: u64 = 16 << 20;

/// A snapshot or large entry being sent to one member.
#[derive(Clone, Debug)]
pub(super) struct OutgoingTransfer {
    header: ContentHeader,
    bytes: Arc<Vec<u8>>,
    id: u64,
    /// Bytes that the receiver is known to have.
    acknowledged: usize,
    /// Bytes sent, acknowledged or not.
    sent: usize,
    /// When the acknowledged offset last advanced.
    progressed_at: Millis,
    /// The acknowledged offset has timed out, so only one chunk is in flight at a
    /// time until it advances.
    stalled: bool,
}

impl OutgoingTransfer {
    pub fn new(header: ContentHeader, bytes: Arc<Vec<u8>>, now: Millis) -> OutgoingTransfer {
        let id = content_id(&header, &bytes);
        OutgoingTransfer {
            header,
            bytes,
            id,
            acknowledged: 0,
            sent: 0,
            progressed_at: now,
            stalled: false,
        }
    }

    pub fn header(&self) -> &ContentHeader {
        &self.header
    }

    fn in_flight(&self) -> usize {
        self.sent - self.acknowledged
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// The offset to resume at, in bytes.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged
    }

    /// Length of the whole content in bytes.
    pub fn total(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// The receiver has the first `received` bytes.
    pub fn acknowledge(&mut self, received: usize, now: Millis) {
        let received = received.min(self.bytes.len());
        if received > self.acknowledged {
            self.progressed_at = now;
            self.stalled = false;
            self.sent = self.sent.max(received);
        }
        if received < self.acknowledged {
            // the receiver restarted and lost what it had received
            self.sent = received;
        }
        self.acknowledged = received;
    }

    /// Resend from the acknowledged offset if it has not advanced for `timeout`.
    pub fn rewind_if_stalled(&mut self, now: Millis, timeout: Millis) {
        let timed_out = now.saturating_sub(self.progressed_at) >= timeout;
        if timed_out && self.in_flight() > 0 {
            self.sent = self.acknowledged;
            self.progressed_at = now;
            self.stalled = true;
        }
    }

    /// Offset and data of the next chunk, if `window` allows for one.
    pub fn next_chunk(&mut self, window: usize, chunk_bytes: usize) -> Option<(usize, Vec<u8>)> {
        let has_capacity = self.in_flight() == 0 || self.in_flight() + chunk_bytes <= window;
        if self.sent == self.bytes.len() || !has_capacity {
            return None;
        }
        let offset = self.sent;
        let end = (offset + chunk_bytes).min(self.bytes.len());
        self.sent = end;
        Some((offset, self.bytes[offset..end].to_vec()))
    }
}

/// A snapshot or large entry being received from one member.
#[derive(Clone, Debug)]
pub(super) struct IncomingTransfer {
    id: u64,
    total: u64,
    bytes: Vec<u8>,
}

impl IncomingTransfer {
    pub fn new(chunk: &Chunk) -> IncomingTransfer {
        IncomingTransfer {
            id: chunk.id,
            total: chunk.total,
            bytes: Vec::new(),
        }
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Append a chunk that continues the received bytes; ignore any other.
    pub fn add(&mut self, chunk: &Chunk) {
        let within_total = self.received() + chunk.data.len() as u64 <= self.total;
        if chunk.offset == self.received() && within_total {
            self.bytes.extend_from_slice(&chunk.data);
        }
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    pub fn is_complete(&self) -> bool {
        self.received() == self.total
    }

    /// The content, if its hash is the transfer's id; otherwise chunks of different
    /// contents were mixed.
    pub fn into_verified_bytes(self, header: &ContentHeader) -> Option<Vec<u8>> {
        (content_id(header, &self.bytes) == self.id).then_some(self.bytes)
    }
}

/// Identity and checksum of a content: a hash in the manner of FNV-1a over the
/// header's kind and last position, and the bytes.
fn content_id(header: &ContentHeader, bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let last = header.last();
    let kind = u64::from(matches!(header, ContentHeader::Snapshot { .. }));
    let start = [kind, last.term, last.index]
        .iter()
        .fold(OFFSET, |hash, n| (hash ^ n).wrapping_mul(PRIME));
    bytes
        .iter()
        .fold(start, |hash, b| (hash ^ u64::from(*b)).wrapping_mul(PRIME))
}
