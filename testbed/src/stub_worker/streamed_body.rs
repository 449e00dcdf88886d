//! A response body fed by a channel, which may end with an error.

use async_std::channel::{bounded, Receiver};
use async_std::io;
use http_types::{Body, Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Reads the chunks of a channel as a body.
pub(super) struct StreamedBody {
    chunks: Receiver<Vec<u8>>,
    buffer: Vec<u8>,
    position: usize,
    /// Whether the body ends with an error.
    aborts: bool,
}

impl StreamedBody {
    pub(super) fn new(chunks: Receiver<Vec<u8>>, aborts: bool) -> StreamedBody {
        StreamedBody {
            chunks,
            buffer: Vec::new(),
            position: 0,
            aborts,
        }
    }
}

impl io::BufRead for StreamedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        use async_std::stream::Stream;
        let body = self.get_mut();
        while body.position >= body.buffer.len() {
            match Pin::new(&mut body.chunks).poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) if body.aborts => {
                    return Poll::Ready(Err(io::Error::other(
                        "stream aborted by an injected fault",
                    )))
                }
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(chunk)) => {
                    body.buffer = chunk;
                    body.position = 0;
                }
            }
        }
        Poll::Ready(Ok(&body.buffer[body.position..]))
    }

    fn consume(self: Pin<&mut Self>, n: usize) {
        let body = self.get_mut();
        body.position = (body.position + n).min(body.buffer.len());
    }
}

impl io::Read for StreamedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        use io::BufRead;
        let n = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(b)) => {
                let n = b.len().min(into.len());
                into[..n].copy_from_slice(&b[..n]);
                n
            }
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => return Poll::Pending,
        };
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}

/// A response whose chunked body is aborted before its first chunk.
pub(super) fn aborted_response(id: String) -> Response {
    let (_, no_chunks) = bounded::<Vec<u8>>(1);
    let mut response = Response::new(StatusCode::Ok);
    let body = StreamedBody::new(no_chunks, true);
    response.set_body(Body::from_reader(body, None));
    response.insert_header("x-errand-id", id);
    response.insert_header("content-type", "application/x-ndjson");
    response
}
