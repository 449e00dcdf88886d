//! HTTP/1.1 for the stand-ins: reading of heads and bodies, and calls on new connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a message, with header names in lower case.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection or on a time-out.
pub fn read_head(stream: &mut TcpStream) -> Option<Head> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Some(Head { first, headers })
}

pub fn read_body(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// A complete answer.
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// One call on a new connection; `None` without a complete answer within the time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, within).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(within)).ok()?;
    let has = |name: &str| headers.iter().any(|(n, _)| n.eq_ignore_ascii_case(name));
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n");
    if !has("host") {
        bytes.push_str(&format!("Host: {addr}\r\n"));
    }
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let head = read_head(&mut stream)?;
    let body = read_body(&mut stream, head.length())?;
    let status = head.status();
    Some(Answer { status, head, body })
}
