//! Connections that carry frames: redialled when lost, with bounded queues.

mod connection;
mod outgoing;

pub use outgoing::{queue, Closed, Outgoing, OutgoingFrames, Push};

use crate::log_events::{log_event, LogEvent};
use crate::runtime::{EventSender, Prioritized};
use crate::wire::{self, Payload};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::sync::Arc;
use async_std::task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Number of a connection, unique within the process.
pub type Conn = u64;

/// Data that a peer's machine has not acknowledged for so long ends the
/// connection: the machine has lost its power or is cut off (TCP_USER_TIMEOUT,
/// RFC 5482). A frozen process is not meant, as its machine acknowledges.
pub const USER_TIMEOUT: Duration = Duration::from_millis(1500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const MIN_REDIAL_MS: u64 = 50;
/// Where all start at once, nobody should come late by the backoff alone.
const MAX_REDIAL_MS: u64 = 200;
/// How long to wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Of so many dropped frames one is logged: a peer that does not read would
/// fill the log as well.
const LOGGED_DROPS: u64 = 1000;

/// What happens on the connections of a `Net`, in order for each of them.
#[derive(Debug)]
pub enum NetEvent {
    /// A connection is established, and frames may be sent on it.
    Up {
        /// The new connection.
        conn: Conn,
        /// The address given to `Net::dial`; `None` if the peer connected.
        dialled: Option<SocketAddr>,
    },
    /// A frame was received.
    Frame {
        /// The connection it came on.
        conn: Conn,
        /// Its content.
        payload: Box<Payload>,
    },
    /// A connection is closed. A dialled address is dialled again.
    Down {
        /// The connection that is closed.
        conn: Conn,
    },
}

/// A standing dial: whether to stop, and the connection it has now.
#[derive(Default)]
struct Dial {
    stopped: AtomicBool,
    conn: AtomicU64,
}

/// All frame connections of a process. Events go to one queue, as the type `E`
/// of its receiver.
pub struct Net<E> {
    site_fingerprint: Arc<String>,
    events: EventSender<E>,
    wrap_event: fn(NetEvent) -> E,
    outgoing: Arc<Mutex<HashMap<Conn, Outgoing>>>,
    next_conn: Arc<AtomicU64>,
    dials: Arc<Mutex<HashMap<SocketAddr, Arc<Dial>>>>,
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
            dials: self.dials.clone(),
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
            dials: Arc::default(),
            max_connections,
            dropped_frames: Arc::default(),
        }
    }

    /// Queues a frame; false if it was dropped since the connection is closed
    /// or too far behind.
    pub fn send(&self, conn: Conn, payload: &Payload) -> bool {
        let outgoing = locked(&self.outgoing).get(&conn).cloned();
        let Some(outgoing) = outgoing else {
            return false;
        };
        let pushed = outgoing.push(wire::encode_frame(&self.site_fingerprint, payload));
        if pushed == Push::Full {
            let dropped = self.dropped_frames.fetch_add(1, Ordering::Relaxed);
            if dropped.is_multiple_of(LOGGED_DROPS) {
                log_event(LogEvent::QueueFull, format!("to connection {conn}"));
            }
        }
        pushed == Push::Queued
    }

    /// Closes a connection; `NetEvent::Down` follows.
    pub fn close(&self, conn: Conn) {
        if let Some(outgoing) = locked(&self.outgoing).remove(&conn) {
            outgoing.close();
        }
    }

    /// Accepts connections for ever. Beyond the bound they are closed at once.
    pub async fn listen(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                task::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            // a flood of connections must not take the node's memory
            if locked(&self.outgoing).len() >= self.max_connections {
                continue;
            }
            let net = self.clone();
            task::spawn(async move { net.run_connection(stream, None).await });
        }
    }

    /// Keeps a connection to `addr` until `undial`, with retries after 50 to
    /// 200 ms. `to` is the address to connect to, which differs from `addr`
    /// where the settings map it.
    pub fn dial(&self, addr: SocketAddr, to: SocketAddr) {
        let dial = Arc::new(Dial::default());
        {
            let mut dials = locked(&self.dials);
            if dials.contains_key(&addr) {
                return;
            }
            dials.insert(addr, dial.clone());
        }
        let net = self.clone();
        task::spawn(async move { net.keep_dialling(addr, to, dial).await });
    }

    async fn keep_dialling(self, addr: SocketAddr, to: SocketAddr, dial: Arc<Dial>) {
        let mut backoff_ms = MIN_REDIAL_MS;
        while !dial.stopped.load(Ordering::SeqCst) {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                backoff_ms = MIN_REDIAL_MS;
                let dialled = Some((addr, dial.clone()));
                self.clone().run_connection(stream, dialled).await;
            }
            task::sleep(Duration::from_millis(backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_REDIAL_MS);
        }
    }

    /// Stops dialling `addr`, and closes its connection.
    pub fn undial(&self, addr: SocketAddr) {
        let dial = locked(&self.dials).remove(&addr);
        if let Some(dial) = dial {
            dial.stopped.store(true, Ordering::SeqCst);
            self.close(dial.conn.load(Ordering::SeqCst));
        }
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
