//! A response body from pieces that come one by one.

use async_std::channel::{bounded, Receiver};
use async_std::io;
use http_types::{Body, Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Pieces from a channel as a body; `cut` ends it as a broken one.
pub struct Feed {
    rx: Receiver<Vec<u8>>,
    buf: Vec<u8>,
    at: usize,
    cut: bool,
}

impl Feed {
    pub fn new(rx: Receiver<Vec<u8>>, cut: bool) -> Feed {
        Feed {
            rx,
            buf: Vec::new(),
            at: 0,
            cut,
        }
    }
}

impl io::BufRead for Feed {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        use async_std::stream::Stream;
        let me = self.get_mut();
        while me.at >= me.buf.len() {
            match Pin::new(&mut me.rx).poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) if me.cut => {
                    return Poll::Ready(Err(io::Error::other("cut on purpose")))
                }
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(b)) => {
                    me.buf = b;
                    me.at = 0;
                }
            }
        }
        Poll::Ready(Ok(&me.buf[me.at..]))
    }

    fn consume(self: Pin<&mut Self>, n: usize) {
        let me = self.get_mut();
        me.at = (me.at + n).min(me.buf.len());
    }
}

impl io::Read for Feed {
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

/// A chunked body that breaks off after what is given.
pub fn broken(id: String, first: Vec<u8>) -> Response {
    let (tx, rx) = bounded::<Vec<u8>>(1);
    if !first.is_empty() {
        let _ = tx.try_send(first);
    }
    drop(tx);
    let mut r = Response::new(StatusCode::Ok);
    r.set_body(Body::from_reader(Feed::new(rx, true), None));
    r.insert_header("x-errand-id", id);
    r.insert_header("content-type", "application/x-ndjson");
    r
}
