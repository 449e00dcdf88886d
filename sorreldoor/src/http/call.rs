//! The HTTP client: a connection for each request, and responses read to their
//! stated end.

use crate::invariants::{broken, Invariant};
use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::headers::HeaderValue;
use http_types::{Body, Method, Request, Response, Url};
use std::net::SocketAddr;
use std::time::Duration;

/// How a call failed, which tells whether the request may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection: nothing was sent, so that a retry is safe.
    NotSent,
    /// The request may have been sent, and no complete response head came
    /// back.
    NoResponse,
    /// The body ended before its stated length.
    Truncated,
    /// The response breaks the protocol or is longer than the caller accepts.
    InvalidResponse,
    /// The time limit was reached; the request may have been sent.
    TimedOut,
}

/// A complete response.
pub struct CompleteResponse {
    /// Status code.
    pub status: u16,
    /// Header `content-type`; empty if absent.
    pub content_type: String,
    /// Header `x-errand-id`: the id of the request that was answered.
    pub request_id: Option<String>,
    /// Header `location`: where a redirect leads.
    pub location: Option<String>,
    /// Header `retry-after` in seconds; `None` if absent or not a number.
    pub retry_after_s: Option<u64>,
    /// The whole body; empty for 204 and 304.
    pub body: Vec<u8>,
}

/// A request to send.
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with the query.
    pub path: String,
    /// Further headers, by name and value.
    pub headers: Vec<(&'static str, String)>,
    /// Body, sent as JSON; for GET an empty one is left out.
    pub body: Vec<u8>,
}

impl Call {
    /// A GET request without headers or body.
    pub fn get(path: &str) -> Call {
        Call {
            method: Method::Get,
            path: path.to_string(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

/// Opens a connection.
///
/// # Errors
/// `CallError::NotSent` if there is none after `within`.
pub async fn connect(addr: SocketAddr, within: Duration) -> Result<TcpStream, CallError> {
    // a fresh connection each time, so no reset of a reused one can leave
    // it unknown whether an errand ran
    let s = timeout(within, TcpStream::connect(addr))
        .await
        .ok()
        .and_then(|s| s.ok())
        .ok_or(CallError::NotSent)?;
    let _ = s.set_nodelay(true);
    Ok(s)
}

/// Sends a request on an open connection, and waits for the head of the
/// response. The body is still to be read.
///
/// # Errors
/// `CallError::NotSent` if the request could not be formed, else `CallError::NoResponse`.
pub async fn send(s: TcpStream, c: Call) -> Result<Response, CallError> {
    let at = s.peer_addr().map_err(|_| CallError::NotSent)?;
    let url = Url::parse(&format!("http://{at}{}", c.path)).map_err(|_| CallError::NotSent)?;
    let mut req = Request::new(c.method, url);
    for (k, v) in c.headers {
        req.insert_header(k, v);
    }
    req.insert_header("connection", "close");
    if !c.body.is_empty() || c.method != Method::Get {
        req.set_body(Body::from_bytes(c.body));
        req.set_content_type(http_types::mime::JSON);
    }
    async_h1::connect(s, req)
        .await
        .map_err(|_| CallError::NoResponse)
}

/// Whether a response states its length in exactly one way (RFC 9112, section
/// 6.3), so that a truncated one is recognized.
pub fn has_valid_framing(r: &Response) -> bool {
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

/// Reads a response to its stated end, with at most `most` bytes of body.
///
/// # Errors
/// `CallError::Truncated` if it is truncated, `CallError::InvalidResponse` if its length is too
/// large or not stated properly.
pub async fn read_response(mut r: Response, most: usize) -> Result<CompleteResponse, CallError> {
    use async_std::io::ReadExt;
    if !has_valid_framing(&r) {
        return Err(CallError::InvalidResponse);
    }
    let status: u16 = r.status().into();
    let want = text(&r, "content-length").and_then(|n| n.parse::<usize>().ok());
    if want.is_some_and(|n| n > most) {
        return Err(CallError::InvalidResponse);
    }
    let (content_type, request_id) = (text(&r, "content-type"), text(&r, "x-errand-id"));
    let location = text(&r, "location");
    let retry_after_s = text(&r, "retry-after").and_then(|s| s.parse().ok());
    let mut b = Vec::new();
    // whatever follows a result that has no body is not part of it
    if status != 204 && status != 304 {
        let mut body = r.take_body().take(most as u64 + 1);
        body.read_to_end(&mut b)
            .await
            .map_err(|_| CallError::Truncated)?;
        if b.len() > most {
            return Err(CallError::InvalidResponse);
        }
        // async-h1 takes an early end of a counted body for its end
        if want.is_some_and(|n| n != b.len()) && !broken(Invariant::ResultLength) {
            return Err(CallError::Truncated);
        }
    }
    Ok(CompleteResponse {
        status,
        content_type: content_type.unwrap_or_default(),
        request_id,
        location,
        retry_after_s,
        body: b,
    })
}

/// Connects, sends, and reads the whole response, of which the body has at
/// most `most` bytes. `within` bounds connecting, and then once more the rest.
///
/// # Errors
/// `CallError`, which tells whether the request may have been sent.
pub async fn call(
    addr: SocketAddr,
    c: Call,
    most: usize,
    within: Duration,
) -> Result<CompleteResponse, CallError> {
    let s = connect(addr, within).await?;
    timeout(within, async {
        read_response(send(s, c).await?, most).await
    })
    .await
    .unwrap_or(Err(CallError::TimedOut))
}
