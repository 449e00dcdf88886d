//! A caller's connection: requests read whole within the operator's limits,
//! one after the other, each answered before the next.

use super::body::body;
use super::carry::{carry, Job};
use super::dialect::{Asked, Dialect};
use super::http1::{take_request, Buf, Fault, Framing, Head};
use super::shared::Shared;
use crate::problem::Problem;
use crate::seam::Clock;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::prelude::*;
use async_std::task;
use futures_lite::future::or;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Without any configuration a node asks callers back after so many milliseconds.
const NEW: u64 = 700;
/// How long an answer to a request that was not read whole may take to be seen.
const LINGER: Duration = Duration::from_millis(500);

pub struct Client {
    pub s: TcpStream,
    pub buf: Buf,
    /// What is said of the connection in the next answer.
    pub close: bool,
    /// The caller speaks HTTP/1.0: no chunks.
    pub old: bool,
}

impl Client {
    pub async fn write(&mut self, b: &[u8]) -> bool {
        self.s.write_all(b).await.is_ok()
    }

    /// Ready once the caller has hung up.
    pub async fn gone(&self) {
        let mut b = [0; 1];
        // bytes that wait belong to the next request; only an end counts
        if !matches!(self.s.peek(&mut b).await, Ok(0) | Err(_)) {
            std::future::pending::<()>().await;
        }
    }

    /// An answer of this node's own.
    pub async fn answer(&mut self, p: Problem, again_ms: u64) -> bool {
        let body = format!("{{\"problem\":\"{}\",\"text\":\"{}\"}}", p.code(), p.text());
        let status = p.status();
        let why = http_types::StatusCode::try_from(status).map_or("", |s| s.canonical_reason());
        let mut h = format!(
            "HTTP/1.1 {status} {why}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        if again_ms > 0 {
            h.push_str(&format!("Retry-After: {:.3}\r\n", again_ms as f64 / 1000.0));
        }
        if self.close {
            h.push_str("Connection: close\r\n");
        }
        h.push_str("\r\n");
        h.push_str(&body);
        self.write(h.as_bytes()).await
    }

    /// Answers what was not read whole, and lets the answer arrive.
    async fn turn_away(&mut self, p: Problem) {
        self.close = true;
        if !self.answer(p, 0).await {
            return;
        }
        let _ = self.s.shutdown(Shutdown::Write);
        // closing with unread bytes resets, and the answer would be lost
        let _ = timeout(LINGER, async {
            while matches!(self.buf.fill(&mut self.s).await, Ok(n) if n > 0) {
                self.buf.eat(self.buf.len());
            }
        })
        .await;
    }
}

fn fault_of(f: Fault) -> Option<Problem> {
    match f {
        Fault::Ended | Fault::Cut => None,
        Fault::Malformed => Some(Problem::BadRequest),
        Fault::HeadTooLarge => Some(Problem::HeadTooLarge),
        Fault::BodyTooLarge => Some(Problem::BodyTooLarge),
    }
}

/// The next request whole, or none where the connection ends.
async fn next<D: Dialect, C: Clock>(
    sh: &Shared<D, C>,
    c: &mut Client,
) -> Result<(Head, Vec<u8>), Option<Problem>> {
    let lim = sh.lock().table.hosted().map(|h| h.limits);
    let lim = lim.unwrap_or_default();
    if c.buf.is_empty() {
        c.buf.shrink();
        let idle = Duration::from_millis(lim.idle_ms.max(1));
        let come = async { Some(c.buf.fill(&mut c.s).await.unwrap_or(0)) };
        let bell = async {
            let _ = sh.hear.recv().await;
            None
        };
        let got = timeout(idle, or(come, bell)).await;
        if !matches!(got, Ok(Some(n)) if n > 0) {
            return Err(None);
        }
    }
    let late = Duration::from_millis(lim.header_ms.max(1));
    let head = timeout(late, head(c, lim.header_bytes)).await;
    let head = head.map_err(|_| Some(Problem::SlowSender))?;
    let head = head.map_err(fault_of)?;
    let framing = head.request_framing().map_err(fault_of)?;
    let waits = head.get("expect");
    if framing != Framing::None && waits.is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
        let go = c.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        Some(()).filter(|_| go).ok_or(None)?;
    }
    let slow = Duration::from_millis(lim.idle_ms.max(lim.header_ms));
    let b = timeout(slow, body(&mut c.s, &mut c.buf, framing, lim.body_bytes)).await;
    let b = b.map_err(|_| Some(Problem::SlowSender))?;
    Ok((head, b.map_err(fault_of)?))
}

async fn head(c: &mut Client, most: usize) -> Result<Head, Fault> {
    loop {
        if let Some(h) = take_request(&mut c.buf, most)? {
            return Ok(h);
        }
        match c.buf.fill(&mut c.s).await {
            Ok(n) if n > 0 => {}
            _ => return Err(Fault::Ended),
        }
    }
}

pub async fn serve<D: Dialect, C: Clock + Send + Sync + 'static>(
    sh: Arc<Shared<D, C>>,
    s: TcpStream,
) {
    let _ = s.set_nodelay(true);
    let (buf, close, old) = (Buf::default(), false, false);
    let mut c = Client { s, buf, close, old };
    loop {
        let (head, body) = match next(&sh, &mut c).await {
            Ok(r) => r,
            Err(p) => {
                if let Some(p) = p {
                    c.turn_away(p).await;
                }
                return;
            }
        };
        c.old = head.minor == 0;
        c.close = head.closes();
        sh.running.fetch_add(1, Ordering::Relaxed);
        let keep = one(&sh, &mut c, head, body).await;
        sh.running.fetch_sub(1, Ordering::Relaxed);
        if !keep || c.close {
            return;
        }
        // a connection that always has bytes must let others run
        task::yield_now().await;
    }
}

/// One request to its answer; whether the connection may go on.
async fn one<D: Dialect, C: Clock>(
    sh: &Shared<D, C>,
    c: &mut Client,
    head: Head,
    body: Vec<u8>,
) -> bool {
    let now = sh.now();
    c.close |= sh.is_leaving();
    let mut asked = Asked::default();
    let mut wire = Vec::with_capacity(head.raw.len() + 64);
    wire.extend_from_slice(&head.raw[head.method.clone()]);
    wire.push(b' ');
    wire.extend_from_slice(&head.raw[head.target.clone()]);
    wire.extend_from_slice(b" HTTP/1.1\r\n");
    for (n, v) in head.iter() {
        let anew = sh.dialect.ask(n, v, &mut asked);
        if !anew && !head.hop(n) {
            wire.extend_from_slice(n.as_bytes());
            wire.extend_from_slice(b": ");
            wire.extend_from_slice(v);
            wire.extend_from_slice(b"\r\n");
        }
    }
    let framed = head.request_framing().unwrap_or(Framing::None) != Framing::None;
    if framed || matches!(head.method(), "POST" | "PUT" | "PATCH") {
        wire.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    let host = head.get("host").unwrap_or("");
    let host = host.rsplit_once(':').map_or(host, |(h, _)| h);
    let began = sh
        .lock()
        .table
        .begin(host, head.path(), asked.clone(), now, now);
    let rid = match began {
        Ok(r) => r,
        Err(p) => {
            // a node that has just started needs a while to know its way,
            // and callers heed a third of their time at most
            let third = asked.deadline_ms.unwrap_or(3000) / 3;
            let again = if p.again() { third.min(NEW) } else { 0 };
            return c.answer(p, again).await;
        }
    };
    let job = Job {
        rid,
        method: head.method().to_string(),
        id: asked.id,
        wire,
        body,
        last_event: asked.last_event,
    };
    let keep = carry(sh, c, &job).await;
    let now = sh.now();
    sh.lock().table.end(rid, now);
    sh.wake();
    keep
}
