//! HTTP endpoints with JSON documents on the status of the node, on listeners of
//! their own.

use super::http1::{parse_request_head, read_body, Framing, Head, ReadBuffer};
use super::ready_edge::ReadyEdge;
use async_std::future::timeout;
use async_std::io::prelude::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time-out for receiving a request and sending its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How long to wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_BODY_BYTES: usize = 64 << 10;

/// The status of the node, as endpoints show it.
#[derive(Clone, Debug, Default)]
pub struct NodeStatus {
    /// Whether the node has a configuration and workers, and is not shutting down.
    pub ready: bool,
    /// The edges that serve clients.
    pub ready_edges: Vec<ReadyEdge>,
}

/// A response of a status endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusResponse {
    /// HTTP status code; a 503 is sent with `Retry-After: 1`.
    pub status: u16,
    /// The JSON document.
    pub body: String,
}

/// Returns the response to a method and target, from the node's status.
pub type StatusHandler = Box<dyn Fn(&NodeStatus, &str, &str) -> StatusResponse + Send + Sync>;

/// A status endpoint: its address and its handler.
pub struct StatusEndpoint {
    /// The address on which it listens.
    pub addr: SocketAddr,
    /// Returns the response to each request.
    pub handler: StatusHandler,
}

/// Returns the response to a method and target.
pub type RequestHandler = Arc<dyn Fn(&str, &str) -> StatusResponse + Send + Sync>;

/// Accepts and serves an endpoint's connections. Never returns.
pub async fn serve_status_endpoint(listener: TcpListener, handler: RequestHandler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve_connection(stream, handler.clone()));
            }
            Err(_) => task::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection(mut stream: TcpStream, handler: RequestHandler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = ReadBuffer::default();
    loop {
        let request = serve_request(&mut stream, &mut buffer, &handler);
        let Ok(true) = timeout(REQUEST_TIMEOUT, request).await else {
            return;
        };
        buffer.shrink();
    }
}

/// Responds to one request; returns whether the connection stays open.
async fn serve_request(
    stream: &mut TcpStream,
    buffer: &mut ReadBuffer,
    handler: &RequestHandler,
) -> bool {
    let Some(head) = read_head(stream, buffer).await else {
        return false;
    };
    let framing = head.request_framing().unwrap_or(Framing::Close);
    if framing == Framing::Close
        || read_body(stream, buffer, framing, MAX_BODY_BYTES)
            .await
            .is_err()
    {
        return false;
    }
    let response = handler(head.method(), head.target());
    let close = head.closes_connection();
    let bytes = encode_response(&response, close);
    stream.write_all(bytes.as_bytes()).await.is_ok() && !close
}

async fn read_head(stream: &mut TcpStream, buffer: &mut ReadBuffer) -> Option<Head> {
    loop {
        match parse_request_head(buffer, MAX_HEAD_BYTES) {
            Ok(Some(head)) => return Some(head),
            Ok(None) => {}
            Err(_) => return None,
        }
        if !matches!(buffer.fill(stream).await, Ok(count) if count > 0) {
            return None;
        }
    }
}

fn encode_response(response: &StatusResponse, close: bool) -> String {
    let status = response.status;
    let reason = http_types::StatusCode::try_from(status).map_or("", |s| s.canonical_reason());
    let retry_after = match status {
        503 => "Retry-After: 1\r\n",
        _ => "",
    };
    let connection = match close {
        true => "Connection: close\r\n",
        false => "",
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{retry_after}{connection}\r\n{}",
        response.body.len(),
        response.body
    )
}
