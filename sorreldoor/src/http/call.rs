//! The HTTP client. It opens a new connection for each request, and accepts a
//! response only if its length is stated and complete.

use crate::invariants::{is_disabled, Invariant};
use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::headers::HeaderValue;
use http_types::{Body, Method, Request, Response, Url};
use std::net::SocketAddr;
use std::time::Duration;

/// Why a call failed, and whether its request may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent, so a retry is safe.
    NotSent,
    /// The request may have been sent; no complete response head arrived.
    NoResponse,
    /// The body ended before its stated length.
    Truncated,
    /// The response violates the protocol or is longer than the caller accepts.
    InvalidResponse,
    /// The call timed out; the request may have been sent.
    TimedOut,
}

/// A complete response.
pub struct CompleteResponse {
    /// Status code.
    pub status: u16,
    /// Header `content-type`; empty if absent.
    pub content_type: String,
    /// Header `x-errand-id`: the id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Header `location`: the target of a redirect.
    pub location: Option<String>,
    /// Header `retry-after` in seconds; `None` if absent or not a number.
    pub retry_after_s: Option<u64>,
    /// The whole body; empty for 204 and 304.
    pub body: Vec<u8>,
}

/// A request to send.
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// Additional headers as pairs of name and value.
    pub headers: Vec<(&'static str, String)>,
    /// Body with content type JSON; a GET with an empty one is sent without.
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
/// `CallError::NotSent` if it is not established within `time_limit`.
pub async fn connect(addr: SocketAddr, time_limit: Duration) -> Result<TcpStream, CallError> {
    // connections are not reused: a reset of an idle one would leave it
    // unknown whether the request ran
    let stream = timeout(time_limit, TcpStream::connect(addr))
        .await
        .ok()
        .and_then(|connected| connected.ok())
        .ok_or(CallError::NotSent)?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Sends a request on an open connection and returns the response once its
/// head has arrived; the body is left to be read.
///
/// # Errors
/// `CallError::NotSent` if the URL is invalid or the connection is already
/// closed, else `CallError::NoResponse`.
pub async fn send(stream: TcpStream, call: Call) -> Result<Response, CallError> {
    let peer_addr = stream.peer_addr().map_err(|_| CallError::NotSent)?;
    let url =
        Url::parse(&format!("http://{peer_addr}{}", call.path)).map_err(|_| CallError::NotSent)?;
    let mut request = Request::new(call.method, url);
    for (name, value) in call.headers {
        request.insert_header(name, value);
    }
    request.insert_header("connection", "close");
    if !call.body.is_empty() || call.method != Method::Get {
        request.set_body(Body::from_bytes(call.body));
        request.set_content_type(http_types::mime::JSON);
    }
    async_h1::connect(stream, request)
        .await
        .map_err(|_| CallError::NoResponse)
}

/// Whether a response states its body length in exactly one way (RFC 9112,
/// section 6.3), without which a truncated body could not be detected.
pub fn has_valid_framing(response: &Response) -> bool {
    let status = u16::from(response.status());
    let has_no_body = status == 204 || status == 304;
    let chunked = response
        .header("transfer-encoding")
        .map(|values| values.last().as_str().eq_ignore_ascii_case("chunked"));
    let lengths = response.header("content-length").map(|values| {
        let first = values
            .iter()
            .next()
            .and_then(|value| value.as_str().parse::<u64>().ok());
        let same = |value: &HeaderValue| value.as_str().parse::<u64>().ok() == first;
        first.is_some() && values.iter().all(same)
    });
    match (chunked, lengths) {
        (None, None) => has_no_body,
        (None, Some(valid)) => valid,
        (Some(valid), None) => valid,
        // recipients disagree on which of the two applies
        (Some(_), Some(_)) => false,
    }
}

fn header(response: &Response, name: &str) -> Option<String> {
    response
        .header(name)
        .map(|values| values.last().as_str().to_string())
}

/// Reads a whole response with at most `max_bytes` bytes of body.
///
/// # Errors
/// `CallError::Truncated` if the body ends early, `CallError::InvalidResponse`
/// if its length is too large or not properly stated.
pub async fn read_response(
    mut response: Response,
    max_bytes: usize,
) -> Result<CompleteResponse, CallError> {
    use async_std::io::ReadExt;
    if !has_valid_framing(&response) {
        return Err(CallError::InvalidResponse);
    }
    let status: u16 = response.status().into();
    let stated_length =
        header(&response, "content-length").and_then(|length| length.parse::<usize>().ok());
    if stated_length.is_some_and(|length| length > max_bytes) {
        return Err(CallError::InvalidResponse);
    }
    let (content_type, request_id) = (
        header(&response, "content-type"),
        header(&response, "x-errand-id"),
    );
    let location = header(&response, "location");
    let retry_after_s = header(&response, "retry-after").and_then(|seconds| seconds.parse().ok());
    let mut body = Vec::new();
    // bytes after a response that has no body do not belong to it
    if status != 204 && status != 304 {
        let mut reader = response.take_body().take(max_bytes as u64 + 1);
        reader
            .read_to_end(&mut body)
            .await
            .map_err(|_| CallError::Truncated)?;
        if body.len() > max_bytes {
            return Err(CallError::InvalidResponse);
        }
        // async-h1 does not report a body shorter than its Content-Length
        if stated_length.is_some_and(|length| length != body.len())
            && !is_disabled(Invariant::CompleteBody)
        {
            return Err(CallError::Truncated);
        }
    }
    Ok(CompleteResponse {
        status,
        content_type: content_type.unwrap_or_default(),
        request_id,
        location,
        retry_after_s,
        body,
    })
}

/// Connects, sends the request and reads the whole response with at most
/// `max_bytes` bytes of body. `time_limit` applies to connecting, and again to
/// the rest of the exchange.
///
/// # Errors
/// Why the call failed, and whether its request may have been sent.
pub async fn call(
    addr: SocketAddr,
    call: Call,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<CompleteResponse, CallError> {
    let stream = connect(addr, time_limit).await?;
    timeout(time_limit, async {
        read_response(send(stream, call).await?, max_bytes).await
    })
    .await
    .unwrap_or(Err(CallError::TimedOut))
}
