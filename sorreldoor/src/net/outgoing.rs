//! The frames that wait to be written to one connection.

use async_std::channel::{bounded, Receiver, Sender, TrySendError};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Frames that may wait for one connection.
const MAX_QUEUED_FRAMES: usize = 1024;
/// Bytes that may wait for one connection, beside a single frame of any size.
const MAX_QUEUED_BYTES: usize = 4 << 20;

/// What became of a frame that was to be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// It waits to be written.
    Queued,
    /// Too much waits already; the frame is dropped.
    Full,
    /// The connection is closed.
    Closed,
}

/// The sending end of a connection's queue, bounded in frames and bytes.
#[derive(Clone)]
pub struct Outgoing {
    frames: Sender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
    /// Never carries anything: its end tells the connection to end.
    open: Sender<()>,
}

/// The receiving end, for the task that writes the frames.
pub struct OutgoingFrames {
    frames: Receiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Ends once the sending end of the queue was closed.
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
        let waiting = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let fits = waiting == 0 || waiting + bytes <= MAX_QUEUED_BYTES;
        let sent = match fits {
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

    /// Ends the connection at once, whatever waits to be written: a peer that
    /// takes nothing would otherwise hold it open.
    pub fn close(&self) {
        self.frames.close();
        self.open.close();
    }
}

impl OutgoingFrames {
    /// Waits for the next frame; `None` once the connection is closed. The
    /// frame counts as waiting until [`OutgoingFrames::written`].
    pub async fn next(&self) -> Option<Vec<u8>> {
        self.frames.recv().await.ok()
    }

    /// Makes room for others in place of a frame that is written.
    pub fn written(&self, frame: &[u8]) {
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
    }
}

impl Closed {
    /// Waits until the connection is to end.
    pub async fn wait(&self) {
        // nothing is ever sent, so this ends with an error
        let _ = self.open.recv().await;
    }
}
