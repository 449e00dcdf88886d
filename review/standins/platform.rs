//! The platform's list of workers, and workers.

use crate::fleet::{Fleet, MACHINES};
use crate::http::{serve, Message};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::Duration;

/// The body of each answer of a worker.
pub const PAGE: &str = "page";

/// The service of all workers.
pub const SERVICE: &str = "xano55b";

fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    Ok((listener, addr))
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// How long a request is worked on: the number after the last `w` of its path, in milliseconds.
fn work(request: &Message) -> Duration {
    let (_, number) = request.start.rsplit_once("/w").unwrap_or_default();
    let number = number.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_millis(number.unwrap_or(0))
}

/// What workers in trouble send beside or instead of sound answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    #[default]
    None,
    /// An empty line more after the answer before, which arrives late: just before the next one.
    SurplusLine,
    /// Heads whose lines end with LF alone, which is no answer in HTTP/1.1 (RFC 9112, section
    /// 2.2).
    LineFeeds,
}

/// The trouble of all workers.
pub type SharedTrouble = Arc<Mutex<Trouble>>;

/// The answer of a worker that runs each request.
fn run_request(id: &str, request: &Message, record: &Record, trouble: Trouble) -> String {
    let attempt = request.header("sorreldoor-attempt-id").unwrap_or("");
    let wanted = request.header("sorreldoor-want-worker");
    if wanted.is_some_and(|w| w != id) {
        let headers = format!("Sorreldoor-Attempt-Id: {attempt}\r\nSorreldoor-Not-Run: 1\r\n");
        return response("421 Misdirected Request", &headers, "");
    }
    record.write(&format!(
        "worker {id} begins to run {attempt}: {}",
        request.start
    ));
    sleep(work(request));
    record.write(&format!("worker {id} has run {attempt} and answers it"));
    let headers =
        format!("Sorreldoor-Attempt-Id: {attempt}\r\nSorreldoor-Worker-Seal: {id}.{attempt}\r\n");
    let answer = response("200 OK", &headers, PAGE);
    let answer = match trouble {
        Trouble::None => answer,
        Trouble::SurplusLine => format!("\r\n{answer}"),
        Trouble::LineFeeds => answer.replace("\r\n", "\n"),
    };
    record.write(&format!("worker {id} sends {answer:?}"));
    answer
}

/// Starts one worker for each zone, and the list that names them; returns its address.
pub fn start(record: &Record, trouble: &SharedTrouble) -> Result<SocketAddr, String> {
    let mut entries = Vec::new();
    for machine in 0..MACHINES {
        let (listener, addr) = listen()?;
        let (id, record, zone) = (format!("i-{machine}"), record.clone(), Fleet::zone(machine));
        entries.push(format!(
            "{{\"svc\":\"{SERVICE}\",\"addr\":\"{addr}\",\"az\":\"{zone}\",\"ver\":\"v1\",\"slots\":6,\"st\":\"ready\",\"warmupMs\":0,\"id\":\"{id}\"}}"
        ));
        let trouble = trouble.clone();
        serve(listener, move |request| {
            let trouble = *trouble.lock().unwrap_or_else(PoisonError::into_inner);
            run_request(&id, request, &record, trouble)
        });
    }
    let list = format!("{{\"pool\":[{}],\"next\":null}}", entries.join(","));
    let (listener, addr) = listen()?;
    serve(listener, move |_| {
        response("200 OK", "Content-Type: application/json\r\n", &list)
    });
    Ok(addr)
}
