//! Connections that carry frames: redialled when lost, with bounded queues.

use crate::log_events::{log_event, LogEvent};
use crate::wire::{self, Payload};
use async_std::channel::{bounded, Receiver, Sender, TrySendError};
use async_std::future::timeout;
use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::sync::Arc;
use async_std::task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Number of a connection, unique within the process.
pub type Conn = u64;

/// Sending end of a bounded queue to a thread's event loop.
pub type Ring<T> = Sender<T>;

/// Frames that may wait for one connection.
const OUT: usize = 1024;
/// Bytes that may wait for one connection, beside a single frame of any size.
const MAX_QUEUED: usize = 4 << 20;
/// A connection on which nothing arrives for so long is closed.
const IDLE: Duration = Duration::from_secs(3);
/// Bytes of a frame that must arrive within `IDLE`, or the connection counts
/// as dead.
const PIECE: usize = 16 * 1024;
/// Timeout of connecting.
const DIAL: Duration = Duration::from_millis(800);

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
struct Connect {
    stop: AtomicBool,
    conn: AtomicU64,
}

/// Queue of frames to be written to a connection, bounded in number and bytes.
#[derive(Clone)]
pub struct Outgoing {
    frames: Sender<Vec<u8>>,
    queued: Arc<AtomicUsize>,
}

/// The writer's end of `Outgoing`.
pub struct Queued {
    frames: Receiver<Vec<u8>>,
    queued: Arc<AtomicUsize>,
}

/// Creates the queue of a connection.
pub fn queue() -> (Outgoing, Queued) {
    let (tx, rx) = bounded(OUT);
    let queued = Arc::new(AtomicUsize::new(0));
    let writer = Queued {
        frames: rx,
        queued: queued.clone(),
    };
    (Outgoing { frames: tx, queued }, writer)
}

impl Outgoing {
    /// Queues a frame: `Some(false)` if too much waits already and the frame
    /// is dropped, `None` if the connection is closed.
    pub fn push(&self, frame: Vec<u8>) -> Option<bool> {
        let bytes = frame.len();
        let waiting = self.queued.fetch_add(bytes, Ordering::Relaxed);
        let fits = waiting == 0 || waiting + bytes <= MAX_QUEUED;
        let sent = match fits {
            true => self.frames.try_send(frame),
            false => Err(TrySendError::Full(frame)),
        };
        if sent.is_err() {
            self.queued.fetch_sub(bytes, Ordering::Relaxed);
        }
        match sent {
            Ok(()) => Some(true),
            Err(e) if e.is_full() => Some(false),
            Err(_) => None,
        }
    }

    fn close(&self) {
        self.frames.close();
    }
}

impl Queued {
    /// Waits for the next frame; `None` once the connection is closed. The
    /// frame counts as waiting until `done`.
    pub async fn next(&self) -> Option<Vec<u8>> {
        self.frames.recv().await.ok()
    }

    /// Marks a frame as written, which makes room for others.
    pub fn done(&self, frame: &[u8]) {
        self.queued.fetch_sub(frame.len(), Ordering::Relaxed);
    }
}

type Outs = Arc<Mutex<HashMap<Conn, Outgoing>>>;

/// All frame connections of a process. Events go to one queue, as the type `E`
/// of its receiver.
pub struct Net<E> {
    mark: Arc<String>,
    into: Ring<E>,
    wrap: fn(NetEvent) -> E,
    outs: Outs,
    next: Arc<AtomicU64>,
    peer_addresses: Arc<Mutex<HashMap<SocketAddr, Arc<Connect>>>>,
    most: usize,
    full: Arc<AtomicU64>,
}

impl<E> Clone for Net<E> {
    fn clone(&self) -> Net<E> {
        Net {
            mark: self.mark.clone(),
            into: self.into.clone(),
            wrap: self.wrap,
            outs: self.outs.clone(),
            next: self.next.clone(),
            peer_addresses: self.peer_addresses.clone(),
            most: self.most,
            full: self.full.clone(),
        }
    }
}

impl<E: Send + 'static> Net<E> {
    /// Starts without connections. `mark` is the fingerprint of the site that
    /// frames carry, `wrap` converts an event for the queue `into`, and `most`
    /// bounds the connections at which `listen` accepts more.
    pub fn new(mark: String, into: Ring<E>, wrap: fn(NetEvent) -> E, most: usize) -> Net<E> {
        Net {
            mark: Arc::new(mark),
            into,
            wrap,
            outs: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            peer_addresses: Arc::default(),
            most,
            full: Arc::default(),
        }
    }

    /// Queues a frame; false if it was dropped since the connection is closed
    /// or too far behind.
    pub fn send(&self, conn: Conn, p: &Payload) -> bool {
        let out = locked(&self.outs).get(&conn).cloned();
        let sent = out.and_then(|o| o.push(wire::pack(&self.mark, p)));
        let full = sent == Some(false);
        // a neighbour that does not read would fill the log as well
        if full
            && self
                .full
                .fetch_add(1, Ordering::Relaxed)
                .is_multiple_of(1000)
        {
            log_event(LogEvent::QueueFull, format!("to connection {conn}"));
        }
        sent == Some(true)
    }

    /// Closes a connection; `NetEvent::Down` follows.
    pub fn close(&self, conn: Conn) {
        if let Some(out) = locked(&self.outs).remove(&conn) {
            out.close();
        }
    }

    /// Accepts connections for ever. Beyond the bound they are closed at once.
    pub async fn listen(self, l: TcpListener) {
        loop {
            let Ok((s, _)) = l.accept().await else {
                task::sleep(Duration::from_millis(50)).await;
                continue;
            };
            // a flood of connections must not take the node's memory
            if locked(&self.outs).len() >= self.most {
                continue;
            }
            let me = self.clone();
            task::spawn(async move { me.run(s, None).await });
        }
    }

    /// Keeps a connection to `addr` until `undial`, with retries after 50 to
    /// 200 ms. `to` is the address to connect to, which differs from `addr`
    /// where the settings map it.
    pub fn dial(&self, addr: SocketAddr, to: SocketAddr) {
        let d = Arc::new(Connect::default());
        if locked(&self.peer_addresses).contains_key(&addr) {
            return;
        }
        locked(&self.peer_addresses).insert(addr, d.clone());
        let me = self.clone();
        task::spawn(async move {
            let mut wait = 50;
            while !d.stop.load(Ordering::SeqCst) {
                if let Ok(Ok(s)) = timeout(DIAL, TcpStream::connect(to)).await {
                    wait = 50;
                    me.clone().run(s, Some((addr, d.clone()))).await;
                }
                task::sleep(Duration::from_millis(wait)).await;
                // where all start at once nobody should come late by this alone
                wait = (wait * 2).min(200);
            }
        });
    }

    /// Stops dialling `addr`, and closes its connection.
    pub fn undial(&self, addr: SocketAddr) {
        let d = locked(&self.peer_addresses).remove(&addr);
        if let Some(d) = d {
            d.stop.store(true, Ordering::SeqCst);
            self.close(d.conn.load(Ordering::SeqCst));
        }
    }

    async fn run(self, s: TcpStream, dial: Option<(SocketAddr, Arc<Connect>)>) {
        let conn = self.next.fetch_add(1, Ordering::Relaxed);
        let _ = s.set_nodelay(true);
        let (tx, rx) = queue();
        locked(&self.outs).insert(conn, tx);
        if let Some((_, d)) = &dial {
            d.conn.store(conn, Ordering::SeqCst);
            // it may have been told to stop while it was connecting
            if d.stop.load(Ordering::SeqCst) {
                return self.close(conn);
            }
        }
        let dialled = dial.map(|(a, _)| a);
        let up = (self.wrap)(NetEvent::Up { conn, dialled });
        let _ = self.into.send(up).await;
        let w = task::spawn(write(s.clone(), rx));
        self.read(conn, s).await;
        self.close(conn);
        w.cancel().await;
        let down = (self.wrap)(NetEvent::Down { conn });
        let _ = self.into.send(down).await;
    }

    async fn read(&self, conn: Conn, mut s: TcpStream) {
        loop {
            let mut head = [0; 4];
            let got = timeout(IDLE, s.read_exact(&mut head)).await;
            if !matches!(got, Ok(Ok(()))) || !locked(&self.outs).contains_key(&conn) {
                return;
            }
            let got = match wire::length(head) {
                Err(e) => Err(e),
                Ok(n) => {
                    let Some(b) = read_frame(&mut s, n).await else {
                        return;
                    };
                    wire::unpack(&self.mark, &b)
                }
            };
            match got {
                Ok(p) => {
                    let payload = Box::new(p);
                    let ev = (self.wrap)(NetEvent::Frame { conn, payload });
                    if self.into.send(ev).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    let from = s.peer_addr().map(|a| a.to_string()).unwrap_or_default();
                    log_event(LogEvent::FrameRejected, format!("from {from}: {e}"));
                    return;
                }
            }
        }
    }
}

/// Read a frame's `n` bytes. A slow link may take its time, as long as
/// something comes.
async fn read_frame(s: &mut TcpStream, n: usize) -> Option<Vec<u8>> {
    let mut frame = vec![0; n];
    for piece in frame.chunks_mut(PIECE) {
        timeout(IDLE, s.read_exact(piece)).await.ok()?.ok()?;
    }
    Some(frame)
}

async fn write(mut s: TcpStream, queued: Queued) {
    while let Some(frame) = queued.next().await {
        if s.write_all(&frame).await.is_err() {
            break;
        }
        queued.done(&frame);
    }
    let _ = s.shutdown(std::net::Shutdown::Both);
}

fn locked<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|p| p.into_inner())
}
