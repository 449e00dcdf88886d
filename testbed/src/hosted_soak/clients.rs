//! Clients: each sends requests over one connection until the edge closes it, and checks
//! the responses.

use super::plan::{key, RouteKind, HOST, IDLE_MS};
use super::processes::{ProcessFleet, ProcessRole};
use super::records::{Ending, Records, RequestRecord};
use super::response_reader::{read_head, read_response};
use super::workers::{stream_request, work_request};
use crate::rand::Rand;
use crate::sync::lock;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::prelude::*;
use async_std::task::sleep;
use platform::dialect::{ATTEMPT, DEADLINE};
use sorreldoor::proxy::http1::{Head, ReadBuffer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The deadline that clients state in their requests.
const DEADLINE_MS: u64 = 4000;
/// How long a client waits for a response: the stated deadline and a margin.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest work of a request, below the deadline.
const MAX_WORK_MS: u64 = 3500;

/// How a client sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// Short pauses between requests.
    Busy,
    /// Pauses of up to four fifths of the idle time-out of connections.
    Resting,
    /// Requests streams.
    Streaming,
    /// Sends each body in two parts, with a pause between them.
    Uploading,
    /// Sends requests with much work, each on a new connection to any edge, as with an
    /// old endpoint list.
    Outdated,
}

const HABITS: [Habit; 6] = [
    Habit::Busy,
    Habit::Resting,
    Habit::Outdated,
    Habit::Streaming,
    Habit::Uploading,
    Habit::Outdated,
];

/// One request before it is sent.
struct Draft {
    path: String,
    key: Option<String>,
    body: String,
    events: Option<u64>,
}

/// One client with its connection.
pub struct SoakClient {
    fleet: Arc<ProcessFleet>,
    records: Arc<Records>,
    random: Rand,
    habit: Habit,
    connection: Option<Connection>,
}

struct Connection {
    stream: TcpStream,
    buffer: ReadBuffer,
    /// Index of the process among all.
    process: usize,
}

impl SoakClient {
    pub fn new(
        fleet: Arc<ProcessFleet>,
        records: Arc<Records>,
        seed: u64,
        number: usize,
    ) -> SoakClient {
        SoakClient {
            fleet,
            records,
            random: Rand::new(seed.wrapping_mul(1000).wrapping_add(number as u64)),
            habit: HABITS[number % HABITS.len()],
            connection: None,
        }
    }

    /// Sends requests until the soak is over.
    pub async fn run(mut self) {
        while !self.records.stopped() {
            let Some(mut connection) = self.connected().await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let draft = self.draft();
            let (record, head) = self.exchange(&mut connection, &draft).await;
            let answered = matches!(record.ending, Ending::Answered { .. });
            let kept = answered && self.habit != Habit::Outdated;
            lock(&self.records.requests).push(record);
            let closes = head.as_ref().is_none_or(Head::closes_connection);
            if kept && !closes {
                self.connection = Some(connection);
            }
            self.pause(head.as_ref()).await;
        }
    }

    /// The kept connection, or a new one to a random edge. Only an outdated client connects
    /// to an edge that is not ready.
    async fn connected(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let edges: Vec<_> = self.fleet.with_role(ProcessRole::Edge).collect();
        let edge = edges[self.random.below(edges.len() as u64) as usize];
        if self.habit != Habit::Outdated && !is_ready(edge.ready_addr()).await {
            return None;
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(edge.edge_addr())).await;
        let stream = stream.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let connections = &self.records.connections;
        connections.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Some(Connection {
            stream,
            buffer: ReadBuffer::default(),
            process: edge.index,
        })
    }

    fn draft(&mut self) -> Draft {
        let plan = self.records.newest_plan();
        let routes = plan.as_ref().map(|plan| plan.routes.as_slice());
        let routes = routes.unwrap_or_default();
        let wanted = |kind: RouteKind| match self.habit {
            Habit::Streaming => kind == RouteKind::Stream,
            _ => kind != RouteKind::Stream,
        };
        let names: Vec<&str> = routes
            .iter()
            .filter(|route| wanted(route.kind))
            .map(|route| route.name.as_str())
            .collect();
        let name = match self.random.below(20) {
            // a route that may be removed, or never existed
            0 => format!("added{}", self.random.below(12)),
            1 => "nowhere".to_string(),
            _ if names.is_empty() => "page".to_string(),
            _ => names[self.random.below(names.len() as u64) as usize].to_string(),
        };
        let tenant = format!("tenant{}", self.random.below(7));
        let key = match self.random.below(20) {
            0 => None,
            1 => Some("secret-guessed".to_string()),
            // keys that may be revoked, or not added yet
            2..=5 => Some(key(&tenant, self.random.below(8))),
            _ => plan.as_ref().and_then(|plan| self.known_key(plan)),
        };
        let streams = self.habit == Habit::Streaming;
        let events = streams.then(|| 3 + self.random.below(40));
        let body = match events {
            Some(events) => stream_request(events),
            None if self.habit == Habit::Outdated => work_request(self.random.below(MAX_WORK_MS)),
            None => "x".repeat(self.random.below(20_000) as usize),
        };
        Draft {
            path: format!("/{name}/{}", self.random.below(1000)),
            key,
            body,
            events,
        }
    }

    fn known_key(&mut self, plan: &super::plan::Plan) -> Option<String> {
        let keys: Vec<&String> = plan.tenants.iter().flat_map(|t| &t.keys).collect();
        let index = self.random.below(keys.len() as u64) as usize;
        keys.get(index).map(|key| (*key).clone())
    }

    async fn exchange(
        &mut self,
        connection: &mut Connection,
        draft: &Draft,
    ) -> (RequestRecord, Option<Head>) {
        let attempt_id = format!("{:016x}", self.records.next_id());
        let authorization = draft
            .key
            .as_ref()
            .map(|key| format!("Authorization: Bearer {key}\r\n"))
            .unwrap_or_default();
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {attempt_id}\r\n{DEADLINE}: {DEADLINE_MS}\r\n{authorization}Content-Length: {}\r\n\r\n",
            draft.path,
            draft.body.len()
        );
        let begun_at = self.records.now();
        let sent = self.send(connection, &head, &draft.body).await;
        let sent_at = self.records.now();
        let (ending, answer_head) = match sent {
            false => (Ending::NotSent, None),
            true => {
                let Connection { stream, buffer, .. } = connection;
                let answer = read_response(stream, buffer, &attempt_id, draft.events);
                match timeout(RESPONSE_TIMEOUT, answer).await {
                    Err(_) => (Ending::TimedOut, None),
                    Ok(Err(ending)) => (ending, None),
                    Ok(Ok((head, fault))) => {
                        let status = head.status;
                        (Ending::Answered { status, fault }, Some(head))
                    }
                }
            }
        };
        let record = RequestRecord {
            attempt_id,
            edge: connection.process,
            path: draft.path.clone(),
            key: draft.key.clone(),
            // an edge may decide from the first byte on
            sent_at: match ending {
                Ending::Answered { .. } => begun_at,
                _ => sent_at,
            },
            ended_at: self.records.now(),
            ending,
        };
        (record, answer_head)
    }

    async fn send(&mut self, connection: &mut Connection, head: &str, body: &str) -> bool {
        let bytes = [head.as_bytes(), body.as_bytes()].concat();
        let pause = self.habit == Habit::Uploading && !body.is_empty();
        let split = match pause {
            true => head.len() + body.len() / 2,
            false => bytes.len(),
        };
        let written = connection.stream.write_all(&bytes[..split]).await.is_ok();
        if !pause || !written {
            return written;
        }
        sleep(Duration::from_millis(self.random.below(400))).await;
        connection.stream.write_all(&bytes[split..]).await.is_ok()
    }

    async fn pause(&mut self, head: Option<&Head>) {
        let retry_after_s = head
            .and_then(|head| head.get("retry-after"))
            .and_then(|seconds| seconds.trim().parse::<f64>().ok());
        if let Some(seconds) = retry_after_s {
            return sleep(Duration::from_secs_f64(seconds.min(2.0))).await;
        }
        let limit = match self.habit {
            Habit::Busy | Habit::Streaming | Habit::Outdated => 10,
            Habit::Uploading => 100,
            Habit::Resting => IDLE_MS * 4 / 5,
        };
        sleep(Duration::from_millis(self.random.below(limit))).await;
    }
}

/// Whether the readiness check of an edge succeeds.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut buffer = ReadBuffer::default();
        read_head(&mut stream, &mut buffer).await.ok()
    };
    let head = timeout(CONNECT_TIMEOUT, check).await.ok().flatten();
    head.is_some_and(|head| head.status == 200)
}
