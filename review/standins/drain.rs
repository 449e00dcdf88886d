//! A machine gets SIGTERM while one long request is in flight. Clients that still hold an older
//! answer of the directory open connections to it; each request that it reads must be answered.

use crate::fleet::{Fleet, Role, GRACE_MS};
use crate::http::{call, Message};
use crate::operator::{self, HOST};
use crate::platform;
use crate::record::Record;
use crate::Verdict;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
/// The route's timeout, and the deadline of the long request.
const TIMEOUT_MS: u64 = 8000;
/// The long request: it is answered well before the end of the grace period.
const LONG_WORK_MS: u64 = 6900;
/// The late requests: their clients wait until long after the grace period.
const LATE_WORK_MS: u64 = 2500;
const LATE_DEADLINE_MS: u64 = 6000;
const LATE_CLIENTS: usize = 24;
/// Some clients hold an answer of the directory three times as long as it says (PROTOCOL.md).
const HOLD_FACTOR: f64 = 3.0;
/// The late clients connect this long before they would ask the directory again.
const MARGIN: Duration = Duration::from_millis(150);
/// The process that gets SIGTERM.
const MACHINE: usize = 0;

/// What a client has seen of its request.
struct Outcome {
    id: String,
    answer: std::io::Result<Message>,
}

/// Sends one request on a new connection, in a thread of its own.
fn send(
    record: &Record,
    edge: SocketAddr,
    id: String,
    work_ms: u64,
    deadline_ms: u64,
) -> JoinHandle<Outcome> {
    let record = record.clone();
    thread::spawn(move || {
        let deadline = deadline_ms.to_string();
        let headers = [
            ("Host", HOST),
            ("Sorreldoor-Attempt-Id", id.as_str()),
            ("Sorreldoor-Deadline-Ms", deadline.as_str()),
        ];
        record.write(&format!("client: sends {id} on a new connection to {edge}"));
        let target = format!("POST /volo102/w{work_ms}");
        let answer = call(
            edge,
            &target,
            &headers,
            "x",
            Duration::from_millis(deadline_ms),
        );
        let shown = match &answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.body),
            Err(error) => format!("the connection ends without an answer: {error}"),
        };
        record.write(&format!("client: {id}: {shown}"));
        Outcome { id, answer }
    })
}

/// Waits until the directory names the edge; returns for how long its answer counts.
fn look_up(fleet: &Fleet, record: &Record, edge: SocketAddr) -> Option<f64> {
    let started_at = Instant::now();
    while started_at.elapsed() < PATIENCE {
        let target = format!("GET /api/lookup?name={HOST}&rgn=khomas&az=ausspannplatz-hall");
        let answer = call(
            fleet.directory_addr(MACHINE),
            &target,
            &[],
            "",
            Duration::from_secs(1),
        );
        let body = answer.map_or(String::new(), |a| a.body);
        if body.contains(&edge.to_string()) {
            record.write(&format!("client: the directory answers {body}"));
            let (_, ttl) = body.split_once("\"ttlS\":")?;
            return ttl.trim_end_matches('}').split(',').next()?.parse().ok();
        }
        sleep(Duration::from_millis(100));
    }
    None
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let provider = platform::start(record, &Arc::default())?;
    let mut fleet = Fleet::new(provider, record)?;
    fleet.start_all()?;
    if !operator::put_first(&fleet, record, "nonidem", TIMEOUT_MS, PATIENCE) {
        return Err("the first configuration is not acknowledged".into());
    }
    // longer than contactMs, so that all machines are in touch
    sleep(Duration::from_secs(5));
    fleet.check_running()?;
    let edge = fleet.edge_addr(MACHINE);
    let long = send(
        record,
        edge,
        "a000000000000001".into(),
        LONG_WORK_MS,
        TIMEOUT_MS,
    );
    sleep(Duration::from_millis(100));
    let ttl_s = look_up(&fleet, record, edge).ok_or("the directory does not name the edge")?;
    let looked_up_at = Instant::now();
    if trouble {
        fleet.terminate(MACHINE);
    }
    let terminated_at = Instant::now();
    let hold = Duration::from_secs_f64(ttl_s * HOLD_FACTOR);
    sleep(hold.saturating_sub(looked_up_at.elapsed() + MARGIN));
    let late: Vec<JoinHandle<Outcome>> = (0..LATE_CLIENTS)
        .map(|n| {
            send(
                record,
                edge,
                format!("b{n:015x}"),
                LATE_WORK_MS,
                LATE_DEADLINE_MS,
            )
        })
        .collect();
    let grace = Duration::from_millis(GRACE_MS);
    while trouble && !fleet.has_ended(MACHINE, Role::Edge) && terminated_at.elapsed() < grace {
        sleep(Duration::from_millis(5));
    }
    if trouble && !fleet.has_ended(MACHINE, Role::Edge) {
        fleet.kill(MACHINE, Role::Edge);
    }
    let long = long.join().map_err(|_| "a client failed")?;
    let late: Vec<Outcome> = late.into_iter().filter_map(|c| c.join().ok()).collect();
    if !long.answer.as_ref().is_ok_and(|a| a.status() == 200) {
        return Err(format!("the long request {} is not answered", long.id));
    }
    let lost: Vec<&str> = late
        .iter()
        .filter(|o| o.answer.is_err() && record.contains(&format!("begins to run {}", o.id)))
        .map(|o| o.id.as_str())
        .collect();
    let answered = late.iter().filter(|o| o.answer.is_ok()).count();
    let shown = format!(
        "of {} late requests {answered} are answered; read, run and then cut off without an answer: {lost:?}",
        late.len()
    );
    match lost.is_empty() {
        true => Ok(Verdict::Held(shown)),
        false => Ok(Verdict::Broken(shown)),
    }
}
