//! A soak of the real fleet: a deployment's mix over real connections while
//! nodes are killed, frozen and restarted, checked from the workers' own logs.

use crate::fleet::Fleet;
use crate::rand::Rand;
use crate::sync::lock;
use http_types::Method;
use sorreldoor::http::{call, Call, CallError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What one request's caller saw, by the request's id.
#[derive(Clone, Debug, PartialEq)]
enum CallerOutcome {
    Served,
    Refused,
    Unsure,
}

#[derive(Debug, Default)]
pub struct SoakSummary {
    pub requests: usize,
    pub attempts: usize,
    /// Attempts, not requests, that ended without an answer or with an uncertain
    /// one.
    pub lost: usize,
    pub served: usize,
    pub refused: usize,
    pub unsure: usize,
    pub violations: Vec<String>,
}

struct Shared {
    stop: AtomicBool,
    next: AtomicU64,
    attempts: AtomicU64,
    lost: AtomicU64,
    edges: Vec<(SocketAddr, String)>,
    outcomes: Mutex<BTreeMap<String, CallerOutcome>>,
    violations: Mutex<Vec<String>>,
}

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Callers in `threads`, faults from `seed`, for `time`; then what was seen.
pub fn soak(f: &mut Fleet, seed: u64, threads: usize, time: Duration) -> SoakSummary {
    run_during(f, seed, threads, |f| {
        inject_faults(f, Rand::new(seed), Instant::now() + time)
    })
}

/// Callers in `threads` while `change` is done to the fleet.
pub fn run_during(
    f: &mut Fleet,
    seed: u64,
    threads: usize,
    change: impl FnOnce(&mut Fleet),
) -> SoakSummary {
    let edges = f
        .edges()
        .iter()
        .map(|i| (f.nodes[*i].http, f.nodes[*i].region.clone()))
        .collect();
    let shared = Arc::new(Shared {
        stop: AtomicBool::new(false),
        next: AtomicU64::new(1),
        attempts: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        edges,
        outcomes: Mutex::default(),
        violations: Mutex::default(),
    });
    let callers: Vec<_> = (0..threads as u64)
        .map(|t| {
            let shared = shared.clone();
            thread::spawn(move || caller(&shared, Rand::new(seed * 1000 + t)))
        })
        .collect();
    change(f);
    shared.stop.store(true, Ordering::SeqCst);
    for c in callers {
        let _ = c.join();
    }
    summarize(f, &shared)
}

/// One node at a time is killed, frozen or restarted, and comes back.
fn inject_faults(f: &mut Fleet, mut r: Rand, end: Instant) {
    while Instant::now() < end {
        let i = r.below(f.nodes.len() as u64) as usize;
        match r.below(3) {
            0 => {
                f.kill(i);
                thread::sleep(Duration::from_millis(400));
                f.spawn(i);
            }
            1 => {
                f.signal(i, "STOP");
                thread::sleep(Duration::from_millis(1500));
                f.signal(i, "CONT");
            }
            _ => {
                f.stop(i);
                f.spawn(i);
            }
        }
        thread::sleep(Duration::from_millis(800));
    }
}

fn caller(shared: &Shared, mut r: Rand) {
    while !shared.stop.load(Ordering::SeqCst) {
        let id = format!("soak{}", shared.next.fetch_add(1, Ordering::SeqCst));
        let kind = r.below(10);
        let n = shared.edges.len() as u64;
        // a lost or shed request is asked again under its id, elsewhere
        for i in 0..6 {
            let (at, region) = &shared.edges[r.below(n) as usize];
            shared.attempts.fetch_add(1, Ordering::SeqCst);
            let (outcome, retry_after_s) = send_request(shared, *at, region, &id, kind, &mut r);
            let again = outcome != CallerOutcome::Served;
            let lost = u64::from(outcome == CallerOutcome::Unsure);
            shared.lost.fetch_add(lost, Ordering::SeqCst);
            lock(&shared.outcomes).insert(id.clone(), outcome);
            if !again || i == 5 {
                break;
            }
            // it comes back when it was told to, or soon where it heard nothing
            let wait = retry_after_s.map_or(300, |s| s.min(20) * 1000);
            thread::sleep(Duration::from_millis(wait + r.below(500)));
        }
        thread::sleep(Duration::from_millis(r.below(60)));
    }
}

fn send_request(
    shared: &Shared,
    at: SocketAddr,
    region: &str,
    id: &str,
    kind: u64,
    r: &mut Rand,
) -> (CallerOutcome, Option<u64>) {
    let mut headers = vec![("x-errand-id", id.to_string())];
    let key = format!("p{}", r.below(12));
    let (path, body, events) = match kind {
        0..=4 => {
            headers.push(("x-prefix-key", key));
            (
                "verdict",
                r#"{"prefix_chars":4000,"tail_chars":200,"events":2}"#,
                2,
            )
        }
        5 => ("draft", r#"{"tail_chars":100,"events":20}"#, 20),
        6 => {
            headers.push(("x-home", region.to_string()));
            ("question", r#"{"tail_chars":100}"#, 0)
        }
        _ => ("page", "", 0),
    };
    let c = Call {
        method: if path == "page" {
            Method::Get
        } else {
            Method::Post
        },
        path: if path == "page" {
            format!("/v1/errand/page/{id}")
        } else {
            format!("/v1/errand/{path}")
        },
        headers,
        body: body.as_bytes().to_vec(),
    };
    let got = async_std::task::block_on(call(at, c, 1 << 20, CALL_TIMEOUT));
    let retry_after_s = got.as_ref().ok().and_then(|c| c.retry_after_s);
    let outcome = match got {
        Err(CallError::NotSent) => CallerOutcome::Refused,
        Err(_) => CallerOutcome::Unsure,
        Ok(c) if c.status == 200 => {
            let text = String::from_utf8_lossy(&c.body).into_owned();
            let own = c.request_id.as_deref() == Some(id) && text.contains(id);
            let whole = events == 0 || text.lines().count() == events;
            let ended = events == 0 || text.ends_with("\"done\":true}\n");
            if !(own && whole && ended) {
                lock(&shared.violations).push(format!("{id} ({path}) got {text:?}"));
            }
            CallerOutcome::Served
        }
        Ok(c) if c.status == 503 => CallerOutcome::Refused,
        Ok(_) => CallerOutcome::Unsure,
    };
    (outcome, retry_after_s)
}

/// Compares what callers saw with what the workers ran.
fn summarize(f: &Fleet, shared: &Shared) -> SoakSummary {
    let mut summary = SoakSummary {
        violations: std::mem::take(&mut *lock(&shared.violations)),
        attempts: shared.attempts.load(Ordering::SeqCst) as usize,
        lost: shared.lost.load(Ordering::SeqCst) as usize,
        ..SoakSummary::default()
    };
    let mut executed: BTreeMap<String, u32> = BTreeMap::new();
    for w in f.workers.iter().filter(|w| w.profile.model) {
        for id in &w.state().executed {
            *executed.entry(id.clone()).or_default() += 1;
        }
    }
    for (id, n) in executed.iter().filter(|(_, n)| **n > 1) {
        summary.violations.push(format!("{id} ran {n} times"));
    }
    for s in lock(&shared.outcomes).values() {
        summary.requests += 1;
        match s {
            CallerOutcome::Served => summary.served += 1,
            CallerOutcome::Refused => summary.refused += 1,
            CallerOutcome::Unsure => summary.unsure += 1,
        }
    }
    summary
}
