//! Serving one client's connection: requests are read whole within the
//! operator's limits, one after the other, and each is answered before the next.

use super::body::body;
use super::carry::carry;
use super::client::Client;
use super::dialect::{Dialect, RequestMetadata};
use super::exchange::ClientRequest;
use super::http1::{parse_request_head, Framing, Head, ReadBuffer, ReadError};
use super::shared::SharedState;
use crate::error::ErrorCode;
use crate::runtime::Clock;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::or;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Without any configuration a node asks clients back after so many milliseconds.
const RETRY_AFTER_START_MS: u64 = 700;
fn fault_of(f: ReadError) -> Option<ErrorCode> {
    match f {
        ReadError::Ended | ReadError::Cut => None,
        ReadError::Malformed => Some(ErrorCode::MalformedHttp),
        ReadError::HeadTooLarge => Some(ErrorCode::HeadTooLarge),
        ReadError::BodyTooLarge => Some(ErrorCode::BodyTooLarge),
    }
}

/// The next request whole, or none where the connection ends.
async fn read_request<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &mut Client,
) -> Result<(Head, Vec<u8>), Option<ErrorCode>> {
    let lim = shared.lock().table.hosted().map(|h| h.limits);
    let lim = lim.unwrap_or_default();
    if client.buf.is_empty() {
        client.buf.shrink();
        let idle = Duration::from_millis(lim.idle_ms.max(1));
        let come = async { Some(client.buf.fill(&mut client.stream).await.unwrap_or(0)) };
        let bell = async {
            let _ = shared.hear.recv().await;
            None
        };
        let got = timeout(idle, or(come, bell)).await;
        if !matches!(got, Ok(Some(n)) if n > 0) {
            return Err(None);
        }
    }
    let late = Duration::from_millis(lim.header_ms.max(1));
    let head = timeout(late, read_head(client, lim.header_bytes)).await;
    let head = head.map_err(|_| Some(ErrorCode::RequestTimeout))?;
    let head = head.map_err(fault_of)?;
    let framing = head.request_framing().map_err(fault_of)?;
    let waits = head.get("expect");
    if framing != Framing::None && waits.is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
        let go = client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        Some(()).filter(|_| go).ok_or(None)?;
    }
    let slow = Duration::from_millis(lim.idle_ms.max(lim.header_ms));
    let b = timeout(
        slow,
        body(&mut client.stream, &mut client.buf, framing, lim.body_bytes),
    )
    .await;
    let b = b.map_err(|_| Some(ErrorCode::RequestTimeout))?;
    Ok((head, b.map_err(fault_of)?))
}

async fn read_head(client: &mut Client, most: usize) -> Result<Head, ReadError> {
    loop {
        if let Some(h) = parse_request_head(&mut client.buf, most)? {
            return Ok(h);
        }
        match client.buf.fill(&mut client.stream).await {
            Ok(n) if n > 0 => {}
            _ => return Err(ReadError::Ended),
        }
    }
}

/// Serves one connection until either side ends it.
pub async fn serve<D: Dialect, C: Clock + Send + Sync + 'static>(
    shared: Arc<SharedState<D, C>>,
    s: TcpStream,
) {
    let _ = s.set_nodelay(true);
    let mut client = Client {
        stream: s,
        buf: ReadBuffer::default(),
        close: false,
        http10: false,
    };
    loop {
        let (head, body) = match read_request(&shared, &mut client).await {
            Ok(r) => r,
            Err(p) => {
                if let Some(p) = p {
                    client.turn_away(p).await;
                }
                return;
            }
        };
        client.http10 = head.minor == 0;
        client.close = head.closes();
        shared.running.fetch_add(1, Ordering::Relaxed);
        let keep = handle(&shared, &mut client, head, body).await;
        shared.running.fetch_sub(1, Ordering::Relaxed);
        if !keep || client.close {
            return;
        }
        // a connection that always has bytes must let others run
        task::yield_now().await;
    }
}

/// One request to its answer; whether the connection may go on.
async fn handle<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &mut Client,
    head: Head,
    body: Vec<u8>,
) -> bool {
    let now = shared.now();
    client.close |= shared.is_leaving();
    let mut metadata = RequestMetadata::default();
    let mut wire = Vec::with_capacity(head.raw.len() + 64);
    wire.extend_from_slice(&head.raw[head.method.clone()]);
    wire.push(b' ');
    wire.extend_from_slice(&head.raw[head.target.clone()]);
    wire.extend_from_slice(b" HTTP/1.1\r\n");
    for (n, v) in head.iter() {
        let anew = shared.dialect.read_request_header(n, v, &mut metadata);
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
    let began = shared
        .lock()
        .table
        .begin(host, head.path(), metadata.clone(), now, now);
    let request_id = match began {
        Ok(r) => r,
        Err(p) => {
            // a node that has just started needs a while to know its way,
            // and callers heed a third of their time at most
            let third = metadata.deadline_ms.unwrap_or(3000) / 3;
            let again = if p.is_retryable() {
                third.min(RETRY_AFTER_START_MS)
            } else {
                0
            };
            return client.answer(p, again).await;
        }
    };
    let request = ClientRequest {
        request_id,
        method: head.method().to_string(),
        id: metadata.id,
        wire,
        body,
        last_event: metadata.last_event,
    };
    let keep = carry(shared, client, &request).await;
    let now = shared.now();
    shared.lock().table.finish(request_id, now);
    shared.wake();
    keep
}
