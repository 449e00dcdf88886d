//! Workers' answers as they go to clients.

use super::client::Client;
use super::http1::Head;

/// The worker's head as it goes to the client, without the empty line.
pub fn head_out(head: &Head) -> Vec<u8> {
    let first = head.raw.split(|b| *b == b'\r').next().unwrap_or(&[]);
    let rest = first.split(|b| *b == b' ').skip(1);
    let mut b = b"HTTP/1.1".to_vec();
    for w in rest {
        b.push(b' ');
        b.extend_from_slice(w);
    }
    b.extend_from_slice(b"\r\n");
    for (n, v) in head.iter().filter(|(n, _)| !head.hop(n)) {
        b.extend_from_slice(n.as_bytes());
        b.extend_from_slice(b": ");
        b.extend_from_slice(v);
        b.extend_from_slice(b"\r\n");
    }
    b
}

/// A whole answer as it goes to the client.
pub fn whole_answer(client: &Client, head: &Head, body: &[u8]) -> Vec<u8> {
    let mut b = head_out(head);
    if !matches!(head.status, 204 | 304) {
        b.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    if client.close {
        b.extend_from_slice(b"Connection: close\r\n");
    }
    b.extend_from_slice(b"\r\n");
    b.extend_from_slice(body);
    b
}

/// The framing of a stream to the client.
pub fn stream_head(client: &Client, head: &Head) -> Vec<u8> {
    let mut b = head_out(head);
    b.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
    if client.close {
        b.extend_from_slice(b"Connection: close\r\n");
    }
    b.extend_from_slice(b"\r\n");
    b
}
