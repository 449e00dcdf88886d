//! A streamed response as an HTTP body.

use super::worker_exchange::StreamPart;
use crate::error::ErrorCode;
use crate::http::DisconnectWatch;
use crate::json::Value;
use async_std::channel::Receiver;
use async_std::io::{self, BufRead, Read};
use async_std::stream::Stream;
use simd_json::prelude::*;
use std::pin::Pin;
use std::task::{Context, Poll};

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Open,
    Ended,
    Broken,
}

/// The events of a stream as newline-delimited JSON. A broken stream ends in
/// an event that names the error, and then in an incomplete body.
pub(super) struct EventStreamBody {
    parts: Receiver<StreamPart>,
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that were read.
    offset: usize,
    progress: Progress,
    /// Reports a disconnect of the caller for as long as the body is sent.
    _watch: DisconnectWatch,
}

impl EventStreamBody {
    pub fn new(parts: Receiver<StreamPart>, watch: DisconnectWatch) -> EventStreamBody {
        EventStreamBody {
            parts,
            buffer: Vec::new(),
            offset: 0,
            progress: Progress::Open,
            _watch: watch,
        }
    }

    fn accept(&mut self, part: StreamPart) {
        self.offset = 0;
        match part {
            StreamPart::Event(line) => self.buffer = line,
            StreamPart::End => {
                self.progress = Progress::Ended;
                self.buffer.clear();
            }
            StreamPart::Broken(error_code) => {
                self.buffer = error_event(error_code);
                self.progress = Progress::Broken;
            }
        }
    }
}

fn error_event(error_code: ErrorCode) -> Vec<u8> {
    let mut v = Value::object();
    let _ = v.insert("problem", error_code.code());
    let _ = v.insert("text", ErrorCode::StreamInterrupted.message());
    (v.encode() + "\n").into_bytes()
}

impl BufRead for EventStreamBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        while body.offset >= body.buffer.len() {
            match body.progress {
                Progress::Open => {}
                Progress::Ended => return Poll::Ready(Ok(&[])),
                Progress::Broken => {
                    let error = io::Error::new(
                        io::ErrorKind::BrokenPipe,
                        "the worker's stream ended before its last event",
                    );
                    return Poll::Ready(Err(error));
                }
            }
            let part = match Pin::new(&mut body.parts).poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                // the attempt's task ended without reporting the end of the stream
                Poll::Ready(None) => StreamPart::Broken(ErrorCode::StreamInterrupted),
                Poll::Ready(Some(part)) => part,
            };
            body.accept(part);
        }
        Poll::Ready(Ok(&body.buffer[body.offset..]))
    }

    fn consume(self: Pin<&mut Self>, bytes: usize) {
        let body = self.get_mut();
        body.offset = (body.offset + bytes).min(body.buffer.len());
    }
}

impl Read for EventStreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(available)) => {
                let bytes = available.len().min(target.len());
                target[..bytes].copy_from_slice(&available[..bytes]);
                bytes
            }
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        };
        self.consume(bytes);
        Poll::Ready(Ok(bytes))
    }
}
