//! Relays the events of a streamed response, checking each one.

use super::worker_exchange::{AttemptCommand, StreamPart, WorkerRequest};
use crate::error::ErrorCode;
use crate::invariants::{is_disabled, Invariant};
use crate::json;
use async_std::channel::{Receiver, RecvError, Sender};
use async_std::future::timeout;
use async_std::io::prelude::*;
use async_std::io::BufRead;
use simd_json::prelude::*;
use std::future::Future;
use std::pin::{pin, Pin};
use std::task::Poll;

/// Largest event in bytes, with its line end.
const MAX_EVENT_BYTES: u64 = 256 * 1024;

/// Relays one stream from a worker.
pub(super) struct StreamRelay<'a> {
    pub request: &'a WorkerRequest,
    pub commands: &'a Receiver<AttemptCommand>,
    pub parts: &'a Sender<StreamPart>,
}

impl StreamRelay<'_> {
    /// Relays events in order up to the one that is marked as the last.
    ///
    /// # Errors
    /// `StreamInterrupted` if the stream ends early, times out or is aborted,
    /// `InvalidWorkerResponse` for an event that is malformed or out of order.
    pub async fn run<R>(&self, mut lines: R) -> Result<(), ErrorCode>
    where
        R: BufRead + Unpin,
    {
        let mut sequence = 0u64;
        loop {
            let line = self.read_line(&mut lines).await?;
            let is_last = self.check_event(&line, sequence)?;
            sequence += 1;
            self.parts
                .send(StreamPart::Event(line))
                .await
                .map_err(|_| ErrorCode::StreamInterrupted)?;
            if is_last {
                return Ok(());
            }
        }
    }

    async fn read_line<R>(&self, lines: &mut R) -> Result<Vec<u8>, ErrorCode>
    where
        R: BufRead + Unpin,
    {
        let mut line = Vec::new();
        let mut limited = lines.take(MAX_EVENT_BYTES);
        let read = self.unless_aborted(limited.read_until(b'\n', &mut line));
        let bytes = timeout(self.request.timeout, read)
            .await
            .ok()
            .flatten()
            .ok_or(ErrorCode::StreamInterrupted)?;
        if bytes == 0 || line.last() != Some(&b'\n') {
            return Err(ErrorCode::StreamInterrupted);
        }
        Ok(line)
    }

    /// Checks an event's sequence number and request id; true if it is the last.
    fn check_event(&self, line: &[u8], sequence: u64) -> Result<bool, ErrorCode> {
        let event = json::parse(line, MAX_EVENT_BYTES as usize)
            .map_err(|_| ErrorCode::InvalidWorkerResponse)?;
        let in_order = event.get("seq").and_then(|v| v.as_u64()) == Some(sequence);
        let id = event.get("errand").and_then(|v| v.as_str());
        let other_id = id.is_some_and(|id| id != self.request.id);
        if (!in_order || other_id) && !is_disabled(Invariant::StreamSequence) {
            return Err(ErrorCode::InvalidWorkerResponse);
        }
        Ok(event.get("done").and_then(|v| v.as_bool()) == Some(true))
    }

    /// The number of bytes read, or none if the read fails or the attempt is
    /// aborted.
    async fn unless_aborted<F>(&self, read: F) -> Option<usize>
    where
        F: Future<Output = std::io::Result<usize>>,
    {
        let read = pin!(read);
        let command = pin!(self.commands.recv());
        first_of(read, command).await
    }
}

/// The number of bytes read, or none if a command arrives before them.
async fn first_of<A, B>(mut read: Pin<&mut A>, mut command: Pin<&mut B>) -> Option<usize>
where
    A: Future<Output = std::io::Result<usize>>,
    B: Future<Output = Result<AttemptCommand, RecvError>>,
{
    std::future::poll_fn(move |cx| {
        if let Poll::Ready(result) = read.as_mut().poll(cx) {
            return Poll::Ready(result.ok());
        }
        command.as_mut().poll(cx).map(|_| None)
    })
    .await
}
