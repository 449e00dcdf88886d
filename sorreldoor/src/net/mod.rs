//! Connections that carry frames. Outgoing connections are re-established when
//! lost; every connection has a bounded queue of outgoing frames.

mod connection;
mod core_query;
mod outgoing;

pub use core_query::query_core_addresses;
pub use outgoing::{queue, Closed, Outgoing, OutgoingFrames, Push};

use crate::log_events::{log_event, LogEvent};
use crate::runtime::{EventSender, Prioritized};
use crate::sync::lock;
use crate::wire::{self, Payload};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::sync::Arc;
use async_std::task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Number of a connection, unique within the process.
pub type Conn = u64;

/// A connection is closed when sent data stays unacknowledged for this long
/// (TCP_USER_TIMEOUT, RFC 5482): the peer's machine is down or unreachable. The
/// kernel acknowledges data for a suspended process, which this does not detect.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const MIN_RECONNECT_BACKOFF_MS: u64 = 50;
/// Kept short, so that nodes that start together connect without much delay.
const MAX_RECONNECT_BACKOFF_MS: u64 = 200;
/// How long to wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// One in this many dropped frames is logged, so that a peer that does not read
/// cannot flood the log.
const DROPS_PER_LOG_LINE: u64 = 1000;

/// An event on one of the connections of a `Net`. Events of one connection are
/// in order.
#[derive(Debug)]
pub enum NetEvent {
    /// A connection is established, and frames may be sent on it.
    Up {
        /// The new connection.
        conn: Conn,
        /// The address given to `Net::dial`; `None` if the peer opened the
        /// connection.
        dialled: Option<SocketAddr>,
    },
    /// A frame was received.
    Frame {
        /// The connection that received it.
        conn: Conn,
        /// Its content.
        payload: Box<Payload>,
    },
    /// A connection is closed. One opened by `Net::dial` is re-established.
    Down {
        /// The connection that is closed.
        conn: Conn,
    },
}

/// An address to which `Net` maintains a connection.
#[derive(Default)]
struct OutgoingTarget {
    /// Set by `Net::undial`: no new connection is opened.
    stopped: AtomicBool,
    /// The latest connection; 0 before the first one.
    conn: AtomicU64,
}

/// All frame connections of a process. Events are sent to one queue, converted
/// to its event type `E`.
pub struct Net<E> {
    site_fingerprint: Arc<String>,
    events: EventSender<E>,
    wrap_event: fn(NetEvent) -> E,
    outgoing: Arc<Mutex<HashMap<Conn, Outgoing>>>,
    next_conn: Arc<AtomicU64>,
    targets: Arc<Mutex<HashMap<SocketAddr, Arc<OutgoingTarget>>>>,
    max_connections: usize,
    dropped_frames: Arc<AtomicU64>,
}

impl<E> Clone for Net<E> {
    fn clone(&self) -> Net<E> {
        Net {
            site_fingerprint: self.site_fingerprint.clone(),
            events: self.events.clone(),
            wrap_event: self.wrap_event,
            outgoing: self.outgoing.clone(),
            next_conn: self.next_conn.clone(),
            targets: self.targets.clone(),
            max_connections: self.max_connections,
            dropped_frames: self.dropped_frames.clone(),
        }
    }
}

impl<E: Prioritized + Send + 'static> Net<E> {
    /// Starts without connections. Frames carry `site_fingerprint`, events are
    /// converted by `wrap_event` for the queue `events`, and `listen` accepts no
    /// connection beyond `max_connections`.
    pub fn new(
        site_fingerprint: String,
        events: EventSender<E>,
        wrap_event: fn(NetEvent) -> E,
        max_connections: usize,
    ) -> Net<E> {
        Net {
            site_fingerprint: Arc::new(site_fingerprint),
            events,
            wrap_event,
            outgoing: Arc::default(),
            next_conn: Arc::new(AtomicU64::new(1)),
            targets: Arc::default(),
            max_connections,
            dropped_frames: Arc::default(),
        }
    }

    /// Queues a frame; returns false if it was dropped because the connection is
    /// closed or its queue is full.
    pub fn send(&self, conn: Conn, payload: &Payload) -> bool {
        let outgoing = lock(&self.outgoing).get(&conn).cloned();
        let Some(outgoing) = outgoing else {
            return false;
        };
        let pushed = outgoing.push(wire::encode_frame(&self.site_fingerprint, payload));
        if pushed == Push::Full {
            let dropped = self.dropped_frames.fetch_add(1, Ordering::Relaxed);
            if dropped.is_multiple_of(DROPS_PER_LOG_LINE) {
                log_event(LogEvent::QueueFull, format!("to connection {conn}"));
            }
        }
        pushed == Push::Queued
    }

    /// Closes a connection; `NetEvent::Down` follows.
    pub fn close(&self, conn: Conn) {
        if let Some(outgoing) = lock(&self.outgoing).remove(&conn) {
            outgoing.close();
        }
    }

    /// Accepts connections until its task ends. Those beyond `max_connections` are
    /// closed at once.
    pub async fn listen(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                task::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            // bounds the memory that a flood of connections can use
            if lock(&self.outgoing).len() >= self.max_connections {
                continue;
            }
            let net = self.clone();
            task::spawn(async move { net.run_connection(stream, None).await });
        }
    }

    /// Maintains a connection to `addr` until `undial`, with exponential backoff
    /// between attempts. `to` is the address to connect to, which differs from
    /// `addr` where the settings map it.
    pub fn dial(&self, addr: SocketAddr, to: SocketAddr) {
        let target = Arc::new(OutgoingTarget::default());
        {
            let mut targets = lock(&self.targets);
            if targets.contains_key(&addr) {
                return;
            }
            targets.insert(addr, target.clone());
        }
        let net = self.clone();
        task::spawn(async move { net.maintain_connection(addr, to, target).await });
    }

    async fn maintain_connection(
        self,
        addr: SocketAddr,
        to: SocketAddr,
        target: Arc<OutgoingTarget>,
    ) {
        let mut backoff_ms = MIN_RECONNECT_BACKOFF_MS;
        while !target.stopped.load(Ordering::SeqCst) {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                backoff_ms = MIN_RECONNECT_BACKOFF_MS;
                let dialled = Some((addr, target.clone()));
                self.clone().run_connection(stream, dialled).await;
            }
            task::sleep(Duration::from_millis(backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_RECONNECT_BACKOFF_MS);
        }
    }

    /// Stops connecting to `addr`, and closes its connection.
    pub fn undial(&self, addr: SocketAddr) {
        let target = lock(&self.targets).remove(&addr);
        if let Some(target) = target {
            target.stopped.store(true, Ordering::SeqCst);
            self.close(target.conn.load(Ordering::SeqCst));
        }
    }
}
