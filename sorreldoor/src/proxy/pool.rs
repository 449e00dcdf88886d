//! Connections to workers, kept for the next request to the same life of a
//! worker. A connection that holds or receives any byte while it is idle is
//! closed: such a byte belongs to no request.

use super::http1::ReadBuffer;
use crate::invariants::{broken, Invariant};
use async_std::net::TcpStream;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// How long a worker that says nothing of it is taken to keep an idle connection.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// A connection is given up so long before the worker's own time is over, as it
/// may close it while a request is on its way.
const KEEP_MARGIN_MS: u64 = 300;
/// A request that may not be repeated uses connections idle for less than this.
pub const RECENT: Duration = Duration::from_millis(1500);

/// One connection to a worker, idle or under one request.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pub buf: ReadBuffer,
    /// It has carried a request before.
    pub reused: bool,
    /// The present request was written whole.
    pub request_sent: bool,
}

impl Connection {
    pub async fn connect(to: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(to).await?;
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            stream,
            buf: ReadBuffer::default(),
            reused: false,
            request_sent: false,
        })
    }

    /// Whether neither bytes nor the end have come on it while it was idle.
    fn is_quiet(&self) -> bool {
        if broken(Invariant::CleanConnection) {
            return true;
        }
        let mut byte = [0; 1];
        let mut peek = pin!(self.stream.peek(&mut byte));
        let mut context = Context::from_waker(Waker::noop());
        self.buf.is_empty() && matches!(peek.as_mut().poll(&mut context), Poll::Pending)
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    keep: Duration,
}

#[derive(Default)]
struct WorkerConnections {
    /// The most recently used is last.
    idle: Vec<Idle>,
    busy: u32,
}

/// The idle connections of this node, by worker.
#[derive(Default)]
pub struct Pool {
    workers: Mutex<HashMap<u32, WorkerConnections>>,
}

impl Pool {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u32, WorkerConnections>> {
        self.workers.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Counts one more connection as busy, and hands out an idle one that was
    /// used within `within`, if there is one. Each call is ended by one of
    /// [`Pool::give_back`] and [`Pool::closed`].
    pub fn take(&self, worker: u32, within: Duration) -> Option<Connection> {
        let mut workers = self.lock();
        let of_worker = workers.entry(worker).or_default();
        of_worker.busy += 1;
        while let Some(idle) = of_worker.idle.pop() {
            let age = idle.since.elapsed();
            if age < idle.keep.min(within) && idle.connection.is_quiet() {
                return Some(idle.connection);
            }
            // those below have been idle for longer still
            if age >= within && age < idle.keep {
                of_worker.idle.push(idle);
                return None;
            }
        }
        None
    }

    /// Counts one more connection as busy, which the caller opens itself.
    pub fn take_new(&self, worker: u32) {
        self.lock().entry(worker).or_default().busy += 1;
    }

    /// Closes the longest idle connections to a worker beyond `most` in all,
    /// busy ones included, before a new one is opened.
    pub fn make_room(&self, worker: u32, most: u32) {
        if let Some(of_worker) = self.lock().get_mut(&worker) {
            let room = most.saturating_sub(of_worker.busy) as usize;
            let surplus = of_worker.idle.len().saturating_sub(room);
            of_worker.idle.drain(..surplus);
        }
    }

    /// Keeps a connection behind a whole answer; `keep_s` is the worker's own word.
    pub fn give_back(&self, worker: u32, mut connection: Connection, keep_s: Option<u64>) {
        connection.reused = true;
        connection.request_sent = false;
        connection.buf.shrink();
        let keep = keep_s.map_or(DEFAULT_KEEP, |s| {
            Duration::from_millis((s * 1000).saturating_sub(KEEP_MARGIN_MS))
        });
        let mut workers = self.lock();
        let of_worker = workers.entry(worker).or_default();
        of_worker.busy = of_worker.busy.saturating_sub(1);
        of_worker.idle.push(Idle {
            connection,
            since: Instant::now(),
            keep,
        });
    }

    /// A connection that was taken is not coming back.
    pub fn closed(&self, worker: u32) {
        if let Some(of_worker) = self.lock().get_mut(&worker) {
            of_worker.busy = of_worker.busy.saturating_sub(1);
        }
    }

    /// Closes what is past its time.
    pub fn sweep(&self) {
        self.lock().retain(|_, of_worker| {
            of_worker.idle.retain(|i| i.since.elapsed() < i.keep);
            of_worker.busy > 0 || !of_worker.idle.is_empty()
        });
    }
}
