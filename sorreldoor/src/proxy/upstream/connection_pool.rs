//! Keep-alive connections to workers, pooled by incarnation of a worker. An
//! idle connection on which any byte arrives is closed: such a byte belongs to
//! no request.

use crate::invariants::{is_disabled, Invariant};
use crate::proxy::http1::ReadBuffer;
use async_std::net::TcpStream;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Idle time-out assumed for a worker that announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection is dropped this many milliseconds before the worker's own
/// time-out, as the worker may close it while a request is in flight.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 300;
/// Non-idempotent requests use connections idle for less than this.
pub const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1500);

/// One connection to a worker, idle or used by one request.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: ReadBuffer,
    /// It has carried a request before.
    pub reused: bool,
    /// The current request was written completely.
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

    /// Whether neither bytes nor the end arrived while it was idle.
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
    busy: u32,
}

/// The connections of this node to all workers, by the balancer's worker index.
#[derive(Default)]
pub struct ConnectionPool {
    workers: Mutex<HashMap<u32, WorkerConnections>>,
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, WorkerConnections>> {
        self.workers.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Counts one more connection as busy, and returns one that was idle for
    /// less than `max_idle`, if there is any. Each call is matched by one of
    /// [`ConnectionPool::release`] and [`ConnectionPool::discard`].
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
            // those further down were idle for even longer
            if age >= max_idle && age < timeout {
                connections.idle.push(candidate);
                return None;
            }
        }
        None
    }

    /// Counts one more connection as busy, which the caller opens itself.
    pub fn acquire_new(&self, worker: u32) {
        self.lock().entry(worker).or_default().busy += 1;
    }

    /// Closes the longest idle connections to a worker beyond `max_connections`
    /// in all, busy ones included, before a new one is opened.
    pub fn evict_surplus(&self, worker: u32, max_connections: u32) {
        if let Some(connections) = self.lock().get_mut(&worker) {
            let capacity = max_connections.saturating_sub(connections.busy) as usize;
            let surplus = connections.idle.len().saturating_sub(capacity);
            connections.idle.drain(..surplus);
        }
    }

    /// Pools a connection after a complete response; `keep_alive_s` is the
    /// worker's own idle time-out in seconds.
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

    /// Uncounts an acquired connection that is closed.
    pub fn discard(&self, worker: u32) {
        if let Some(connections) = self.lock().get_mut(&worker) {
            connections.busy = connections.busy.saturating_sub(1);
        }
    }

    /// Closes connections past their idle time-out.
    pub fn evict_expired(&self) {
        self.lock().retain(|_, connections| {
            connections
                .idle
                .retain(|idle| idle.idle_since.elapsed() < idle.idle_timeout);
            connections.busy > 0 || !connections.idle.is_empty()
        });
    }
}
