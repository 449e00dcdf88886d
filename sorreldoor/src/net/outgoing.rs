//! The bounded queue of frames to be written to one connection.

use async_std::channel::{bounded, Receiver, Sender, TrySendError};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum number of queued frames per connection.
const MAX_QUEUED_FRAMES: usize = 1024;
/// Maximum bytes of queued frames per connection; a single frame may be larger.
const MAX_QUEUED_BYTES: usize = 4 << 20;

/// The result of queueing a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// The frame is queued.
    Queued,
    /// The queue is full; the frame is dropped.
    Full,
    /// The connection is closed; the frame is dropped.
    Closed,
}

/// The sending end of a connection's queue, bounded in frames and bytes.
#[derive(Clone)]
pub struct Outgoing {
    frames: Sender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
    /// Carries no messages: closing it signals the connection to close.
    open: Sender<()>,
}

/// The receiving end, for the task that writes the frames.
pub struct OutgoingFrames {
    frames: Receiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Signals that the sending end of the queue was closed.
pub struct Closed {
    open: Receiver<()>,
}

/// Creates the queue of a connection.
#[must_use]
pub fn queue() -> (Outgoing, OutgoingFrames, Closed) {
    let (frame_sender, frame_receiver) = bounded(MAX_QUEUED_FRAMES);
    let (open_sender, open_receiver) = bounded(1);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let outgoing = Outgoing {
        frames: frame_sender,
        queued_bytes: queued_bytes.clone(),
        open: open_sender,
    };
    let frames = OutgoingFrames {
        frames: frame_receiver,
        queued_bytes,
    };
    let closed = Closed {
        open: open_receiver,
    };
    (outgoing, frames, closed)
}

impl Outgoing {
    /// Queues an encoded frame.
    pub fn push(&self, frame: Vec<u8>) -> Push {
        let bytes = frame.len();
        let queued = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let has_room = queued == 0 || queued + bytes <= MAX_QUEUED_BYTES;
        let sent = match has_room {
            true => self.frames.try_send(frame),
            false => Err(TrySendError::Full(frame)),
        };
        if sent.is_err() {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        match sent {
            Ok(()) => Push::Queued,
            Err(TrySendError::Full(_)) => Push::Full,
            Err(TrySendError::Closed(_)) => Push::Closed,
        }
    }

    /// Closes the connection at once and drops the queued frames: a peer that
    /// does not read would otherwise keep it open.
    pub fn close(&self) {
        self.frames.close();
        self.open.close();
    }
}

impl OutgoingFrames {
    /// Waits for the next frame; `None` once the connection is closed. The frame
    /// counts as queued until [`OutgoingFrames::written`].
    pub async fn next(&self) -> Option<Vec<u8>> {
        self.frames.recv().await.ok()
    }

    /// Subtracts a written frame from the queued bytes.
    pub fn written(&self, frame: &[u8]) {
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
    }
}

impl Closed {
    /// Waits until the sending end is closed.
    pub async fn wait(&self) {
        // nothing is ever sent, so this returns an error on close
        let _ = self.open.recv().await;
    }
}
