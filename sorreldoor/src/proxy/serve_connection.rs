//! Serving one client's connection: its requests are read and forwarded one after
//! the other.

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

/// The longest `Retry-After` of a request that the balancer does not accept.
const MAX_RETRY_AFTER_MS: Millis = 700;
/// Assumed for clients that state no deadline.
const DEFAULT_CLIENT_DEADLINE_MS: Millis = 3000;
/// Bytes reserved for headers that are added to those received.
const ADDED_HEAD_BYTES: usize = 64;

/// Serves one connection until either side closes it.
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
        client.response_started = false;
        shared.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        let keep_alive = serve_request(&shared, &mut client, head, body).await;
        shared.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
        if !keep_alive || client.close_after_response {
            return;
        }
        // lets other tasks run if this connection always has bytes
        task::yield_now().await;
    }
}

/// Responds to one request; returns whether the connection stays open.
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
        .begin_request(host, head.path(), metadata.clone(), now);
    let request_id = match begun {
        Ok(request_id) => request_id,
        Err(error) => {
            let retry_after_ms = retry_after_ms(error, metadata.deadline_ms);
            return client.send_error(error, retry_after_ms).await;
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

/// Returns the request line and the headers for the worker, without the empty line
/// at the end, and fills `metadata` from the headers.
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

/// Milliseconds after which the client should retry, at most a third of its
/// deadline; 0 if it must not retry.
fn retry_after_ms(error: ErrorCode, client_deadline_ms: Option<Millis>) -> Millis {
    if !error.is_retryable() {
        return 0;
    }
    let third = client_deadline_ms.unwrap_or(DEFAULT_CLIENT_DEADLINE_MS) / 3;
    third.min(MAX_RETRY_AFTER_MS)
}
