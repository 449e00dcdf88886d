//! The platform's list of workers, and sound workers.

use super::http::{read_body, read_head};
use super::Record;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// One entry of the platform's list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub svc: String,
    pub addr: SocketAddr,
    pub az: String,
    pub st: String,
    pub slots: u32,
}

/// The platform's list of workers.
#[derive(Clone, Default)]
pub struct Platform {
    pub list: Arc<Mutex<Vec<Entry>>>,
    pub calls: Arc<AtomicU64>,
}

impl Platform {
    pub fn start(ip: Ipv4Addr) -> (Platform, SocketAddr) {
        let platform = Platform::default();
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().unwrap();
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        (platform, addr)
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(_head) = read_head(&mut stream) {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let list = self.list.lock().unwrap().clone();
            let entries: Vec<String> = list
                .iter()
                .map(|e| {
                    format!(
                        "{{\"id\":\"{}\",\"svc\":\"{}\",\"addr\":\"{}\",\"az\":\"{}\",\"ver\":\"v1\",\"slots\":{},\"st\":\"{}\",\"warmupMs\":0}}",
                        e.id, e.svc, e.addr, e.az, e.slots, e.st
                    )
                })
                .collect();
            let body = format!("{{\"pool\":[{}],\"next\":null}}", entries.join(","));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn set_state(&self, id: &str, state: &str) {
        for entry in self.list.lock().unwrap().iter_mut().filter(|e| e.id == id) {
            entry.st = state.to_string();
        }
    }
}

/// An arrival at a worker that ran the request.
#[derive(Clone)]
pub struct Run {
    pub ms: u64,
    pub worker: String,
    pub zone: String,
    pub attempt: String,
    pub first_line: String,
    pub body: Vec<u8>,
}

#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

/// A sound worker: answers 421 to requests for another worker, otherwise runs the request
/// for `work` and answers it.
pub fn start_worker(
    record: &Arc<Record>,
    runs: &Runs,
    ip: Ipv4Addr,
    id: &str,
    zone: &str,
    work: Duration,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().unwrap();
    let (record, runs) = (record.clone(), runs.clone());
    let (id, zone) = (id.to_string(), zone.to_string());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, id, zone) = (record.clone(), runs.clone(), id.clone(), zone.clone());
            thread::spawn(move || serve_worker(stream, record, runs, id, zone, work));
        }
    });
    addr
}

fn serve_worker(
    mut stream: TcpStream,
    record: Arc<Record>,
    runs: Runs,
    id: String,
    zone: String,
    work: Duration,
) {
    let _ = stream.set_nodelay(true);
    while let Some(head) = read_head(&mut stream) {
        let Some(body) = read_body(&mut stream, head.length()) else { return };
        let attempt = head.get("sorreldoor-attempt-id").unwrap_or("").to_string();
        if head.first.starts_with("GET /healthz") {
            let answer = format!("HTTP/1.1 200 OK\r\nSorreldoor-Worker-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let answer = if head.get("sorreldoor-want-worker").is_some_and(|want| want != id) {
            record.note(format!("worker {id}: 421 for {attempt}"));
            format!("HTTP/1.1 421 Misdirected Request\r\nSorreldoor-Attempt-Id: {attempt}\r\nSorreldoor-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        } else {
            record.note(format!("worker {id} ({zone}) runs {attempt}: {}", head.first));
            runs.0.lock().unwrap().push(Run {
                ms: record.ms(),
                worker: id.clone(),
                zone: zone.clone(),
                attempt: attempt.clone(),
                first_line: head.first.clone(),
                body: body.clone(),
            });
            sleep(work);
            let text = format!("done {attempt}");
            format!(
                "HTTP/1.1 200 OK\r\nSorreldoor-Attempt-Id: {attempt}\r\nSorreldoor-Worker-Seal: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
