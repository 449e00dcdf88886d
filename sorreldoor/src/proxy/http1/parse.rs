//! Parsing of message heads from a [`ReadBuffer`].

use super::{Head, ReadBuffer, ReadError};
use std::ops::Range;

/// Limit on the number of headers in one head.
const MAX_HEADERS: usize = 96;
/// Limit on an incomplete response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// The lowest status code (RFC 9110, section 15).
const MIN_STATUS: u16 = 100;

/// Removes a complete request head from the front of `buffer`; `None` while
/// it is incomplete.
///
/// # Errors
/// [`ReadError::Malformed`]; [`ReadError::HeadTooLarge`] for a head of more than
/// `max_bytes` bytes or too many headers.
pub fn parse_request_head(
    buffer: &mut ReadBuffer,
    max_bytes: usize,
) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(buffer.unread()).map_err(|e| match e {
        httparse::Error::TooManyHeaders => ReadError::HeadTooLarge,
        _ => ReadError::Malformed,
    })?;
    let httparse::Status::Complete(length) = status else {
        return incomplete(buffer, max_bytes);
    };
    if length > max_bytes {
        return Err(ReadError::HeadTooLarge);
    }
    let raw = buffer.unread();
    let method = range_in(raw, request.method.unwrap_or("").as_bytes());
    let target = range_in(raw, request.path.unwrap_or("").as_bytes());
    let minor_version = request.version.unwrap_or(1);
    let headers = header_ranges(raw, request.headers);
    Ok(Some(Head {
        raw: buffer.take(length),
        headers,
        method,
        target,
        status: 0,
        reason: 0..0,
        minor_version,
    }))
}

/// Removes a complete response head from the front of `buffer`; `None` while
/// it is incomplete.
///
/// # Errors
/// [`ReadError::Malformed`], also for a status below 100;
/// [`ReadError::HeadTooLarge`] for an incomplete head above the limit.
pub fn parse_response_head(buffer: &mut ReadBuffer) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let status = response
        .parse(buffer.unread())
        .map_err(|_| ReadError::Malformed)?;
    let httparse::Status::Complete(length) = status else {
        return incomplete(buffer, MAX_RESPONSE_HEAD_BYTES);
    };
    let raw = buffer.unread();
    let status = response.code.filter(|code| *code >= MIN_STATUS);
    let status = status.ok_or(ReadError::Malformed)?;
    let reason = range_in(raw, response.reason.unwrap_or("").as_bytes());
    let minor_version = response.version.unwrap_or(1);
    let headers = header_ranges(raw, response.headers);
    Ok(Some(Head {
        raw: buffer.take(length),
        headers,
        method: 0..0,
        target: 0..0,
        status,
        reason,
        minor_version,
    }))
}

/// `None` for an incomplete head within the limit.
fn incomplete(buffer: &ReadBuffer, max_bytes: usize) -> Result<Option<Head>, ReadError> {
    match buffer.len() <= max_bytes {
        true => Ok(None),
        false => Err(ReadError::HeadTooLarge),
    }
}

fn header_ranges(raw: &[u8], headers: &[httparse::Header]) -> Vec<(Range<usize>, Range<usize>)> {
    headers
        .iter()
        .map(|h| (range_in(raw, h.name.as_bytes()), range_in(raw, h.value)))
        .collect()
}

/// The range of `part` in `raw`, of which it is a subslice; an empty one may be any.
fn range_in(raw: &[u8], part: &[u8]) -> Range<usize> {
    if part.is_empty() {
        return 0..0;
    }
    let start = part.as_ptr() as usize - raw.as_ptr() as usize;
    start..start + part.len()
}
