//! A client's connection: what is read from it and written to it.

use super::http1::ReadBuffer;
use crate::error::ErrorCode;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::prelude::*;
use std::net::Shutdown;
use std::time::Duration;

/// How long an answer to a request that was not read whole may take to be seen.
const LINGER: Duration = Duration::from_millis(500);

/// One connection of a client.
pub struct Client {
    pub stream: TcpStream,
    pub buf: ReadBuffer,
    /// What is said of the connection in the next answer.
    pub close: bool,
    /// The client speaks HTTP/1.0: no chunks.
    pub http10: bool,
}

impl Client {
    /// Whether all of it could be written.
    pub async fn write(&mut self, b: &[u8]) -> bool {
        self.stream.write_all(b).await.is_ok()
    }

    /// Ready once the client has hung up.
    pub async fn gone(&self) {
        let mut b = [0; 1];
        // bytes that wait belong to the next request; only an end counts
        if !matches!(self.stream.peek(&mut b).await, Ok(0) | Err(_)) {
            std::future::pending::<()>().await;
        }
    }

    /// An answer of this node's own.
    pub async fn answer(&mut self, p: ErrorCode, again_ms: u64) -> bool {
        let body = format!(
            "{{\"problem\":\"{}\",\"text\":\"{}\"}}",
            p.code(),
            p.message()
        );
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
    pub async fn turn_away(&mut self, p: ErrorCode) {
        self.close = true;
        if !self.answer(p, 0).await {
            return;
        }
        let _ = self.stream.shutdown(Shutdown::Write);
        // closing with unread bytes resets, and the answer would be lost
        let _ = timeout(LINGER, async {
            while matches!(self.buf.fill(&mut self.stream).await, Ok(n) if n > 0) {
                self.buf.eat(self.buf.len());
            }
        })
        .await;
    }
}
