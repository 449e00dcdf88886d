//! Incremental decoding of message bodies in each [`Framing`].

use super::{Framing, ReadBuffer, ReadError};
use async_std::net::TcpStream;

/// Limit on a chunk header or trailer line without its end, in bytes.
const MAX_LINE_BYTES: usize = 8192;
/// Limit on the hexadecimal digits of a chunk size; avoids overflow.
const MAX_SIZE_DIGITS: usize = 12;

/// The decoder of one body, fed with bytes as they arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    framing: Framing,
    /// Bytes still to be received of a body with a length, or of the current chunk.
    remaining: u64,
    /// The state of a chunked body; of others only whether they are complete.
    state: ChunkState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data,
    /// The line end after a chunk's data.
    DataEnd,
    Trailer,
    Complete,
}

impl BodyDecoder {
    /// A decoder of a body in this framing.
    pub fn new(framing: Framing) -> BodyDecoder {
        let remaining = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        let state = match framing {
            Framing::None | Framing::Length(0) => ChunkState::Complete,
            _ => ChunkState::Size,
        };
        BodyDecoder {
            framing,
            remaining,
            state,
        }
    }

    /// Whether the end of the body was decoded.
    pub fn is_complete(&self) -> bool {
        self.state == ChunkState::Complete
    }

    /// Whether the body is complete if the connection is closed now.
    pub fn is_complete_at_close(&self) -> bool {
        self.is_complete() || self.framing == Framing::Close
    }

    /// Moves the received bytes of the body from `buffer` to `out`; returns whether the
    /// body is complete.
    ///
    /// # Errors
    /// [`ReadError::Malformed`] for an invalid chunked coding.
    pub fn decode(
        &mut self,
        buffer: &mut ReadBuffer,
        out: &mut Vec<u8>,
    ) -> Result<bool, ReadError> {
        match self.framing {
            Framing::None => {}
            Framing::Close => {
                out.extend_from_slice(buffer.unread());
                buffer.consume(buffer.len());
            }
            Framing::Length(_) => {
                if self.move_data(buffer, out) {
                    self.state = ChunkState::Complete;
                }
            }
            Framing::Chunked => while self.decode_chunk_step(buffer, out)? {},
        }
        Ok(self.is_complete())
    }

    /// Moves data of a body with a length, or of a chunk; returns whether all of it was
    /// received.
    fn move_data(&mut self, buffer: &mut ReadBuffer, out: &mut Vec<u8>) -> bool {
        let count = (buffer.len() as u64).min(self.remaining) as usize;
        out.extend_from_slice(&buffer.unread()[..count]);
        buffer.consume(count);
        self.remaining -= count as u64;
        self.remaining == 0
    }

    /// Decodes one line or piece of data; returns false if more bytes are needed or the
    /// body is complete.
    fn decode_chunk_step(
        &mut self,
        buffer: &mut ReadBuffer,
        out: &mut Vec<u8>,
    ) -> Result<bool, ReadError> {
        if self.state == ChunkState::Complete {
            return Ok(false);
        }
        if self.state == ChunkState::Data {
            let complete = self.move_data(buffer, out);
            if complete {
                self.state = ChunkState::DataEnd;
            }
            return Ok(complete);
        }
        let Some(line) = take_line(buffer)? else {
            return Ok(false);
        };
        self.state = match (self.state, line.is_empty()) {
            (ChunkState::Size, _) => self.start_chunk(parse_chunk_size(&line)?),
            (ChunkState::DataEnd, true) => ChunkState::Size,
            (ChunkState::DataEnd, false) => return Err(ReadError::Malformed),
            (_, true) => ChunkState::Complete,
            (state, false) => state,
        };
        Ok(true)
    }

    /// The state after a chunk header; the last chunk has size 0.
    fn start_chunk(&mut self, size: u64) -> ChunkState {
        self.remaining = size;
        match size {
            0 => ChunkState::Trailer,
            _ => ChunkState::Data,
        }
    }
}

/// Parses the size in a chunk header; ignores extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, ReadError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or(&[]);
    let digits = digits.trim_ascii();
    let valid =
        (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid);
    text.and_then(|t| u64::from_str_radix(t, 16).ok())
        .ok_or(ReadError::Malformed)
}

/// Removes a line from the buffer and returns it without its CRLF; `None` while it is
/// incomplete.
fn take_line(buffer: &mut ReadBuffer) -> Result<Option<Vec<u8>>, ReadError> {
    let Some(end) = buffer.unread().iter().position(|b| *b == b'\n') else {
        return match buffer.len() <= MAX_LINE_BYTES {
            true => Ok(None),
            false => Err(ReadError::Malformed),
        };
    };
    let mut line = buffer.take(end + 1);
    line.pop();
    if line.pop_if(|b| *b == b'\r').is_none() {
        return Err(ReadError::Malformed);
    }
    Ok(Some(line))
}

/// Reads a complete body of at most `max_bytes` bytes.
///
/// # Errors
/// [`ReadError`] if the body is too large, malformed or truncated.
pub async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut ReadBuffer,
    framing: Framing,
    max_bytes: usize,
) -> Result<Vec<u8>, ReadError> {
    if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
        return Err(ReadError::BodyTooLarge);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while !decoder.decode(buffer, &mut body)? {
        if body.len() > max_bytes {
            return Err(ReadError::BodyTooLarge);
        }
        match buffer.fill(stream).await {
            Ok(count) if count > 0 => {}
            _ if decoder.is_complete_at_close() => break,
            _ => return Err(ReadError::Truncated),
        }
    }
    if body.len() > max_bytes {
        return Err(ReadError::BodyTooLarge);
    }
    Ok(body)
}
