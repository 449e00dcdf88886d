//! A worker's side of one errand: connect, wait for the word, send, and bring
//! the result back whole, or a stream event by event.

use super::event::EdgeEvent;
use crate::error::ErrorCode;
use crate::gateway::request_table::{AttemptEvent, AttemptReport};
use crate::http::{self, Broke, Call};
use crate::invariants::{broken, Invariant};
use crate::json;
use crate::net::Ring;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::io::prelude::*;
use async_std::io::BufReader;
use async_std::net::TcpStream;
use http_types::{Method, Response};
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const OPEN: Duration = Duration::from_millis(800);
const MOST_RESULT: usize = 8 << 20;
const MOST_EVENT: u64 = 256 * 1024;
const EVENTS: usize = 16;

/// What an errand carries to a worker.
#[derive(Debug)]
pub struct Load {
    pub id: String,
    pub route: String,
    pub key: String,
    pub method: Method,
    pub path: String,
    pub body: Vec<u8>,
    pub model: bool,
    pub streamed: bool,
    pub within: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// Send it, asking for this adapter.
    Go(Option<String>),
    Drop,
}

/// A stream's next piece. One that stops without `End` or `Broke` has broken.
pub enum Piece {
    Event(Vec<u8>),
    End,
    Broke(ErrorCode),
}

pub enum Brought {
    Whole {
        status: u16,
        kind: String,
        location: Option<String>,
        body: Vec<u8>,
    },
    Stream(Receiver<Piece>),
}

pub struct Task {
    pub request_id: u64,
    pub token: u64,
    pub load: Arc<Load>,
    pub ring: Ring<EdgeEvent>,
    pub words: Receiver<Word>,
    pub hand: Sender<Brought>,
}

impl Task {
    async fn tell(&self, told: AttemptEvent) {
        let (request_id, token) = (self.request_id, self.token);
        let _ = self
            .ring
            .send(EdgeEvent::Attempt(AttemptReport {
                request_id,
                token,
                event: told,
            }))
            .await;
    }

    pub async fn run(self, to: SocketAddr) {
        let Ok(s) = http::open(to, OPEN).await else {
            return self.tell(AttemptEvent::ConnectFailed).await;
        };
        self.tell(AttemptEvent::Connected).await;
        let Ok(Word::Go(adapter)) = self.words.recv().await else {
            return;
        };
        let got = timeout(self.load.within, self.send(s, adapter)).await;
        match got.unwrap_or(Err(Broke::Late)) {
            Ok(r) if self.load.streamed && u16::from(r.status()) == 200 => self.stream(r).await,
            Ok(r) => self.whole(r).await,
            Err(b) => self.tell(AttemptEvent::Failed(kind(b))).await,
        }
    }

    async fn send(&self, s: TcpStream, adapter: Option<String>) -> Result<Response, Broke> {
        let l = &self.load;
        let mut heads = vec![("x-errand-id", l.id.clone()), ("x-route", l.route.clone())];
        if !l.key.is_empty() {
            heads.push(("x-prefix-key", l.key.clone()));
        }
        heads.extend(adapter.map(|a| ("x-adapter", a)));
        let c = Call {
            method: l.method,
            path: l.path.clone(),
            heads,
            body: l.body.clone(),
        };
        http::send(s, c).await
    }

    async fn whole(&self, r: Response) {
        // a worker that says it did not take the errand may be believed
        let ran = r.header("x-ran").is_none_or(|h| h.last().as_str() != "no");
        let got = timeout(self.load.within, http::whole(r, MOST_RESULT)).await;
        let c = match got.unwrap_or(Err(Broke::Late)) {
            Ok(c) => c,
            Err(b) => return self.tell(AttemptEvent::Failed(kind(b))).await,
        };
        if !ran && (c.status == 503 || c.status == 429) {
            return self.tell(AttemptEvent::NotExecuted).await;
        }
        if let Some(p) = self.wrong(&c) {
            return self.tell(AttemptEvent::Failed(p)).await;
        }
        let brought = Brought::Whole {
            status: c.status,
            kind: c.kind,
            location: c.location,
            body: c.body,
        };
        let _ = self.hand.try_send(brought);
        self.tell(AttemptEvent::Complete).await;
    }

    /// Why a result is not this errand's, though it came whole.
    fn wrong(&self, c: &http::Called) -> Option<ErrorCode> {
        let named = c.request.as_deref();
        if named.is_some_and(|n| n != self.load.id) && !broken(Invariant::ResultOwner) {
            return Some(ErrorCode::MismatchedRequestId);
        }
        if !self.load.model {
            return None;
        }
        let json = is(&c.kind, "application/json") && json::parse(&c.body, MOST_RESULT).is_ok();
        let missing = named.is_none();
        (missing || !json).then_some(ErrorCode::InvalidWorkerResponse)
    }

    async fn stream(&self, mut r: Response) {
        let named = r
            .header("x-errand-id")
            .map(|h| h.last().as_str().to_string());
        let kind = r.header("content-type").map_or("", |h| h.last().as_str());
        let odd = !http::framed(&r) || !is(kind, "application/x-ndjson");
        if named.as_deref() != Some(&self.load.id) || odd {
            let p = if odd || named.is_none() {
                ErrorCode::InvalidWorkerResponse
            } else {
                ErrorCode::MismatchedRequestId
            };
            return self.tell(AttemptEvent::Failed(p)).await;
        }
        let (tx, rx) = bounded(EVENTS);
        let _ = self.hand.try_send(Brought::Stream(rx));
        self.tell(AttemptEvent::StreamStarted).await;
        let lines = BufReader::new(r.take_body());
        let end = timeout(self.load.within, self.relay(lines, &tx))
            .await
            .unwrap_or(Err(ErrorCode::StreamInterrupted));
        let told = match end {
            Ok(()) => {
                let _ = tx.send(Piece::End).await;
                AttemptEvent::StreamEnded
            }
            Err(p) => {
                // the reader must see that this is no end
                let _ = tx.send(Piece::Broke(p)).await;
                AttemptEvent::Failed(p)
            }
        };
        self.tell(told).await;
    }

    /// Pass on whole events in order until the one that says it is the last.
    async fn relay<R>(&self, mut from: R, tx: &Sender<Piece>) -> Result<(), ErrorCode>
    where
        R: async_std::io::BufRead + Unpin,
    {
        let mut next = 0u64;
        loop {
            let mut line = Vec::new();
            let mut one = (&mut from).take(MOST_EVENT);
            let read = one.read_until(b'\n', &mut line);
            let n = async_std::future::timeout(self.load.within, self.or_dropped(read))
                .await
                .ok()
                .flatten()
                .ok_or(ErrorCode::StreamInterrupted)?;
            if n == 0 || line.last() != Some(&b'\n') {
                return Err(ErrorCode::StreamInterrupted);
            }
            let v = json::parse(&line, MOST_EVENT as usize)
                .map_err(|_| ErrorCode::InvalidWorkerResponse)?;
            let seq = v.get("seq").and_then(|s| s.as_u64());
            let whose = v.get("errand").and_then(|e| e.as_str());
            let odd = seq != Some(next) || whose.is_some_and(|w| w != self.load.id);
            if odd && !broken(Invariant::Sequence) {
                return Err(ErrorCode::InvalidWorkerResponse);
            }
            next += 1;
            let done = v.get("done").and_then(|d| d.as_bool()) == Some(true);
            tx.send(Piece::Event(line))
                .await
                .map_err(|_| ErrorCode::StreamInterrupted)?;
            if done {
                return Ok(());
            }
        }
    }

    /// The read's result, or none once the word is to drop.
    async fn or_dropped<F>(&self, read: F) -> Option<usize>
    where
        F: std::future::Future<Output = std::io::Result<usize>>,
    {
        let read = std::pin::pin!(read);
        let word = std::pin::pin!(self.words.recv());
        first(read, word).await
    }
}

/// Whichever comes first: bytes read, or a word that ends it.
async fn first<A, B>(mut a: std::pin::Pin<&mut A>, mut b: std::pin::Pin<&mut B>) -> Option<usize>
where
    A: std::future::Future<Output = std::io::Result<usize>>,
    B: std::future::Future<Output = Result<Word, async_std::channel::RecvError>>,
{
    use std::task::Poll;
    std::future::poll_fn(move |cx| {
        if let Poll::Ready(r) = a.as_mut().poll(cx) {
            return Poll::Ready(r.ok());
        }
        if b.as_mut().poll(cx).is_ready() {
            return Poll::Ready(None);
        }
        Poll::Pending
    })
    .await
}

/// Whether a content type is this one, whatever its parameters.
fn is(kind: &str, want: &str) -> bool {
    let essence = kind.split(';').next().unwrap_or("").trim();
    essence.eq_ignore_ascii_case(want)
}

fn kind(b: Broke) -> ErrorCode {
    match b {
        Broke::Short => ErrorCode::TruncatedResponse,
        Broke::Garbage => ErrorCode::InvalidWorkerResponse,
        _ => ErrorCode::WorkerDisconnected,
    }
}
