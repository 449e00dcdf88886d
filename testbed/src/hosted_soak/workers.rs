//! Stub workers, and the provider that lists them to the platform.

use super::plan::{MODEL_SERVICE, PAGE_SERVICE};
use super::records::{Records, RunRecord};
use crate::sync::lock;
use async_std::net::{TcpListener, TcpStream};
use async_std::prelude::*;
use async_std::task;
use platform::dialect::{ATTEMPT, LAST_EVENT, NOT_RUN, SEAL, TENANT, WANT, WORKER};
use sorreldoor::proxy::http1::{parse_request_head, read_body, Head, ReadBuffer};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Zones of the workers, in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The largest head and body that a worker reads, in bytes.
const MAX_HEAD_BYTES: usize = 1 << 16;
const MAX_BODY_BYTES: usize = 1 << 22;
/// The text that every API key contains (see `plan::key`).
pub const KEY_MARK: &str = "secret-";
/// Time between two events of a stream.
const EVENT_INTERVAL_MS: u64 = 30;
/// Duration of a plain request that does not ask for another.
const DEFAULT_WORK_MS: u64 = 15;
/// One in this many responses follows a surplus empty line, and as many have a head whose
/// lines end with LF alone.
const ODD_HEAD_PERIOD: u64 = 16;

/// How a worker handles its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerMode {
    Serving,
    /// Listed as draining; it still serves.
    Draining,
    /// It reads requests and sends no response.
    Silent,
    /// It closes connections without a response, and is not listed.
    Crashed,
}

/// The worker that currently runs at an address.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: String,
    pub service: &'static str,
    pub mode: WorkerMode,
    /// Number of workers started at this address so far.
    pub generation: u64,
}

/// An address at which workers run one after the other.
pub struct WorkerSlot {
    pub addr: SocketAddr,
    zone: &'static str,
    identity: Mutex<Identity>,
    records: Arc<Records>,
}

impl WorkerSlot {
    /// Starts a worker at a free port of the loopback address.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(index: usize, records: Arc<Records>) -> io::Result<Arc<WorkerSlot>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let service = match index % 2 {
            0 => MODEL_SERVICE,
            _ => PAGE_SERVICE,
        };
        let slot = Arc::new(WorkerSlot {
            addr: listener.local_addr()?,
            zone: ZONES[index / 2 % ZONES.len()],
            identity: Mutex::new(Identity {
                id: format!("i-{index}-1"),
                service,
                mode: WorkerMode::Serving,
                generation: 1,
            }),
            records,
        });
        let accepting = slot.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let slot = accepting.clone();
                task::spawn(async move { slot.serve(stream).await });
            }
        });
        Ok(slot)
    }

    pub fn identity(&self) -> Identity {
        lock(&self.identity).clone()
    }

    pub fn set_mode(&self, mode: WorkerMode) {
        lock(&self.identity).mode = mode;
    }

    /// Replaces the worker at this address by a new one of the given service.
    pub fn start_next_worker(&self, index: usize, service: &'static str) {
        let mut identity = lock(&self.identity);
        identity.generation += 1;
        identity.id = format!("i-{index}-{}", identity.generation);
        identity.service = service;
        identity.mode = WorkerMode::Serving;
    }

    /// Whether the worker with `identity` still runs.
    fn is_current(&self, identity: &Identity) -> bool {
        let now = self.identity();
        now.generation == identity.generation && now.mode != WorkerMode::Crashed
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut buffer = ReadBuffer::default();
        let _ = stream.set_nodelay(true);
        loop {
            let head = loop {
                match parse_request_head(&mut buffer, MAX_HEAD_BYTES) {
                    Ok(Some(head)) => break head,
                    Ok(None) => {}
                    Err(_) => return,
                }
                if !matches!(buffer.fill(&mut stream).await, Ok(count) if count > 0) {
                    return;
                }
            };
            let Ok(framing) = head.request_framing() else {
                return;
            };
            let body = read_body(&mut stream, &mut buffer, framing, MAX_BODY_BYTES).await;
            let Ok(body) = body else { return };
            if !self.answer(&mut stream, &head, &body).await {
                return;
            }
        }
    }

    /// Answers one request; false if the connection ends.
    async fn answer(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> bool {
        let identity = self.identity();
        match identity.mode {
            WorkerMode::Crashed => return false,
            WorkerMode::Silent => {
                task::sleep(Duration::from_secs(20)).await;
                return false;
            }
            WorkerMode::Serving | WorkerMode::Draining => {}
        }
        let attempt_id = head.get(ATTEMPT).unwrap_or("").to_string();
        if head.get(WANT).is_some_and(|wanted| wanted != identity.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{WORKER}: {}\r\n{NOT_RUN}: 1\r\n{ATTEMPT}: {attempt_id}\r\nContent-Length: 0\r\n\r\n",
                identity.id
            );
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        let run = self.record_run(head, body, &identity, &attempt_id);
        let complete = match requested_events(body) {
            Some(count) => {
                self.stream(stream, head, &identity, &attempt_id, count)
                    .await
            }
            None => {
                let work_ms = requested_work_ms(body).unwrap_or(DEFAULT_WORK_MS);
                self.respond(stream, &identity, &attempt_id, work_ms).await
            }
        };
        if !self.is_current(&identity) {
            lock(&self.records.runs)[run].crashed = true;
        }
        complete && self.is_current(&identity)
    }

    /// Records a run; returns the index of its record.
    fn record_run(&self, head: &Head, body: &[u8], identity: &Identity, id: &str) -> usize {
        let raw = String::from_utf8_lossy(&head.raw);
        let key_seen = raw.contains(KEY_MARK)
            || raw.to_ascii_lowercase().contains("authorization")
            || String::from_utf8_lossy(body).contains(KEY_MARK);
        let mut runs = lock(&self.records.runs);
        runs.push(RunRecord {
            attempt_id: id.to_string(),
            path: head.path().to_string(),
            service: identity.service.to_string(),
            tenant: head.get(TENANT).map(str::to_string),
            zone: self.zone,
            key_seen,
            crashed: false,
            at: self.records.now(),
        });
        runs.len() - 1
    }

    async fn respond(
        &self,
        stream: &mut TcpStream,
        identity: &Identity,
        id: &str,
        work_ms: u64,
    ) -> bool {
        task::sleep(Duration::from_millis(work_ms)).await;
        if !self.is_current(identity) {
            return false;
        }
        let body = plain_body(id);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {id}\r\n{SEAL}: {}.{id}\r\nContent-Length: {}\r\n\r\n",
            identity.id,
            body.len()
        );
        let text = with_odd_line_ends(text, id) + &body;
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        identity: &Identity,
        id: &str,
        count: u64,
    ) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {id}\r\n{SEAL}: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            identity.id
        );
        let text = with_odd_line_ends(text, id);
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        let last = head.get(LAST_EVENT).and_then(|last| last.parse().ok());
        for number in last.unwrap_or(0) + 1..=count {
            task::sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
            if !self.is_current(identity) {
                return false;
            }
            let event = event(id, number);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    /// The worker's entry in the provider's list; `None` if it has crashed.
    fn entry(&self) -> Option<String> {
        let identity = self.identity();
        let state = match identity.mode {
            WorkerMode::Crashed => return None,
            WorkerMode::Draining => "draining",
            WorkerMode::Serving | WorkerMode::Silent => "ready",
        };
        Some(format!(
            r#"{{"svc":"{}","addr":"{}","az":"{}","ver":"v1","slots":32,"st":"{state}","warmupMs":0,"id":"{}"}}"#,
            identity.service, self.addr, self.zone, identity.id
        ))
    }
}

/// The head as this worker sends it to the request `id`: of some requests in a form that
/// only a lenient parser accepts.
fn with_odd_line_ends(head: String, id: &str) -> String {
    match u64::from_str_radix(id, 16).unwrap_or(0) % ODD_HEAD_PERIOD {
        1 => format!("\r\n{head}"),
        2 => head.replace("\r\n", "\n"),
        _ => head,
    }
}

/// The body of a plain answer to a request.
pub fn plain_body(id: &str) -> String {
    format!("answer to {id}\n").repeat(8)
}

/// One event of the stream that answers a request.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// The body of a request that asks for a stream of this many events.
pub fn stream_request(events: u64) -> String {
    format!("events={events}")
}

fn requested_events(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    text.strip_prefix("events=")?.parse().ok()
}

/// The body of a plain request that takes this many milliseconds.
pub fn work_request(work_ms: u64) -> String {
    format!("work_ms={work_ms}")
}

fn requested_work_ms(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    text.strip_prefix("work_ms=")?.parse().ok()
}

/// Starts the provider, which lists these workers to the platform; returns its address.
///
/// # Errors
/// No port can be bound.
pub async fn start_provider(workers: Vec<Arc<WorkerSlot>>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let workers = Arc::new(workers);
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let workers = workers.clone();
            task::spawn(async move {
                let mut buffer = ReadBuffer::default();
                while matches!(buffer.fill(&mut stream).await, Ok(count) if count > 0) {
                    while let Ok(Some(_)) = parse_request_head(&mut buffer, MAX_HEAD_BYTES) {
                        let entries: Vec<String> =
                            workers.iter().filter_map(|worker| worker.entry()).collect();
                        let body = format!(r#"{{"pool":[{}],"next":null}}"#, entries.join(","));
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if stream.write_all(text.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    Ok(addr)
}
