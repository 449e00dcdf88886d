//! The caller's side of HTTP: one errand on a connection of its own, and a
//! result read to its stated end.

use crate::invariants::{broken, Invariant};
use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::headers::HeaderValue;
use http_types::{Body, Method, Request, Response, Url};
use std::net::SocketAddr;
use std::time::Duration;

/// How a call out failed, and whether bytes may have left before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broke {
    /// No connection: nothing was sent.
    Unsent,
    /// Sent, and then no whole head came back.
    Sent,
    /// A result that ended before its length.
    Short,
    /// A result that is not what the protocol says.
    Garbage,
    /// The time was up.
    Late,
}

pub struct Called {
    pub status: u16,
    pub kind: String,
    pub request: Option<String>,
    /// Where a redirect leads.
    pub location: Option<String>,
    /// Seconds after which to come back, if it says so.
    pub retry_after_s: Option<u64>,
    pub body: Vec<u8>,
}

pub struct Call {
    pub method: Method,
    pub path: String,
    pub heads: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn get(path: &str) -> Call {
        Call {
            method: Method::Get,
            path: path.to_string(),
            heads: Vec::new(),
            body: Vec::new(),
        }
    }
}

pub async fn open(addr: SocketAddr, within: Duration) -> Result<TcpStream, Broke> {
    // a fresh connection each time, so no reset of a reused one can leave
    // it unknown whether an errand ran
    let s = timeout(within, TcpStream::connect(addr))
        .await
        .ok()
        .and_then(|s| s.ok())
        .ok_or(Broke::Unsent)?;
    let _ = s.set_nodelay(true);
    Ok(s)
}

/// Send on an open connection; the head of the result comes back.
pub async fn send(s: TcpStream, c: Call) -> Result<Response, Broke> {
    let at = s.peer_addr().map_err(|_| Broke::Unsent)?;
    let url = Url::parse(&format!("http://{at}{}", c.path)).map_err(|_| Broke::Unsent)?;
    let mut req = Request::new(c.method, url);
    for (k, v) in c.heads {
        req.insert_header(k, v);
    }
    req.insert_header("connection", "close");
    if !c.body.is_empty() || c.method != Method::Get {
        req.set_body(Body::from_bytes(c.body));
        req.set_content_type(http_types::mime::JSON);
    }
    async_h1::connect(s, req).await.map_err(|_| Broke::Sent)
}

/// Whether a result says how long it is, in one way only, so that a short
/// one can be told.
pub fn framed(r: &Response) -> bool {
    let status = u16::from(r.status());
    let bare = status == 204 || status == 304;
    let chunked = r
        .header("transfer-encoding")
        .map(|h| h.last().as_str().eq_ignore_ascii_case("chunked"));
    let lengths = r.header("content-length").map(|all| {
        let first = all
            .iter()
            .next()
            .and_then(|v| v.as_str().parse::<u64>().ok());
        let same = |v: &HeaderValue| v.as_str().parse::<u64>().ok() == first;
        first.is_some() && all.iter().all(same)
    });
    match (chunked, lengths) {
        (None, None) => bare,
        (None, Some(good)) => good,
        (Some(good), None) => good,
        // two readers may each believe another of the two
        (Some(_), Some(_)) => false,
    }
}

fn text(r: &Response, name: &str) -> Option<String> {
    r.header(name).map(|h| h.last().as_str().to_string())
}

/// Read a result to its stated end.
pub async fn whole(mut r: Response, most: usize) -> Result<Called, Broke> {
    use async_std::io::ReadExt;
    if !framed(&r) {
        return Err(Broke::Garbage);
    }
    let status: u16 = r.status().into();
    let want = text(&r, "content-length").and_then(|n| n.parse::<usize>().ok());
    if want.is_some_and(|n| n > most) {
        return Err(Broke::Garbage);
    }
    let (kind, request) = (text(&r, "content-type"), text(&r, "x-errand-id"));
    let location = text(&r, "location");
    let retry_after_s = text(&r, "retry-after").and_then(|s| s.parse().ok());
    let mut b = Vec::new();
    // whatever follows a result that has no body is not part of it
    if status != 204 && status != 304 {
        let mut body = r.take_body().take(most as u64 + 1);
        body.read_to_end(&mut b).await.map_err(|_| Broke::Short)?;
        if b.len() > most {
            return Err(Broke::Garbage);
        }
        // async-h1 takes an early end of a counted body for its end
        if want.is_some_and(|n| n != b.len()) && !broken(Invariant::ResultLength) {
            return Err(Broke::Short);
        }
    }
    Ok(Called {
        status,
        kind: kind.unwrap_or_default(),
        request,
        location,
        retry_after_s,
        body: b,
    })
}

/// Connect, send, and read a whole result, all within `within`.
pub async fn call(
    addr: SocketAddr,
    c: Call,
    most: usize,
    within: Duration,
) -> Result<Called, Broke> {
    let s = open(addr, within).await?;
    timeout(within, async { whole(send(s, c).await?, most).await })
        .await
        .unwrap_or(Err(Broke::Late))
}
