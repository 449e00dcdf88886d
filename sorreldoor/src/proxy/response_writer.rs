//! Encoding of workers' responses for clients.

use super::client::Client;
use super::http1::Head;

const CONNECTION_CLOSE: &[u8] = b"Connection: close\r\n";

/// The worker's head without hop-by-hop headers and without the empty line at the
/// end.
fn encode_head(head: &Head) -> Vec<u8> {
    let start_line = head.raw.split(|b| *b == b'\r').next().unwrap_or(&[]);
    let status_and_reason = start_line.split(|b| *b == b' ').skip(1);
    let mut out = b"HTTP/1.1".to_vec();
    for word in status_and_reason {
        out.push(b' ');
        out.extend_from_slice(word);
    }
    out.extend_from_slice(b"\r\n");
    for (name, value) in head.iter().filter(|(name, _)| !head.is_hop_by_hop(name)) {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Encodes a response whose body is complete, with its `Content-Length`.
pub fn complete_response(client: &Client, head: &Head, body: &[u8]) -> Vec<u8> {
    let mut out = encode_head(head);
    if !matches!(head.status, 204 | 304) {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    if client.close_after_response {
        out.extend_from_slice(CONNECTION_CLOSE);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Encodes the head of a chunked response.
pub fn stream_head(client: &Client, head: &Head) -> Vec<u8> {
    let mut out = encode_head(head);
    out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
    if client.close_after_response {
        out.extend_from_slice(CONNECTION_CLOSE);
    }
    out.extend_from_slice(b"\r\n");
    out
}
