//! Connections to workers, kept for the next request to the same life of a worker.

use super::http1::Buf;
use async_std::net::TcpStream;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// A worker that says nothing of its time is taken to keep a connection so long.
const KEEP: Duration = Duration::from_secs(4);
/// What may have run only once goes out on a connection used so lately.
pub const FRESH: Duration = Duration::from_millis(1500);

/// One connection to a worker, between two requests or under one.
#[derive(Debug)]
pub struct Line {
    pub s: TcpStream,
    pub buf: Buf,
    pub reused: bool,
}

impl Line {
    pub async fn connect(to: SocketAddr) -> std::io::Result<Line> {
        let s = TcpStream::connect(to).await?;
        let _ = s.set_nodelay(true);
        let (buf, reused) = (Buf::default(), false);
        Ok(Line { s, buf, reused })
    }

    /// Whether nothing has come on it while it was idle, neither bytes nor its end.
    fn quiet(&self) -> bool {
        let mut b = [0; 1];
        let mut look = pin!(self.s.peek(&mut b));
        let mut cx = Context::from_waker(Waker::noop());
        self.buf.is_empty() && matches!(look.as_mut().poll(&mut cx), Poll::Pending)
    }
}

struct Idle {
    line: Line,
    since: Instant,
    keep: Duration,
}

#[derive(Default)]
struct Lines {
    idle: Vec<Idle>,
    busy: u32,
}

#[derive(Default)]
pub struct Pool {
    all: Mutex<HashMap<u32, Lines>>,
}

impl Pool {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u32, Lines>> {
        self.all.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// A kept connection, used within `within`; counted as busy until given back or lost.
    pub fn take(&self, worker: u32, within: Duration) -> Option<Line> {
        let mut all = self.lock();
        let l = all.entry(worker).or_default();
        l.busy += 1;
        while let Some(i) = l.idle.pop() {
            let age = i.since.elapsed();
            if age < i.keep.min(within) && i.line.quiet() {
                return Some(i.line);
            }
            // the newest are on top, so what lies below is older still
            if age >= within && age < i.keep {
                l.idle.push(i);
                return None;
            }
        }
        None
    }

    /// Back after a whole answer; `keep_s` is the worker's own word.
    pub fn give(&self, worker: u32, mut line: Line, keep_s: Option<u64>) {
        line.reused = true;
        line.buf.shrink();
        // at the last moment of the worker's time it may close as we send
        let keep = keep_s.map_or(KEEP, |s| {
            Duration::from_millis((s * 1000).saturating_sub(300))
        });
        let mut all = self.lock();
        let l = all.entry(worker).or_default();
        l.busy = l.busy.saturating_sub(1);
        let since = Instant::now();
        l.idle.push(Idle { line, since, keep });
    }

    /// A connection that was taken is not coming back.
    pub fn lost(&self, worker: u32) {
        if let Some(l) = self.lock().get_mut(&worker) {
            l.busy = l.busy.saturating_sub(1);
        }
    }

    /// Closes what is past its time.
    pub fn sweep(&self) {
        self.lock().retain(|_, l| {
            l.idle.retain(|i| i.since.elapsed() < i.keep);
            l.busy > 0 || !l.idle.is_empty()
        });
    }
}
