//! The pool of keep-alive connections, for each incarnation of a worker. An idle
//! connection on which bytes arrive is closed, as they belong to no request.

use crate::invariants::{is_disabled, Invariant};
use crate::proxy::http1::ReadBuffer;
use crate::sync::lock;
use async_std::net::TcpStream;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Idle time-out of workers that announce none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from the worker's own idle time-out, so that the worker does not
/// close a connection while a request is being sent on it.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 300;
/// Non-idempotent requests use only connections that were idle for less than this.
pub const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1500);

/// One connection to a worker, idle in the pool or used by one attempt.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: ReadBuffer,
    /// Whether an earlier request was sent on it.
    pub reused: bool,
    /// Whether the current request was written completely.
    pub request_sent: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Those of the operating system.
    pub async fn connect(addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(addr).await?;
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            stream,
            buffer: ReadBuffer::default(),
            reused: false,
            request_sent: false,
        })
    }

    /// Whether the connection is open and has no unread bytes.
    fn is_clean(&self) -> bool {
        if is_disabled(Invariant::CleanConnection) {
            return true;
        }
        let mut byte = [0; 1];
        let mut peek = pin!(self.stream.peek(&mut byte));
        let mut context = Context::from_waker(Waker::noop());
        self.buffer.is_empty() && matches!(peek.as_mut().poll(&mut context), Poll::Pending)
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    idle_timeout: Duration,
}

#[derive(Default)]
struct WorkerConnections {
    /// The most recently used is last.
    idle: Vec<IdleConnection>,
    /// Number of connections in use by attempts or being opened.
    busy: u32,
}

/// This node's connections to workers, by the balancer's index of each worker.
#[derive(Default)]
pub struct ConnectionPool {
    workers: Mutex<HashMap<u32, WorkerConnections>>,
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, WorkerConnections>> {
        lock(&self.workers)
    }

    /// Returns a connection that was idle for less than `max_idle`, or `None` if the
    /// caller must open one. Either counts as busy until the caller passes it to
    /// [`ConnectionPool::release`] or calls [`ConnectionPool::discard`].
    pub fn acquire(&self, worker: u32, max_idle: Duration) -> Option<Connection> {
        let mut workers = self.lock();
        let connections = workers.entry(worker).or_default();
        connections.busy += 1;
        while let Some(candidate) = connections.idle.pop() {
            let age = candidate.idle_since.elapsed();
            let timeout = candidate.idle_timeout;
            if age < timeout.min(max_idle) && candidate.connection.is_clean() {
                return Some(candidate.connection);
            }
            // the remaining ones were idle for even longer
            if age >= max_idle && age < timeout {
                connections.idle.push(candidate);
                return None;
            }
        }
        None
    }

    /// Counts a connection that the caller opens itself as busy.
    pub fn acquire_new(&self, worker: u32) {
        self.lock().entry(worker).or_default().busy += 1;
    }

    /// Closes the longest idle connections to a worker until idle and busy ones
    /// together are at most `max_connections`, or none is idle.
    pub fn evict_surplus(&self, worker: u32, max_connections: u32) {
        if let Some(connections) = self.lock().get_mut(&worker) {
            let capacity = max_connections.saturating_sub(connections.busy) as usize;
            let surplus = connections.idle.len().saturating_sub(capacity);
            connections.idle.drain(..surplus);
        }
    }

    /// Returns a connection to the pool after a complete response. `keep_alive_s` is
    /// the idle time-out in seconds that the worker announced.
    pub fn release(&self, worker: u32, mut connection: Connection, keep_alive_s: Option<u64>) {
        connection.reused = true;
        connection.request_sent = false;
        connection.buffer.shrink();
        let idle_timeout = keep_alive_s.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| {
            Duration::from_millis((seconds * 1000).saturating_sub(IDLE_TIMEOUT_MARGIN_MS))
        });
        let mut workers = self.lock();
        let connections = workers.entry(worker).or_default();
        connections.busy = connections.busy.saturating_sub(1);
        connections.idle.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
            idle_timeout,
        });
    }

    /// Stops counting a connection as busy that was closed or not established.
    pub fn discard(&self, worker: u32) {
        if let Some(connections) = self.lock().get_mut(&worker) {
            connections.busy = connections.busy.saturating_sub(1);
        }
    }

    /// Closes connections that were idle for their time-out or longer.
    pub fn evict_expired(&self) {
        self.lock().retain(|_, connections| {
            connections
                .idle
                .retain(|idle| idle.idle_since.elapsed() < idle.idle_timeout);
            connections.busy > 0 || !connections.idle.is_empty()
        });
    }
}
