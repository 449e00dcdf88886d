//! HTTP/1.1 with JSON, through async-h1: a server with bounds, and a client that
//! checks that responses are complete.

mod call;

pub use call::{
    call, connect, has_valid_framing, read_response, send, Call, CallError, CompleteResponse,
};

use crate::error::ErrorCode;
use crate::json::Value;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http_types::{Body, Method, Request, Response, StatusCode};
use simd_json::prelude::*;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

/// Time limit for the head of a request to arrive.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the client to read the response to a body that was too slow or too
/// large, before the connection is closed.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Interval at which an idle connection checks the shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an idle connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A response with a JSON body. A status that is not valid becomes 500.
pub fn json(status: u16, text: String) -> Response {
    let code = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut r = Response::new(code);
    r.set_body(Body::from_string(text));
    r.set_content_type(http_types::mime::JSON);
    r
}

/// A response with status 200 and a JSON body.
pub fn ok(v: Value) -> Response {
    json(200, v.encode())
}

/// The response for an error, with its status and message. `more` is the field
/// `about` unless it is empty; `again` is the `retry-after` of a retryable
/// error, in seconds and at least 1.
pub fn error_response(p: ErrorCode, more: &str, again: u64) -> Response {
    let mut v = Value::object();
    let _ = v.insert("problem", p.code());
    let _ = v.insert("text", p.message());
    if !more.is_empty() {
        let _ = v.insert("about", more);
    }
    let mut r = json(p.status(), v.encode());
    if p.is_retryable() {
        r.insert_header("retry-after", again.max(1).to_string());
    }
    r
}

/// The connection that a request came on.
pub struct Peer(TcpStream);

impl Peer {
    /// Runs `f` if the client disconnects while the watch exists.
    pub fn watch<F, Fut>(self, f: F) -> Watch
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        Watch(Some(task::spawn(async move {
            let mut b = [0; 1];
            // bytes that wait belong to the next errand; only an end counts
            if matches!(self.0.peek(&mut b).await, Ok(0) | Err(_)) {
                f().await;
            }
        })))
    }
}

/// A watch for the end of a connection; it stops when dropped.
pub struct Watch(Option<task::JoinHandle<()>>);

impl Watch {
    /// Stops the watch.
    pub fn stop(self) {}
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(h) = self.0.take() {
            task::spawn(async move {
                h.cancel().await;
            });
        }
    }
}

/// Shuts a server down gracefully: accepted connections finish their request,
/// and no more are accepted. Clones share the state.
#[derive(Clone)]
pub struct ShutdownHandle {
    shut: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    bell: Sender<()>,
    hear: Receiver<()>,
}

impl Default for ShutdownHandle {
    fn default() -> ShutdownHandle {
        let (bell, hear) = bounded(1);
        ShutdownHandle {
            shut: Arc::default(),
            open: Arc::default(),
            bell,
            hear,
        }
    }
}

impl ShutdownHandle {
    /// Shuts the gate for good.
    pub fn begin(&self) {
        self.shut.store(true, Ordering::SeqCst);
        self.bell.close();
    }

    fn has_begun(&self) -> bool {
        self.shut.load(Ordering::SeqCst)
    }

    /// Number of connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// The next connection; `None` once the gate is shut.
    async fn next(&self, l: &TcpListener) -> Option<TcpStream> {
        let mut shut = std::pin::pin!(self.hear.recv());
        loop {
            let mut come = std::pin::pin!(l.accept());
            let got = std::future::poll_fn(|cx| {
                // what has come already is served before the gate shuts
                if let Poll::Ready(r) = come.as_mut().poll(cx) {
                    return Poll::Ready(Some(r));
                }
                shut.as_mut().poll(cx).map(|_| None)
            });
            match got.await? {
                Ok((s, _)) => return Some(s),
                Err(_) => task::sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

/// Serves connections until the gate is shut, `most` at once; others are
/// answered with `ErrorCode::TooManyConnections`.
pub async fn serve<F, Fut>(l: TcpListener, most: usize, shutdown: ShutdownHandle, f: F)
where
    F: Fn(Request, Peer) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    while let Some(s) = shutdown.next(&l).await {
        let n = shutdown.open.fetch_add(1, Ordering::SeqCst);
        let (shutdown, f) = (shutdown.clone(), f.clone());
        task::spawn(async move {
            let _ = s.set_nodelay(true);
            if n >= most {
                let mut s = s;
                let _ = timeout(HEAD_TIMEOUT, refuse(&mut s, ErrorCode::TooManyConnections)).await;
            } else {
                one(s, &shutdown, f).await;
            }
            shutdown.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Waits for the first byte of the next request; false if there is none.
async fn comes(s: &TcpStream, shutdown: &ShutdownHandle) -> bool {
    let mut first = [0; 1];
    let mut waited = Duration::ZERO;
    // an idle connection is kept, but not for ever, nor past the gate
    while waited < IDLE_TIMEOUT {
        match timeout(SHUTDOWN_CHECK_INTERVAL, s.peek(&mut first)).await {
            Ok(got) => return matches!(got, Ok(1)),
            Err(_) if shutdown.has_begun() => return false,
            Err(_) => waited += SHUTDOWN_CHECK_INTERVAL,
        }
    }
    false
}

async fn refuse(s: &mut TcpStream, p: ErrorCode) -> std::io::Result<()> {
    use async_std::io::prelude::*;
    let mut r = error_response(p, "", 1);
    r.insert_header("connection", "close");
    let mut e = async_h1::server::Encoder::new(r, Method::Get);
    let mut b = Vec::new();
    e.read_to_end(&mut b).await?;
    s.write_all(&b).await
}

async fn one<F, Fut>(mut s: TcpStream, shutdown: &ShutdownHandle, f: F)
where
    F: Fn(Request, Peer) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    loop {
        if !comes(&s, shutdown).await {
            return;
        }
        let begun = Arc::new(AtomicBool::new(false));
        let seen = begun.clone();
        let endpoint = |req| {
            seen.store(true, Ordering::SeqCst);
            let r = f(req, Peer(s.clone()));
            let line = s.clone();
            async move {
                let r: Response = r.await;
                // async-h1 would go on to read a body that does not end
                if matches!(u16::from(r.status()), 408 | 413) {
                    task::spawn(async move {
                        task::sleep(LINGER_TIME).await;
                        let _ = line.shutdown(std::net::Shutdown::Both);
                    });
                }
                Ok(r)
            }
        };
        let late = task::spawn(cut_late(s.clone(), begun.clone()));
        let got = async_h1::server::Server::new(s.clone(), endpoint)
            .accept_one()
            .await;
        late.cancel().await;
        match got {
            Ok(async_h1::server::ConnectionStatus::KeepAlive) if !shutdown.has_begun() => {}
            Ok(_) => return,
            Err(_) => {
                // a head that is no HTTP, or too large, still gets a word
                if !begun.load(Ordering::SeqCst) {
                    let _ =
                        timeout(HEAD_TIMEOUT, refuse(&mut s, ErrorCode::InvalidRequestField)).await;
                }
                return;
            }
        }
    }
}

/// Ends a connection if the head of its request does not arrive in time.
async fn cut_late(mut s: TcpStream, begun: Arc<AtomicBool>) {
    task::sleep(HEAD_TIMEOUT).await;
    if !begun.load(Ordering::SeqCst) {
        let _ = timeout(HEAD_TIMEOUT, refuse(&mut s, ErrorCode::RequestTimeout)).await;
        let _ = s.shutdown(std::net::Shutdown::Both);
    }
}

/// Reads the body of a request.
///
/// # Errors
/// `BodyTooLarge` above `most` bytes, `RequestTimeout` if it is not complete
/// after `within` or is truncated, `InvalidRequestField` if it cannot be read.
pub async fn read_body(
    req: &mut Request,
    most: usize,
    within: Duration,
) -> Result<Vec<u8>, ErrorCode> {
    use async_std::io::ReadExt;
    if req.len().is_some_and(|n| n > most) {
        return Err(ErrorCode::BodyTooLarge);
    }
    let want = req.len();
    let mut b = Vec::new();
    let body = req.take_body();
    let mut body = body.take(most as u64 + 1);
    let got = timeout(within, body.read_to_end(&mut b)).await;
    match got {
        Err(_) => Err(ErrorCode::RequestTimeout),
        Ok(Err(_)) => Err(ErrorCode::InvalidRequestField),
        Ok(Ok(_)) if b.len() > most => Err(ErrorCode::BodyTooLarge),
        // async-h1 takes an early end of a counted body for its end
        Ok(Ok(_)) if want.is_some_and(|n| n != b.len()) => Err(ErrorCode::RequestTimeout),
        Ok(Ok(_)) => Ok(b),
    }
}

/// The first value of a query parameter, percent-decoded.
pub fn query_parameter(req: &Request, k: &str) -> Option<String> {
    req.url()
        .query_pairs()
        .find(|(n, _)| n == k)
        .map(|(_, v)| v.into_owned())
}
