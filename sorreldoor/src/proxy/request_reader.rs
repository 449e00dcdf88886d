//! Reading a complete request within the configured limits on size and time.

use super::client::Client;
use super::dialect::Dialect;
use super::http1::{parse_request_head, read_body, Framing, Head, ReadError};
use super::shared_state::SharedState;
use crate::configuration::hosted::Limits;
use crate::error::ErrorCode;
use crate::runtime::Clock;
use async_std::future::timeout;
use futures_lite::future::or;
use std::time::Duration;

/// Why no request was read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The client closed the connection, or it was idle for too long; it is closed
    /// without a response.
    ConnectionEnded,
    /// The proxy responds with this error and closes the connection.
    Rejected(ErrorCode),
}

impl From<ReadError> for RequestError {
    fn from(error: ReadError) -> RequestError {
        match error {
            ReadError::Ended | ReadError::Truncated => RequestError::ConnectionEnded,
            ReadError::Malformed => RequestError::Rejected(ErrorCode::MalformedHttp),
            ReadError::HeadTooLarge => RequestError::Rejected(ErrorCode::HeadTooLarge),
            ReadError::BodyTooLarge => RequestError::Rejected(ErrorCode::BodyTooLarge),
        }
    }
}

/// Reads the next request with its body.
///
/// # Errors
/// [`RequestError`] if the connection ends, a limit is exceeded, or the request is
/// malformed.
pub async fn read_request<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &mut Client,
) -> Result<(Head, Vec<u8>), RequestError> {
    let limits = shared.lock().balancer.hosted().map(|h| h.limits);
    let limits = limits.unwrap_or_default();
    if client.buffer.is_empty() {
        wait_for_request(shared, client, &limits).await?;
    }
    let head = read_head(client, &limits).await?;
    let framing = head.request_framing()?;
    if framing != Framing::None && expects_continue(&head) {
        let written = client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if !written {
            return Err(RequestError::ConnectionEnded);
        }
    }
    let body_timeout = Duration::from_millis(limits.idle_ms.max(limits.header_ms));
    let body = read_body(
        &mut client.stream,
        &mut client.buffer,
        framing,
        limits.body_bytes,
    );
    let body = timeout(body_timeout, body).await;
    let body = body.map_err(|_| RequestError::Rejected(ErrorCode::RequestTimeout))??;
    Ok((head, body))
}

fn expects_continue(head: &Head) -> bool {
    head.get("expect")
        .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
}

/// Waits for the first bytes of a request on an idle connection.
async fn wait_for_request<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    client: &mut Client,
    limits: &Limits,
) -> Result<(), RequestError> {
    client.buffer.shrink();
    let idle_timeout = Duration::from_millis(limits.idle_ms.max(1));
    let received = async { Some(client.buffer.fill(&mut client.stream).await.unwrap_or(0)) };
    let closed = async {
        shared.idle_connections_closed().await;
        None
    };
    match timeout(idle_timeout, or(received, closed)).await {
        Ok(Some(count)) if count > 0 => Ok(()),
        _ => Err(RequestError::ConnectionEnded),
    }
}

async fn read_head(client: &mut Client, limits: &Limits) -> Result<Head, RequestError> {
    let head_timeout = Duration::from_millis(limits.header_ms.max(1));
    let head = timeout(head_timeout, read_head_bytes(client, limits.header_bytes)).await;
    let head = head.map_err(|_| RequestError::Rejected(ErrorCode::RequestTimeout))??;
    Ok(head)
}

async fn read_head_bytes(client: &mut Client, max_bytes: usize) -> Result<Head, ReadError> {
    loop {
        if let Some(head) = parse_request_head(&mut client.buffer, max_bytes)? {
            return Ok(head);
        }
        match client.buffer.fill(&mut client.stream).await {
            Ok(count) if count > 0 => {}
            _ => return Err(ReadError::Ended),
        }
    }
}
