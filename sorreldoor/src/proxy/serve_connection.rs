//! Serving one client's connection: requests are read one after the other, and
//! each is answered before the next.

use super::client::Client;
use super::dialect::{Dialect, RequestMetadata};
use super::forward_request::forward_request;
use super::http1::{Framing, Head};
use super::request_reader::{read_request, RequestError};
use super::shared_state::SharedState;
use super::upstream::ClientRequest;
use crate::error::ErrorCode;
use crate::runtime::Clock;
use crate::types::Millis;
use async_std::net::TcpStream;
use async_std::task;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The longest `Retry-After` of a node without configuration, in milliseconds.
const MAX_RETRY_AFTER_MS: Millis = 700;
/// Assumed where the client states no deadline, in milliseconds.
const DEFAULT_CLIENT_DEADLINE_MS: Millis = 3000;
/// Bytes reserved for a request line and `Content-Length` beyond the head's own.
const ADDED_HEAD_BYTES: usize = 64;

/// Serves one connection until either side ends it.
pub async fn serve_connection<D: Dialect, C: Clock + Send + Sync + 'static>(
    shared: Arc<SharedState<D, C>>,
    stream: TcpStream,
) {
    let _ = stream.set_nodelay(true);
    let mut client = Client::new(stream);
    loop {
        let (head, body) = match read_request(&shared, &mut client).await {
            Ok(request) => request,
            Err(RequestError::Rejected(error)) => return client.reject_and_close(error).await,
            Err(RequestError::ConnectionEnded) => return,
        };
        client.http10 = head.minor_version == 0;
        client.close_after_response = head.closes_connection();
        shared.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        let keep_alive = serve_request(&shared, &mut client, head, body).await;
        shared.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
        if !keep_alive || client.close_after_response {
            return;
        }
        // a connection that always has bytes must let others run
        task::yield_now().await;
    }
}

/// Answers one request; returns whether the connection stays open.
async fn serve_request<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &mut Client,
    head: Head,
    body: Vec<u8>,
) -> bool {
    let now = shared.now();
    client.close_after_response |= shared.is_draining();
    let mut metadata = RequestMetadata::default();
    let forwarded_head = encode_head(&shared.dialect, &head, body.len(), &mut metadata);
    let host = host(&head);
    let begun = shared
        .lock()
        .balancer
        .begin(host, head.path(), metadata.clone(), now, now);
    let request_id = match begun {
        Ok(request_id) => request_id,
        Err(error) => {
            let retry_after_ms = retry_after_ms(error, metadata.deadline_ms);
            return client.answer_error(error, retry_after_ms).await;
        }
    };
    let request = ClientRequest {
        request_id,
        method: head.method().to_string(),
        client_attempt_id: metadata.client_attempt_id,
        head: forwarded_head,
        body,
        last_event: metadata.last_event,
    };
    let keep_alive = forward_request(shared, client, &request).await;
    let now = shared.now();
    shared.lock().balancer.finish(request_id, now);
    shared.wake_queued();
    keep_alive
}

/// The request line and the forwarded headers; reads the metadata on the way.
fn encode_head<D: Dialect>(
    dialect: &D,
    head: &Head,
    body_length: usize,
    metadata: &mut RequestMetadata,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(head.raw.len() + ADDED_HEAD_BYTES);
    out.extend_from_slice(&head.raw[head.method.clone()]);
    out.push(b' ');
    out.extend_from_slice(&head.raw[head.target.clone()]);
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.iter() {
        let rewritten = dialect.read_request_header(name, value, metadata);
        if !rewritten && !head.is_hop_by_hop(name) {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
    let has_body = head.request_framing().unwrap_or(Framing::None) != Framing::None;
    if has_body || matches!(head.method(), "POST" | "PUT" | "PATCH") {
        out.extend_from_slice(format!("Content-Length: {body_length}\r\n").as_bytes());
    }
    out
}

/// The `Host` header without its port.
fn host(head: &Head) -> &str {
    let host = head.get("host").unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// A node that has just started needs a while for its configuration, and
/// clients wait a third of their deadline at most.
fn retry_after_ms(error: ErrorCode, client_deadline_ms: Option<Millis>) -> Millis {
    if !error.is_retryable() {
        return 0;
    }
    let third = client_deadline_ms.unwrap_or(DEFAULT_CLIENT_DEADLINE_MS) / 3;
    third.min(MAX_RETRY_AFTER_MS)
}
