//! HTTP/1.1 on the wire, over httparse: heads and bodies read with bounds, and
//! kept as the bytes that came.

use async_std::io::{self, Read};
use std::ops::Range;
use std::pin::Pin;
use std::task::Poll;

const MOST_HEADERS: usize = 96;
const READ: usize = 4096;

/// Bytes that have come on a connection and are not used up.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    b: Vec<u8>,
    at: usize,
}

impl ReadBuffer {
    pub fn rest(&self) -> &[u8] {
        &self.b[self.at..]
    }
    pub fn is_empty(&self) -> bool {
        self.at == self.b.len()
    }
    pub fn len(&self) -> usize {
        self.b.len() - self.at
    }
    pub fn eat(&mut self, n: usize) {
        self.at += n;
        if self.at == self.b.len() {
            self.at = 0;
            self.b.clear();
            // one large body must not keep its room for a whole connection
            if self.b.capacity() > 4 * READ {
                self.b = Vec::new();
            }
        }
    }
    pub fn take(&mut self, n: usize) -> Vec<u8> {
        let v = self.rest()[..n].to_vec();
        self.eat(n);
        v
    }
    /// Gives the room back while nothing is expected.
    pub fn shrink(&mut self) {
        if self.is_empty() {
            self.b = Vec::new();
            self.at = 0;
        }
    }
    /// Reads more; the number of bytes, 0 at the end. What was read is kept
    /// even if the wait for more is given up.
    pub async fn fill<R: Read + Unpin>(&mut self, s: &mut R) -> io::Result<usize> {
        if self.at > 0 && self.at * 2 >= self.b.len() {
            self.b.drain(..self.at);
            self.at = 0;
        }
        std::future::poll_fn(|cx| {
            let n = self.b.len();
            self.b.resize(n + READ, 0);
            let got = Pin::new(&mut *s).poll_read(cx, &mut self.b[n..]);
            let more = match &got {
                Poll::Ready(Ok(k)) => *k,
                _ => 0,
            };
            self.b.truncate(n + more);
            got
        })
        .await
    }
}

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    None,
    Length(u64),
    Chunked,
    /// At the end of the connection.
    Close,
}

/// What is wrong with what came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended before anything, or between requests.
    Ended,
    /// It ended in the middle.
    Cut,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
}

/// A head as it came; names and values are ranges of `raw`.
#[derive(Debug, Default)]
pub struct Head {
    pub raw: Vec<u8>,
    pub headers: Vec<(Range<usize>, Range<usize>)>,
    pub method: Range<usize>,
    pub target: Range<usize>,
    pub status: u16,
    pub minor: u8,
}

impl Head {
    pub fn text(&self, r: &Range<usize>) -> &str {
        std::str::from_utf8(&self.raw[r.clone()]).unwrap_or("")
    }
    pub fn method(&self) -> &str {
        self.text(&self.method)
    }
    pub fn target(&self) -> &str {
        self.text(&self.target)
    }
    /// The target without its query.
    pub fn path(&self) -> &str {
        let t = self.target();
        t.split_once('?').map_or(t, |(p, _)| p)
    }
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers
            .iter()
            .map(|(n, v)| (self.text(n), &self.raw[v.clone()]))
    }
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .and_then(|(_, v)| std::str::from_utf8(v).ok())
    }
    fn lists(&self, name: &str, token: &str) -> bool {
        self.iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name))
            .filter_map(|(_, v)| std::str::from_utf8(v).ok())
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }
    /// Whether the sender ends the connection after this exchange.
    pub fn closes(&self) -> bool {
        self.lists("connection", "close")
            || (self.minor == 0 && !self.lists("connection", "keep-alive"))
    }
    /// Whether a header concerns this connection only.
    pub fn hop(&self, name: &str) -> bool {
        const HOP: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        HOP.iter().any(|h| name.eq_ignore_ascii_case(h)) || self.lists("connection", name)
    }
    /// Seconds that the peer keeps an idle connection, if it says so.
    pub fn keep_alive_s(&self) -> Option<u64> {
        let v = self.get("keep-alive")?;
        v.split(',')
            .find_map(|p| p.trim().strip_prefix("timeout="))
            .and_then(|n| n.trim().parse().ok())
    }

    fn length(&self) -> Result<Option<u64>, ReadError> {
        let mut got = None;
        for (n, v) in self.iter() {
            if !n.eq_ignore_ascii_case("content-length") {
                continue;
            }
            let v = std::str::from_utf8(v).map_err(|_| ReadError::Malformed)?;
            // a sign, a list or two lengths may be read two ways
            let l = Some(v.trim())
                .filter(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()))
                .and_then(|v| v.parse().ok())
                .ok_or(ReadError::Malformed)?;
            if got.is_some_and(|g| g != l) {
                return Err(ReadError::Malformed);
            }
            got = Some(l);
        }
        Ok(got)
    }

    fn chunked(&self) -> Result<bool, ReadError> {
        let mut all = self
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding"));
        let Some((_, v)) = all.next() else {
            return Ok(false);
        };
        let one = all.next().is_none() && v.trim_ascii().eq_ignore_ascii_case(b"chunked");
        Some(true).filter(|_| one).ok_or(ReadError::Malformed)
    }

    pub fn request_framing(&self) -> Result<Framing, ReadError> {
        let (n, c) = (self.length()?, self.chunked()?);
        match (n, c) {
            // two framings at once are how a request is smuggled in another
            (Some(_), true) => Err(ReadError::Malformed),
            (_, true) => Ok(Framing::Chunked),
            (Some(n), _) if n > 0 => Ok(Framing::Length(n)),
            _ => Ok(Framing::None),
        }
    }

    pub fn response_framing(&self, method: &str) -> Result<Framing, ReadError> {
        if method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::None);
        }
        let (n, c) = (self.length()?, self.chunked()?);
        match (n, c) {
            (Some(_), true) => Err(ReadError::Malformed),
            (_, true) => Ok(Framing::Chunked),
            (Some(n), _) => Ok(Framing::Length(n)),
            _ => Ok(Framing::Close),
        }
    }
}

fn spans(raw: &[u8], hs: &[httparse::Header]) -> Vec<(Range<usize>, Range<usize>)> {
    let at = |p: *const u8, n: usize| {
        let from = p as usize - raw.as_ptr() as usize;
        from..from + n
    };
    hs.iter()
        .map(|h| {
            (
                at(h.name.as_ptr(), h.name.len()),
                at(h.value.as_ptr(), h.value.len()),
            )
        })
        .collect()
}

/// A whole request head at the front of `buf`, taken out of it; none yet: more is to come.
pub fn parse_request_head(buf: &mut ReadBuffer, most: usize) -> Result<Option<Head>, ReadError> {
    let mut hs = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut r = httparse::Request::new(&mut hs);
    let got = r.parse(buf.rest()).map_err(|e| match e {
        httparse::Error::TooManyHeaders => ReadError::HeadTooLarge,
        _ => ReadError::Malformed,
    })?;
    let httparse::Status::Complete(n) = got else {
        return Some(None)
            .filter(|_| buf.len() <= most)
            .ok_or(ReadError::HeadTooLarge);
    };
    if n > most {
        return Err(ReadError::HeadTooLarge);
    }
    let raw = buf.rest();
    let of = |s: Option<&str>| {
        let s = s.unwrap_or("");
        let from = s.as_ptr() as usize - raw.as_ptr() as usize;
        from..from + s.len()
    };
    let (method, target) = (of(r.method), of(r.path));
    let minor = r.version.unwrap_or(1);
    let headers = spans(raw, r.headers);
    let raw = buf.take(n);
    Ok(Some(Head {
        raw,
        headers,
        method,
        target,
        status: 0,
        minor,
    }))
}

/// A whole answer head at the front of `buf`, taken out of it.
pub fn parse_response_head(buf: &mut ReadBuffer) -> Result<Option<Head>, ReadError> {
    let mut hs = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut r = httparse::Response::new(&mut hs);
    let got = r.parse(buf.rest()).map_err(|_| ReadError::Malformed)?;
    let httparse::Status::Complete(n) = got else {
        return Some(None)
            .filter(|_| buf.len() <= 64 << 10)
            .ok_or(ReadError::HeadTooLarge);
    };
    let raw = buf.rest();
    let (status, minor) = (r.code.unwrap_or(0), r.version.unwrap_or(1));
    let headers = spans(raw, r.headers);
    let raw = buf.take(n);
    Ok(Some(Head {
        raw,
        headers,
        method: 0..0,
        target: 0..0,
        status,
        minor,
    }))
}
