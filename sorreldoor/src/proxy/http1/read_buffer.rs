//! [`ReadBuffer`]: received bytes of one connection.

use async_std::io::{self, Read};
use std::pin::Pin;
use std::task::Poll;

/// Size of one read from the socket.
const READ_BYTES: usize = 4096;
/// The buffer is freed when it is empty and has more than this capacity, in bytes.
const MAX_IDLE_CAPACITY: usize = 4 * READ_BYTES;

/// The bytes received on one connection that are not consumed yet.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// Length of the consumed part at the front of `bytes`.
    consumed: usize,
}

impl ReadBuffer {
    /// The bytes that are not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Whether all received bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.consumed == self.bytes.len()
    }

    /// The number of bytes not consumed yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Drops `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.bytes.len() {
            self.consumed = 0;
            self.bytes.clear();
            // a large body must not occupy memory for the life of the connection
            if self.bytes.capacity() > MAX_IDLE_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }

    /// Removes `count` bytes from the front and returns them.
    #[must_use]
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        let taken = self.unread()[..count].to_vec();
        self.consume(count);
        taken
    }

    /// Frees the memory of an empty buffer, for a connection that becomes idle.
    pub fn shrink(&mut self) {
        if self.is_empty() {
            self.bytes = Vec::new();
            self.consumed = 0;
        }
    }

    /// Reads more bytes and returns how many; 0 at the end of the connection.
    /// Cancel-safe: bytes that were read stay in the buffer.
    ///
    /// # Errors
    /// Those of the underlying reader.
    pub async fn fill<R: Read + Unpin>(&mut self, reader: &mut R) -> io::Result<usize> {
        if self.consumed > 0 && self.consumed * 2 >= self.bytes.len() {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        std::future::poll_fn(|context| {
            let length = self.bytes.len();
            self.bytes.resize(length + READ_BYTES, 0);
            let read = Pin::new(&mut *reader).poll_read(context, &mut self.bytes[length..]);
            let count = match &read {
                Poll::Ready(Ok(count)) => *count,
                _ => 0,
            };
            self.bytes.truncate(length + count);
            read
        })
        .await
    }
}
