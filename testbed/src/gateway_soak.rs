//! A soak test of a fleet of real processes: clients send requests of every kind while
//! nodes are killed, frozen and restarted; checked against the workers' records.

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

/// The result of a request for its caller.
#[derive(Clone, Debug, PartialEq)]
enum CallerOutcome {
    Served,
    /// It did not run.
    Rejected,
    /// It may have run.
    Uncertain,
}

#[derive(Debug, Default)]
pub struct SoakSummary {
    pub requests: usize,
    pub attempts: usize,
    /// Attempts, not requests, of which the caller does not know whether they ran.
    pub lost: usize,
    pub served: usize,
    pub rejected: usize,
    pub uncertain: usize,
    pub violations: Vec<String>,
}

/// State shared by all callers.
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

/// Runs callers in `threads` threads for `time`, with random faults of `seed`.
pub fn soak(f: &mut Fleet, seed: u64, threads: usize, time: Duration) -> SoakSummary {
    run_during(f, seed, threads, |f| {
        inject_faults(f, Rand::new(seed), Instant::now() + time)
    })
}

/// Runs callers in `threads` threads while `change` acts on the fleet.
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

/// Kills, freezes or restarts one random node at a time until `end`.
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

/// Sends requests until the soak stops.
fn caller(shared: &Shared, mut r: Rand) {
    while !shared.stop.load(Ordering::SeqCst) {
        let id = format!("soak{}", shared.next.fetch_add(1, Ordering::SeqCst));
        let kind = r.below(10);
        let n = shared.edges.len() as u64;
        // a failed or rejected request is retried with the same id at a random edge
        for i in 0..6 {
            let (at, region) = &shared.edges[r.below(n) as usize];
            shared.attempts.fetch_add(1, Ordering::SeqCst);
            let (outcome, retry_after_s) = send_request(shared, *at, region, &id, kind, &mut r);
            let failed = outcome != CallerOutcome::Served;
            let lost = u64::from(outcome == CallerOutcome::Uncertain);
            shared.lost.fetch_add(lost, Ordering::SeqCst);
            lock(&shared.outcomes).insert(id.clone(), outcome);
            if !failed || i == 5 {
                break;
            }
            // wait as Retry-After says, or briefly without it
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
        Err(CallError::NotSent) => CallerOutcome::Rejected,
        Err(_) => CallerOutcome::Uncertain,
        Ok(c) if c.status == 200 => {
            let text = String::from_utf8_lossy(&c.body).into_owned();
            let own_id = c.request_id.as_deref() == Some(id) && text.contains(id);
            let complete = events == 0 || text.lines().count() == events;
            let ended = events == 0 || text.ends_with("\"done\":true}\n");
            if !(own_id && complete && ended) {
                lock(&shared.violations)
                    .push(format!("{id} ({path}): unexpected response {text:?}"));
            }
            CallerOutcome::Served
        }
        Ok(c) if c.status == 503 => CallerOutcome::Rejected,
        Ok(_) => CallerOutcome::Uncertain,
    };
    (outcome, retry_after_s)
}

/// Counts the outcomes, and checks that no model worker request ran twice.
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
            CallerOutcome::Rejected => summary.rejected += 1,
            CallerOutcome::Uncertain => summary.uncertain += 1,
        }
    }
    summary
}
