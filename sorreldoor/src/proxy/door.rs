//! Small doors beside the callers' one: a question in a target, an answer in
//! a few bytes, and nothing kept in between.

use super::body::body;
use super::http1::{parse_request_head, Framing, ReadBuffer};
use async_std::future::timeout;
use async_std::io::prelude::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

const IDLE: Duration = Duration::from_secs(20);
const MOST_HEAD: usize = 8 << 10;
const MOST_BODY: usize = 64 << 10;

/// Status and JSON for a method and target.
pub type Answer = Arc<dyn Fn(&str, &str) -> (u16, String) + Send + Sync>;

pub async fn serve(l: TcpListener, f: Answer) {
    loop {
        match l.accept().await {
            Ok((s, _)) => {
                task::spawn(one(s, f.clone()));
            }
            Err(_) => task::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn one(mut s: TcpStream, f: Answer) {
    let _ = s.set_nodelay(true);
    let mut buf = ReadBuffer::default();
    while let Ok(true) = timeout(IDLE, answer(&mut s, &mut buf, &f)).await {
        buf.shrink();
    }
}

/// One question; whether the connection goes on.
async fn answer(s: &mut TcpStream, buf: &mut ReadBuffer, f: &Answer) -> bool {
    let head = loop {
        match parse_request_head(buf, MOST_HEAD) {
            Ok(Some(h)) => break h,
            Ok(None) => {}
            Err(_) => return false,
        }
        if !matches!(buf.fill(s).await, Ok(n) if n > 0) {
            return false;
        }
    };
    let framing = head.request_framing().unwrap_or(Framing::Close);
    if framing == Framing::Close || body(s, buf, framing, MOST_BODY).await.is_err() {
        return false;
    }
    let (status, text) = f(head.method(), head.target());
    let why = http_types::StatusCode::try_from(status).map_or("", |s| s.canonical_reason());
    let close = head.closes();
    let end = if close { "Connection: close\r\n" } else { "" };
    let again = if status == 503 {
        "Retry-After: 1\r\n"
    } else {
        ""
    };
    let b = format!(
        "HTTP/1.1 {status} {why}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{again}{end}\r\n{text}",
        text.len()
    );
    s.write_all(b.as_bytes()).await.is_ok() && !close
}
