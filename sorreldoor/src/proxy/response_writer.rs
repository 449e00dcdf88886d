//! Encoding of workers' responses for clients.

use super::client::Client;
use super::http1::Head;

const CONNECTION_CLOSE: &[u8] = b"Connection: close\r\n";

/// The worker's head without hop-by-hop headers and without the empty line at the
/// end, encoded anew from its parsed parts.
fn encode_head(head: &Head) -> Vec<u8> {
    // the space after the status is mandatory (RFC 9112, section 4)
    let status_line = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason());
    let mut out = status_line.into_bytes();
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
