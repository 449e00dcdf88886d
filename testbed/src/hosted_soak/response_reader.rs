//! Reading of responses by clients of the soak, and what may be wrong with them.

use super::records::Ending;
use super::strict_head::syntax_fault;
use super::workers::{event, plain_body};
use async_std::net::TcpStream;
use platform::dialect::{ATTEMPT, SEAL};
use sorreldoor::proxy::http1::{parse_response_head, BodyDecoder, Head, ReadBuffer};

/// Reads one head.
///
/// # Errors
/// [`Ending::Closed`] or [`Ending::Malformed`].
pub async fn read_head(stream: &mut TcpStream, buffer: &mut ReadBuffer) -> Result<Head, Ending> {
    loop {
        if let Some(head) = parse_response_head(buffer).map_err(|_| Ending::Malformed)? {
            return Ok(head);
        }
        if !matches!(buffer.fill(stream).await, Ok(count) if count > 0) {
            return Err(Ending::Closed);
        }
    }
}

/// Reads the response to a request, with what is wrong with it, if anything. `events`: the
/// request asked for a stream of this many.
///
/// # Errors
/// [`Ending::Closed`] if the connection ends before the response does, and
/// [`Ending::Malformed`].
pub async fn read_response(
    stream: &mut TcpStream,
    buffer: &mut ReadBuffer,
    attempt_id: &str,
    events: Option<u64>,
) -> Result<(Head, Option<String>), Ending> {
    let head = read_head(stream, buffer).await?;
    let framing = head.response_framing("POST");
    let mut decoder = BodyDecoder::new(framing.map_err(|_| Ending::Malformed)?);
    let mut body = Vec::new();
    while !decoder
        .decode(buffer, &mut body)
        .map_err(|_| Ending::Malformed)?
    {
        if !matches!(buffer.fill(stream).await, Ok(count) if count > 0) {
            return Err(Ending::Closed);
        }
    }
    let fault = syntax_fault(&head).or_else(|| fault_of(&head, &body, attempt_id, events));
    Ok((head, fault))
}

/// What is wrong with a success: it must be a complete response of a worker to this
/// request.
fn fault_of(head: &Head, body: &[u8], attempt_id: &str, events: Option<u64>) -> Option<String> {
    if head.status != 200 {
        return None;
    }
    let sealed = head
        .get(SEAL)
        .is_some_and(|seal| seal.ends_with(attempt_id));
    if !sealed || head.get(ATTEMPT) != Some(attempt_id) {
        return Some("status 200 without the headers that the worker sets".into());
    }
    let expected = match events {
        Some(count) => (1..=count).map(|n| event(attempt_id, n)).collect(),
        None => plain_body(attempt_id),
    };
    if body == expected.as_bytes() {
        return None;
    }
    let body = String::from_utf8_lossy(body);
    let end: String = body.chars().rev().take(60).collect();
    let end: String = end.chars().rev().collect();
    Some(format!("{} bytes, ending in {end:?}", body.len()))
}
