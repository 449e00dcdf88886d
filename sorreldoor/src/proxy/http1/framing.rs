//! The length of a message body (RFC 9112, section 6).

use super::Head;
use std::fmt;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// After this many bytes; in requests never 0.
    Length(u64),
    /// After the last chunk and its trailers.
    Chunked,
    /// When the connection is closed.
    Close,
}

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended before a complete head.
    Ended,
    /// The connection ended in a body.
    Truncated,
    /// The bytes are not valid HTTP/1.1.
    Malformed,
    /// The head exceeds its limit in bytes or in headers.
    HeadTooLarge,
    /// The body exceeds its limit in bytes.
    BodyTooLarge,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadError::Ended => "the connection ended before a complete head",
            ReadError::Truncated => "the connection ended in the body",
            ReadError::Malformed => "malformed HTTP/1.1",
            ReadError::HeadTooLarge => "the head exceeds its limit",
            ReadError::BodyTooLarge => "the body exceeds its limit",
        })
    }
}

impl std::error::Error for ReadError {}

impl Head {
    /// The framing of a request's body.
    ///
    /// # Errors
    /// [`ReadError::Malformed`] for ambiguous framing, which two implementations could
    /// interpret differently (request smuggling).
    pub fn request_framing(&self) -> Result<Framing, ReadError> {
        let length = self.content_length()?;
        let chunked = self.is_chunked()?;
        match (length, chunked) {
            (Some(_), true) => Err(ReadError::Malformed),
            (_, true) => Ok(Framing::Chunked),
            (Some(length), _) if length > 0 => Ok(Framing::Length(length)),
            _ => Ok(Framing::None),
        }
    }

    /// The framing of the body of a response to a request with this method.
    ///
    /// # Errors
    /// [`ReadError::Malformed`] for ambiguous framing, as in requests.
    pub fn response_framing(&self, method: &str) -> Result<Framing, ReadError> {
        if method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::None);
        }
        let length = self.content_length()?;
        let chunked = self.is_chunked()?;
        match (length, chunked) {
            (Some(_), true) => Err(ReadError::Malformed),
            (_, true) => Ok(Framing::Chunked),
            (Some(length), _) => Ok(Framing::Length(length)),
            _ => Ok(Framing::Close),
        }
    }

    /// The value of `Content-Length`; fails if it is invalid or repeated with another
    /// value.
    fn content_length(&self) -> Result<Option<u64>, ReadError> {
        let mut found = None;
        for (name, value) in self.iter() {
            if !name.eq_ignore_ascii_case("content-length") {
                continue;
            }
            let length = parse_length(value)?;
            if found.is_some_and(|earlier| earlier != length) {
                return Err(ReadError::Malformed);
            }
            found = Some(length);
        }
        Ok(found)
    }

    /// Whether the body is chunked; fails for any other transfer coding.
    fn is_chunked(&self) -> Result<bool, ReadError> {
        let mut codings = self
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
        let Some((_, coding)) = codings.next() else {
            return Ok(false);
        };
        let only_chunked =
            codings.next().is_none() && coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
        match only_chunked {
            true => Ok(true),
            false => Err(ReadError::Malformed),
        }
    }
}

/// Accepts digits only, as a sign or a list of lengths is ambiguous.
fn parse_length(value: &[u8]) -> Result<u64, ReadError> {
    let value = std::str::from_utf8(value).map_err(|_| ReadError::Malformed)?;
    let digits = value.trim();
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ReadError::Malformed);
    }
    digits.parse().map_err(|_| ReadError::Malformed)
}
