//! HTTP/1.1 with JSON bodies, over async-h1: a server with time and size
//! limits, and a client that detects truncated responses.

mod call;
mod peer;

pub use call::{
    call, connect, has_valid_framing, read_response, send, Call, CallError, CompleteResponse,
};
pub use peer::{DisconnectWatch, Peer, RequestAge, ACCEPT_DELAY};

use crate::error::ErrorCode;
use crate::json::Value;
use crate::sync::lock;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http_types::{Body, Method, Request, Response, StatusCode};
use simd_json::prelude::*;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;

/// Time limit for the head of a request to arrive.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the client to read the response to a body that was too slow or too
/// large, before its connection is closed.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Interval at which an idle connection checks whether the server shuts down.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an idle connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A response with a JSON body; an invalid status becomes 500.
pub fn json(status: u16, body: String) -> Response {
    let code = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(code);
    response.set_body(Body::from_string(body));
    response.set_content_type(http_types::mime::JSON);
    response
}

/// A response with status 200 and a JSON body.
pub fn ok(v: Value) -> Response {
    json(200, v.encode())
}

/// The response for an error, with its status and message. A `detail` that is
/// not empty becomes the field `about`; `retry_after_s`, at least 1, becomes
/// the header `retry-after` if the error is retryable.
pub fn error_response(error_code: ErrorCode, detail: &str, retry_after_s: u64) -> Response {
    let mut v = Value::object();
    let _ = v.insert("problem", error_code.code());
    let _ = v.insert("text", error_code.message());
    if !detail.is_empty() {
        let _ = v.insert("about", detail);
    }
    let mut response = json(error_code.status(), v.encode());
    if error_code.is_retryable() {
        response.insert_header("retry-after", retry_after_s.max(1).to_string());
    }
    response
}

/// Shuts a server down gracefully: no more connections are accepted, and those
/// that are open complete their current request. Clones share the state.
#[derive(Clone)]
pub struct ShutdownHandle {
    begun: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    /// Closed when the shutdown begins, which ends the receiver's wait.
    signal: Sender<()>,
    signal_receiver: Receiver<()>,
}

impl Default for ShutdownHandle {
    fn default() -> ShutdownHandle {
        let (signal, signal_receiver) = bounded(1);
        ShutdownHandle {
            begun: Arc::default(),
            open: Arc::default(),
            signal,
            signal_receiver,
        }
    }
}

impl ShutdownHandle {
    /// Begins the shutdown, which cannot be undone.
    pub fn begin(&self) {
        self.begun.store(true, Ordering::SeqCst);
        self.signal.close();
    }

    fn has_begun(&self) -> bool {
        self.begun.load(Ordering::SeqCst)
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Accepts the next connection; `None` once the shutdown has begun.
    async fn accept(&self, listener: &TcpListener) -> Option<TcpStream> {
        let mut shutdown = std::pin::pin!(self.signal_receiver.recv());
        loop {
            let mut accept = std::pin::pin!(listener.accept());
            let accepted = std::future::poll_fn(|cx| {
                // connections in the backlog are served before the shutdown
                if let Poll::Ready(result) = accept.as_mut().poll(cx) {
                    return Poll::Ready(Some(result));
                }
                shutdown.as_mut().poll(cx).map(|_| None)
            });
            match accepted.await? {
                Ok((stream, _)) => return Some(stream),
                Err(_) => task::sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

/// Serves connections until the shutdown begins. A connection above
/// `max_connections` gets `ErrorCode::TooManyConnections` and is closed.
pub async fn serve<F, Fut>(
    listener: TcpListener,
    max_connections: usize,
    shutdown: ShutdownHandle,
    handler: F,
) where
    F: Fn(Request, Peer) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    while let Some(stream) = shutdown.accept(&listener).await {
        let already_open = shutdown.open.fetch_add(1, Ordering::SeqCst);
        let (shutdown, handler) = (shutdown.clone(), handler.clone());
        task::spawn(async move {
            let _ = stream.set_nodelay(true);
            if already_open >= max_connections {
                let mut stream = stream;
                let _ = timeout(
                    HEAD_TIMEOUT,
                    send_error(&mut stream, ErrorCode::TooManyConnections),
                )
                .await;
            } else {
                serve_connection(stream, &shutdown, handler).await;
            }
            shutdown.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Waits for the first byte of the next request. Returns false if the client
/// disconnects, the connection stays idle for too long, or the server shuts
/// down.
async fn wait_for_request(stream: &TcpStream, shutdown: &ShutdownHandle) -> bool {
    let mut first_byte = [0; 1];
    let mut waited = Duration::ZERO;
    while waited < IDLE_TIMEOUT {
        match timeout(SHUTDOWN_CHECK_INTERVAL, stream.peek(&mut first_byte)).await {
            Ok(peeked) => return matches!(peeked, Ok(1)),
            Err(_) if shutdown.has_begun() => return false,
            Err(_) => waited += SHUTDOWN_CHECK_INTERVAL,
        }
    }
    false
}

/// Sends an error response outside of async-h1's server loop.
async fn send_error(stream: &mut TcpStream, error_code: ErrorCode) -> std::io::Result<()> {
    use async_std::io::prelude::*;
    let mut response = error_response(error_code, "", 1);
    response.insert_header("connection", "close");
    let mut encoder = async_h1::server::Encoder::new(response, Method::Get);
    let mut encoded = Vec::new();
    encoder.read_to_end(&mut encoded).await?;
    stream.write_all(&encoded).await
}

/// Serves the requests of one connection, one after another.
async fn serve_connection<F, Fut>(mut stream: TcpStream, shutdown: &ShutdownHandle, handler: F)
where
    F: Fn(Request, Peer) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let request_age = Arc::new(Mutex::new(RequestAge::of_accepted_connection()));
    loop {
        if !wait_for_request(&stream, shutdown).await {
            return;
        }
        let head_received = Arc::new(AtomicBool::new(false));
        let head_flag = head_received.clone();
        let endpoint = |request| {
            head_flag.store(true, Ordering::SeqCst);
            let peer = Peer::new(stream.clone(), *lock(&request_age));
            let response = handler(request, peer);
            let (connection, next_request_age) = (stream.clone(), request_age.clone());
            async move {
                let response: Response = response.await;
                *lock(&next_request_age) = RequestAge::after_response();
                // async-h1 would continue to read the rest of the body
                if matches!(u16::from(response.status()), 408 | 413) {
                    task::spawn(async move {
                        task::sleep(LINGER_TIME).await;
                        let _ = connection.shutdown(std::net::Shutdown::Both);
                    });
                }
                Ok(response)
            }
        };
        let head_timer = task::spawn(enforce_head_timeout(stream.clone(), head_received.clone()));
        let served = async_h1::server::Server::new(stream.clone(), endpoint)
            .accept_one()
            .await;
        head_timer.cancel().await;
        match served {
            Ok(async_h1::server::ConnectionStatus::KeepAlive) if !shutdown.has_begun() => {}
            Ok(_) => return,
            Err(_) => {
                // async-h1 does not answer a head that is malformed or too large
                if !head_received.load(Ordering::SeqCst) {
                    let _ = timeout(
                        HEAD_TIMEOUT,
                        send_error(&mut stream, ErrorCode::InvalidRequestField),
                    )
                    .await;
                }
                return;
            }
        }
    }
}

/// Closes a connection if no request head arrives within `HEAD_TIMEOUT`.
async fn enforce_head_timeout(mut stream: TcpStream, head_received: Arc<AtomicBool>) {
    task::sleep(HEAD_TIMEOUT).await;
    if !head_received.load(Ordering::SeqCst) {
        let _ = timeout(
            HEAD_TIMEOUT,
            send_error(&mut stream, ErrorCode::RequestTimeout),
        )
        .await;
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

/// Reads the body of a request.
///
/// # Errors
/// `BodyTooLarge` above `max_bytes`, `RequestTimeout` if it is not complete
/// after `time_limit` or is truncated, `InvalidRequestField` if it cannot be
/// read.
pub async fn read_body(
    request: &mut Request,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Vec<u8>, ErrorCode> {
    use async_std::io::ReadExt;
    if request.len().is_some_and(|length| length > max_bytes) {
        return Err(ErrorCode::BodyTooLarge);
    }
    let stated_length = request.len();
    let mut body = Vec::new();
    let reader = request.take_body();
    let mut reader = reader.take(max_bytes as u64 + 1);
    let read = timeout(time_limit, reader.read_to_end(&mut body)).await;
    match read {
        Err(_) => Err(ErrorCode::RequestTimeout),
        Ok(Err(_)) => Err(ErrorCode::InvalidRequestField),
        Ok(Ok(_)) if body.len() > max_bytes => Err(ErrorCode::BodyTooLarge),
        // async-h1 does not report a body shorter than its Content-Length
        Ok(Ok(_)) if stated_length.is_some_and(|length| length != body.len()) => {
            Err(ErrorCode::RequestTimeout)
        }
        Ok(Ok(_)) => Ok(body),
    }
}

/// The first value of a query parameter, percent-decoded.
pub fn query_parameter(request: &Request, name: &str) -> Option<String> {
    request
        .url()
        .query_pairs()
        .find(|(parameter, _)| parameter == name)
        .map(|(_, value)| value.into_owned())
}
