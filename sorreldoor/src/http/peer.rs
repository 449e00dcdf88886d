//! The client's end of a connection: whether it is still there, and how long ago it
//! may have sent a request.

use async_std::net::TcpStream;
use async_std::task;
use std::future::Future;
use std::task::Poll;
use std::time::{Duration, Instant};

/// How long a connection may have been established before it is accepted: it waits
/// for the last segment of the handshake and in the listener's backlog.
pub const ACCEPT_DELAY: Duration = Duration::from_millis(500);

/// Bounds the time since a client sent a request, however late the request arrives
/// or is read.
///
/// A client sends on a new connection only once the connection is established, and
/// on a kept one only once it has the previous response; pipelining is not supported.
#[derive(Clone, Copy, Debug)]
pub struct RequestAge {
    /// When the connection was accepted, or the previous response was ready.
    since: Instant,
    /// How long before `since` the client may have begun to send.
    allowance: Duration,
}

impl RequestAge {
    /// The age of the first request on a connection that is accepted now.
    #[must_use]
    pub fn of_accepted_connection() -> RequestAge {
        RequestAge {
            since: Instant::now(),
            allowance: ACCEPT_DELAY,
        }
    }

    /// The age of the request that follows a response which is written from now on.
    #[must_use]
    pub fn after_response() -> RequestAge {
        RequestAge {
            since: Instant::now(),
            allowance: Duration::ZERO,
        }
    }

    /// The longest time that may have passed since the request was sent.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        self.since.elapsed() + self.allowance
    }
}

/// The connection that a request arrived on.
pub struct Peer {
    stream: TcpStream,
    request_age: RequestAge,
}

impl Peer {
    pub(super) fn new(stream: TcpStream, request_age: RequestAge) -> Peer {
        Peer {
            stream,
            request_age,
        }
    }

    /// How long ago the client may have sent the request.
    #[must_use]
    pub fn request_age(&self) -> RequestAge {
        self.request_age
    }

    /// Whether the client has closed the connection or its sending side.
    pub async fn has_disconnected(&self) -> bool {
        let mut byte = [0; 1];
        let mut peek = std::pin::pin!(self.stream.peek(&mut byte));
        let peeked = std::future::poll_fn(|cx| Poll::Ready(peek.as_mut().poll(cx)));
        matches!(peeked.await, Poll::Ready(Ok(0) | Err(_)))
    }

    /// Calls `on_disconnect` if the client disconnects before the watch is
    /// dropped.
    pub fn watch<F, Fut>(self, on_disconnect: F) -> DisconnectWatch
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        DisconnectWatch(Some(task::spawn(async move {
            let mut byte = [0; 1];
            // a byte that can be read belongs to a pipelined request
            if matches!(self.stream.peek(&mut byte).await, Ok(0) | Err(_)) {
                on_disconnect().await;
            }
        })))
    }
}

/// Watches a connection for a disconnect until it is dropped.
pub struct DisconnectWatch(Option<task::JoinHandle<()>>);

impl DisconnectWatch {
    /// Stops the watch.
    pub fn stop(self) {}
}

impl Drop for DisconnectWatch {
    fn drop(&mut self) {
        if let Some(watch_task) = self.0.take() {
            task::spawn(async move {
                watch_task.cancel().await;
            });
        }
    }
}
