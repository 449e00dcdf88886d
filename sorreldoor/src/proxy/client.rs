//! A client's connection, and the proxy's own responses to it.

use super::http1::ReadBuffer;
use crate::error::ErrorCode;
use crate::types::Millis;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::prelude::*;
use std::net::Shutdown;
use std::time::Duration;

/// How long input is discarded after an error response before the connection is
/// closed (lingering close).
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection of a client.
pub struct Client {
    pub stream: TcpStream,
    pub buffer: ReadBuffer,
    /// Whether the connection is closed after the next response, which says so.
    pub close_after_response: bool,
    /// Whether any part of the response to the current request may have been written.
    pub response_started: bool,
    /// Whether the client uses HTTP/1.0, which has no chunked coding.
    pub http10: bool,
}

impl Client {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream) -> Client {
        Client {
            stream,
            buffer: ReadBuffer::default(),
            close_after_response: false,
            response_started: false,
            http10: false,
        }
    }

    /// Writes all bytes; false if the client has disconnected.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.response_started = true;
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Resolves once the client has disconnected.
    pub async fn disconnected(&self) {
        let mut byte = [0; 1];
        // pending bytes belong to the next request
        if !matches!(self.stream.peek(&mut byte).await, Ok(0) | Err(_)) {
            std::future::pending::<()>().await;
        }
    }

    /// Writes an error response of the proxy's own, with `Retry-After` if
    /// `retry_after_ms` is above 0; false if the client has disconnected.
    pub async fn send_error(&mut self, error: ErrorCode, retry_after_ms: Millis) -> bool {
        let body = format!(
            "{{\"problem\":\"{}\",\"text\":\"{}\"}}",
            error.code(),
            error.message()
        );
        let status = error.status();
        let reason = http_types::StatusCode::try_from(status).map_or("", |s| s.canonical_reason());
        let mut response = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        if error == ErrorCode::UnknownKey {
            response.push_str("WWW-Authenticate: Bearer\r\n");
        }
        if retry_after_ms > 0 {
            let seconds = retry_after_ms as f64 / 1000.0;
            response.push_str(&format!("Retry-After: {seconds:.3}\r\n"));
        }
        if self.close_after_response {
            response.push_str("Connection: close\r\n");
        }
        response.push_str("\r\n");
        response.push_str(&body);
        self.write(response.as_bytes()).await
    }

    /// Rejects a request that was not read completely, and lets the client receive
    /// the response before the connection is closed.
    pub async fn reject_and_close(&mut self, error: ErrorCode) {
        self.close_after_response = true;
        if !self.send_error(error, 0).await {
            return;
        }
        let _ = self.stream.shutdown(Shutdown::Write);
        // closing with unread bytes sends a reset, which can discard the response
        let _ = timeout(LINGER_TIMEOUT, self.discard_input()).await;
    }

    async fn discard_input(&mut self) {
        while matches!(self.buffer.fill(&mut self.stream).await, Ok(count) if count > 0) {
            self.buffer.consume(self.buffer.len());
        }
    }
}
