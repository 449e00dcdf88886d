//! The HTTP interface of a stub worker.

use super::slot::WorkerSlot;
use super::streamed_body::{aborted_response, StreamedBody};
use super::{InjectedFault, Shared};
use crate::sync::lock;
use async_std::channel::bounded;
use async_std::io::Cursor;
use async_std::task;
use http_types::{Body, Method, Request, Response, StatusCode};
use simd_json::prelude::*;
use sorreldoor::http;
use sorreldoor::json::{self, Value};
use std::sync::Arc;
use std::time::Duration;

const MAX_BODY_BYTES: usize = 1 << 24;
/// Characters of a prompt after its prefix, if the request does not state them.
const DEFAULT_TAIL_CHARS: u64 = 100;
/// Duration of a page request.
const PAGE_TIME: Duration = Duration::from_millis(2);
/// Longer than any client waits.
const NEVER: Duration = Duration::from_secs(3600);

pub(super) async fn handle(worker: Arc<Shared>, request: Request) -> Response {
    let path = request.url().path().to_string();
    match (request.method(), path.as_str()) {
        (Method::Get, "/load") => load(&worker),
        (Method::Get, "/log") => log(&worker),
        (Method::Post, "/fault") => set_fault(&worker, &request),
        (Method::Post, "/errand") if worker.profile.model => generate(worker, request).await,
        (Method::Get, _) if !worker.profile.model => page(worker, request).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

/// Answers a health check with the load report.
fn load(worker: &Shared) -> Response {
    let state = lock(&worker.state);
    let mut report = Value::object();
    let _ = report.insert("worker", worker.profile.name.as_str());
    let _ = report.insert("running", state.running);
    let _ = report.insert("queued", state.queued);
    let _ = report.insert("slots", worker.profile.slots);
    let _ = report.insert("finished", state.finished);
    let _ = report.insert("adapters", Vec::<Value>::new());
    let _ = report.insert("weights", "stand-in-1");
    http::ok(report)
}

/// Answers with the executed requests and the cache counters, for tests.
fn log(worker: &Shared) -> Response {
    let state = lock(&worker.state);
    let executed = state.executed.iter().map(|id| Value::from(id.as_str()));
    let mut log = Value::object();
    let _ = log.insert("ran", executed.collect::<Vec<Value>>());
    let _ = log.insert("hits", state.hits);
    let _ = log.insert("misses", state.misses);
    let _ = log.insert("most_running", state.peak_running);
    http::ok(log)
}

fn set_fault(worker: &Shared, request: &Request) -> Response {
    let mode = http::query_parameter(request, "mode");
    match mode.and_then(|mode| InjectedFault::from_name(&mode)) {
        Some(fault) => {
            lock(&worker.state).fault = fault;
            http::json(200, "{}".into())
        }
        None => Response::new(StatusCode::BadRequest),
    }
}

fn header(request: &Request, name: &str) -> String {
    request
        .header(name)
        .map_or(String::new(), |values| values.last().as_str().to_string())
}

/// Runs a model request; answers with a complete response or a stream of events.
async fn generate(worker: Arc<Shared>, mut request: Request) -> Response {
    let id = header(&request, "x-errand-id");
    let key = header(&request, "x-prefix-key");
    let body = request.take_body().into_bytes().await.unwrap_or_default();
    let prompt = json::parse(&body, MAX_BODY_BYTES).unwrap_or_default();
    let number = |key: &str, default: u64| {
        let value = prompt.get(key).and_then(|value| value.as_u64());
        value.unwrap_or(default)
    };
    let prefix_chars = number("prefix_chars", 0);
    let tail_chars = number("tail_chars", DEFAULT_TAIL_CHARS);
    let events = number("events", 0);
    let fault = lock(&worker.state).fault;
    if fault == InjectedFault::Reject {
        return rejection();
    }
    let mut slot = WorkerSlot::queue(&worker);
    slot.run(&id).await;
    let cached = use_prefix(&worker, &key);
    let chars = tail_chars + if cached { 0 } else { prefix_chars };
    task::sleep(Duration::from_micros(chars * worker.profile.prefill_us)).await;
    let stated_id = if fault == InjectedFault::WrongRequestId {
        "another".to_string()
    } else {
        id.clone()
    };
    match fault {
        InjectedFault::NoResponse => task::sleep(NEVER).await,
        InjectedFault::CloseConnection => return aborted_response(stated_id),
        _ => {}
    }
    if events > 0 {
        let stream = EventStream {
            worker,
            id,
            stated_id,
            events,
            fault,
        };
        return stream.respond(slot);
    }
    task::sleep(Duration::from_millis(worker.profile.decode_ms)).await;
    complete_response(&worker, &id, stated_id, &body, fault)
}

fn rejection() -> Response {
    let mut response = http::json(503, "{\"ran\":false}".into());
    response.insert_header("x-ran", "no");
    response
}

fn complete_response(
    worker: &Shared,
    id: &str,
    stated_id: String,
    request_body: &[u8],
    fault: InjectedFault,
) -> Response {
    let echo = sorreldoor::placement::hash_pair("", &String::from_utf8_lossy(request_body));
    let mut result = Value::object();
    let _ = result.insert("errand", id);
    let _ = result.insert("worker", worker.profile.name.as_str());
    let _ = result.insert("echo", echo);
    let text = if fault == InjectedFault::InvalidJson {
        "}{".to_string()
    } else {
        result.encode()
    };
    let mut response = http::json(200, text.clone());
    response.insert_header("x-errand-id", stated_id);
    if fault == InjectedFault::TruncatedBody {
        response.set_body(truncated(&text, text.len() / 2));
        response.set_content_type(http_types::mime::JSON);
    }
    response
}

/// A body that states the length of `text` and ends after `bytes` of it.
fn truncated(text: &str, bytes: usize) -> Body {
    let start = Cursor::new(text.as_bytes()[..bytes].to_vec());
    Body::from_reader(start, Some(text.len()))
}

/// Makes a prefix the most recently used one in the cache; true if it was cached.
fn use_prefix(worker: &Shared, key: &str) -> bool {
    if key.is_empty() {
        return false;
    }
    let mut state = lock(&worker.state);
    let position = state.cache.iter().position(|cached| cached == key);
    match position {
        Some(i) => {
            let prefix = state.cache.remove(i).unwrap_or_default();
            state.cache.push_back(prefix);
            state.hits += 1;
        }
        None => {
            state.cache.push_back(key.to_string());
            if state.cache.len() > worker.profile.cache {
                state.cache.pop_front();
            }
            state.misses += 1;
        }
    }
    position.is_some()
}

/// A stream of events in answer to one request.
struct EventStream {
    worker: Arc<Shared>,
    id: String,
    /// The id that the response's head states.
    stated_id: String,
    events: u64,
    fault: InjectedFault,
}

impl EventStream {
    fn respond(self, slot: WorkerSlot) -> Response {
        let truncated = self.fault == InjectedFault::TruncatedStream;
        let stated_id = self.stated_id.clone();
        let (sender, events) = bounded(1);
        task::spawn(async move {
            let _slot = slot;
            let gap = Duration::from_millis(self.worker.profile.decode_ms);
            for seq in 0..self.events {
                task::sleep(gap).await;
                if self.fault == InjectedFault::SkippedEvent && seq == 1 {
                    continue;
                }
                let sent = sender.send(self.event(seq)).await;
                if sent.is_err() || truncated {
                    return;
                }
            }
        });
        let mut response = Response::new(StatusCode::Ok);
        let body = StreamedBody::new(events, truncated);
        response.set_body(Body::from_reader(body, None));
        response.insert_header("x-errand-id", stated_id);
        response.insert_header("content-type", "application/x-ndjson");
        response
    }

    /// One event as a line of JSON.
    fn event(&self, seq: u64) -> Vec<u8> {
        let name = &self.worker.profile.name;
        let mut event = Value::object();
        let _ = event.insert("seq", seq);
        let _ = event.insert("errand", self.id.as_str());
        let _ = event.insert("text", format!("{name} event {seq}"));
        if seq + 1 == self.events {
            let _ = event.insert("done", true);
        }
        (event.encode() + "\n").into_bytes()
    }
}

async fn page(worker: Arc<Shared>, request: Request) -> Response {
    let id = header(&request, "x-errand-id");
    let fault = lock(&worker.state).fault;
    let mut slot = WorkerSlot::queue(&worker);
    slot.run(&id).await;
    task::sleep(PAGE_TIME).await;
    match fault {
        InjectedFault::NoResponse => task::sleep(NEVER).await,
        InjectedFault::CloseConnection => return aborted_response(id),
        _ => {}
    }
    let text = format!("<p>{}</p>", request.url().path());
    let mut response = Response::new(StatusCode::Ok);
    if fault == InjectedFault::TruncatedBody {
        response.set_body(truncated(&text, 4));
    } else {
        response.set_body(Body::from_string(text));
    }
    response.insert_header("content-type", "text/html");
    response
}
