//! HTTP/1.1 on the wire, over httparse: heads and bodies read with bounds, and
//! kept as the bytes that came.

use async_std::io::{self, Read};
use async_std::net::TcpStream;
use std::ops::Range;
use std::pin::Pin;
use std::task::Poll;

const MOST_HEADERS: usize = 96;
const READ: usize = 4096;

/// Bytes that have come on a connection and are not used up.
#[derive(Debug, Default)]
pub struct Buf {
    b: Vec<u8>,
    at: usize,
}

impl Buf {
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
            // why: one large body must not keep its room for a whole connection
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
    pub async fn fill(&mut self, s: &mut TcpStream) -> io::Result<usize> {
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
pub enum Fault {
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

    fn length(&self) -> Result<Option<u64>, Fault> {
        let mut got = None;
        for (n, v) in self.iter() {
            if !n.eq_ignore_ascii_case("content-length") {
                continue;
            }
            let v = std::str::from_utf8(v).map_err(|_| Fault::Malformed)?;
            // why: a sign, a list or two lengths may be read two ways
            let l = Some(v.trim())
                .filter(|v| !v.is_empty() && v.bytes().all(|b| b.is_ascii_digit()))
                .and_then(|v| v.parse().ok())
                .ok_or(Fault::Malformed)?;
            if got.is_some_and(|g| g != l) {
                return Err(Fault::Malformed);
            }
            got = Some(l);
        }
        Ok(got)
    }

    fn chunked(&self) -> Result<bool, Fault> {
        let mut all = self
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding"));
        let Some((_, v)) = all.next() else {
            return Ok(false);
        };
        let one = all.next().is_none() && v.trim_ascii().eq_ignore_ascii_case(b"chunked");
        Some(true).filter(|_| one).ok_or(Fault::Malformed)
    }

    pub fn request_framing(&self) -> Result<Framing, Fault> {
        let (n, c) = (self.length()?, self.chunked()?);
        match (n, c) {
            // why: two framings at once are how a request is smuggled in another
            (Some(_), true) => Err(Fault::Malformed),
            (_, true) => Ok(Framing::Chunked),
            (Some(n), _) if n > 0 => Ok(Framing::Length(n)),
            _ => Ok(Framing::None),
        }
    }

    pub fn answer_framing(&self, method: &str) -> Result<Framing, Fault> {
        if method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304) {
            return Ok(Framing::None);
        }
        let (n, c) = (self.length()?, self.chunked()?);
        match (n, c) {
            (Some(_), true) => Err(Fault::Malformed),
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
pub fn take_request(buf: &mut Buf, most: usize) -> Result<Option<Head>, Fault> {
    let mut hs = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut r = httparse::Request::new(&mut hs);
    let got = r.parse(buf.rest()).map_err(|e| match e {
        httparse::Error::TooManyHeaders => Fault::HeadTooLarge,
        _ => Fault::Malformed,
    })?;
    let httparse::Status::Complete(n) = got else {
        return Some(None)
            .filter(|_| buf.len() <= most)
            .ok_or(Fault::HeadTooLarge);
    };
    if n > most {
        return Err(Fault::HeadTooLarge);
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
pub fn take_answer(buf: &mut Buf) -> Result<Option<Head>, Fault> {
    let mut hs = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut r = httparse::Response::new(&mut hs);
    let got = r.parse(buf.rest()).map_err(|_| Fault::Malformed)?;
    let httparse::Status::Complete(n) = got else {
        return Some(None)
            .filter(|_| buf.len() <= 64 << 10)
            .ok_or(Fault::HeadTooLarge);
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
    pub fn run(&mut self, buf: &mut Buf, out: &mut Vec<u8>) -> Result<bool, Fault> {
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

    fn data(&mut self, buf: &mut Buf, out: &mut Vec<u8>) -> bool {
        let n = (buf.len() as u64).min(self.left) as usize;
        out.extend_from_slice(&buf.rest()[..n]);
        buf.eat(n);
        self.left -= n as u64;
        self.left == 0
    }

    /// One step; false when more bytes are needed or the body is whole.
    fn chunk(&mut self, buf: &mut Buf, out: &mut Vec<u8>) -> Result<bool, Fault> {
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
                self.left = n.ok_or(Fault::Malformed)?;
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
                    (Chunk::After, false) => return Err(Fault::Malformed),
                    (_, true) => self.state = Chunk::Done,
                    _ => {}
                }
            }
        }
        Ok(true)
    }
}

fn line(buf: &mut Buf) -> Result<Option<Vec<u8>>, Fault> {
    let Some(i) = buf.rest().iter().position(|b| *b == b'\n') else {
        return Some(None)
            .filter(|_| buf.len() <= 8192)
            .ok_or(Fault::Malformed);
    };
    let mut l = buf.take(i + 1);
    l.pop();
    if l.pop_if(|b| *b == b'\r').is_none() {
        return Err(Fault::Malformed);
    }
    Ok(Some(l))
}

/// Reads a whole body of at most `most` bytes.
pub async fn body(
    s: &mut TcpStream,
    buf: &mut Buf,
    framing: Framing,
    most: usize,
) -> Result<Vec<u8>, Fault> {
    let mut d = Decoder::new(framing);
    if matches!(framing, Framing::Length(n) if n > most as u64) {
        return Err(Fault::BodyTooLarge);
    }
    let mut out = Vec::new();
    while !d.run(buf, &mut out)? {
        if out.len() > most {
            return Err(Fault::BodyTooLarge);
        }
        match buf.fill(s).await {
            Ok(n) if n > 0 => {}
            _ if d.ended() => break,
            _ => return Err(Fault::Cut),
        }
    }
    Some(out)
        .filter(|o| o.len() <= most)
        .ok_or(Fault::BodyTooLarge)
}
