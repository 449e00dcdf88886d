//! Bodies on the wire: counted, chunked or ended by the connection, taken
//! apart as their bytes come and read whole within bounds.

use super::http1::{Framing, ReadBuffer, ReadError};
use async_std::net::TcpStream;

/// Takes a body apart as its bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decoder {
    framing: Framing,
    /// What is left of the counted body, or of the present chunk.
    left: u64,
    state: Chunk,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data,
    /// The line end behind a chunk.
    After,
    Trailer,
    Done,
}

impl Decoder {
    pub fn new(framing: Framing) -> Decoder {
        let left = match framing {
            Framing::Length(n) => n,
            _ => 0,
        };
        let done = matches!(framing, Framing::None | Framing::Length(0));
        Decoder {
            framing,
            left,
            state: if done { Chunk::Done } else { Chunk::Size },
        }
    }

    pub fn done(&self) -> bool {
        self.state == Chunk::Done
    }

    /// Moves what has come from `buf` to `out`; true once the body is whole.
    pub fn run(&mut self, buf: &mut ReadBuffer, out: &mut Vec<u8>) -> Result<bool, ReadError> {
        match self.framing {
            Framing::None => {}
            Framing::Close => {
                out.extend_from_slice(buf.rest());
                buf.eat(buf.len());
            }
            Framing::Length(_) => {
                let n = self.data(buf, out);
                if n && self.left == 0 {
                    self.state = Chunk::Done;
                }
            }
            Framing::Chunked => while self.chunk(buf, out)? {},
        }
        Ok(self.done())
    }

    /// The connection ended: whether the body is whole with that.
    pub fn ended(&self) -> bool {
        self.done() || self.framing == Framing::Close
    }

    fn data(&mut self, buf: &mut ReadBuffer, out: &mut Vec<u8>) -> bool {
        let n = (buf.len() as u64).min(self.left) as usize;
        out.extend_from_slice(&buf.rest()[..n]);
        buf.eat(n);
        self.left -= n as u64;
        self.left == 0
    }

    /// One step; false when more bytes are needed or the body is whole.
    fn chunk(&mut self, buf: &mut ReadBuffer, out: &mut Vec<u8>) -> Result<bool, ReadError> {
        match self.state {
            Chunk::Done => return Ok(false),
            Chunk::Data => {
                if !self.data(buf, out) {
                    return Ok(false);
                }
                self.state = Chunk::After;
            }
            Chunk::Size => {
                let Some(l) = line(buf)? else {
                    return Ok(false);
                };
                let hex = l.split(|b| *b == b';').next().unwrap_or(&[]).trim_ascii();
                let ok = (1..=12).contains(&hex.len()) && hex.iter().all(u8::is_ascii_hexdigit);
                let n = std::str::from_utf8(hex).ok().filter(|_| ok);
                let n = n.and_then(|h| u64::from_str_radix(h, 16).ok());
                self.left = n.ok_or(ReadError::Malformed)?;
                self.state = if self.left == 0 {
                    Chunk::Trailer
                } else {
                    Chunk::Data
                };
            }
            Chunk::After | Chunk::Trailer => {
                let Some(l) = line(buf)? else {
                    return Ok(false);
                };
                match (self.state, l.is_empty()) {
                    (Chunk::After, true) => self.state = Chunk::Size,
                    (Chunk::After, false) => return Err(ReadError::Malformed),
                    (_, true) => self.state = Chunk::Done,
                    _ => {}
                }
            }
        }
        Ok(true)
    }
}

fn line(buf: &mut ReadBuffer) -> Result<Option<Vec<u8>>, ReadError> {
    let Some(i) = buf.rest().iter().position(|b| *b == b'\n') else {
        return Some(None)
            .filter(|_| buf.len() <= 8192)
            .ok_or(ReadError::Malformed);
    };
    let mut l = buf.take(i + 1);
    l.pop();
    if l.pop_if(|b| *b == b'\r').is_none() {
        return Err(ReadError::Malformed);
    }
    Ok(Some(l))
}

/// Reads a whole body of at most `most` bytes.
pub async fn body(
    s: &mut TcpStream,
    buf: &mut ReadBuffer,
    framing: Framing,
    most: usize,
) -> Result<Vec<u8>, ReadError> {
    let mut d = Decoder::new(framing);
    if matches!(framing, Framing::Length(n) if n > most as u64) {
        return Err(ReadError::BodyTooLarge);
    }
    let mut out = Vec::new();
    while !d.run(buf, &mut out)? {
        if out.len() > most {
            return Err(ReadError::BodyTooLarge);
        }
        match buf.fill(s).await {
            Ok(n) if n > 0 => {}
            _ if d.ended() => break,
            _ => return Err(ReadError::Cut),
        }
    }
    Some(out)
        .filter(|o| o.len() <= most)
        .ok_or(ReadError::BodyTooLarge)
}
