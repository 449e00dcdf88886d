//! Records of requests, runs, changes and disturbances, for the checks at the end.

use super::plan::Plan;
use crate::sync::lock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Milliseconds since the soak began.
pub type Millis = u64;

/// How a request of a client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete response with this status; `fault` is what is wrong with it, if anything.
    Answered { status: u16, fault: Option<String> },
    /// The connection closed before the end of the response.
    Closed,
    /// The bytes that the client received are no HTTP response.
    Malformed,
    /// The client timed out.
    TimedOut,
    /// The request was not written completely.
    NotSent,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub attempt_id: String,
    /// Index of the edge among the processes.
    pub edge: usize,
    pub path: String,
    pub key: Option<String>,
    pub sent_at: Millis,
    pub ended_at: Millis,
    pub ending: Ending,
}

/// One run of a request at a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub attempt_id: String,
    pub path: String,
    pub service: String,
    pub tenant: Option<String>,
    /// The zone of the worker.
    pub zone: &'static str,
    /// The worker received a key, or an authorization header.
    pub key_seen: bool,
    /// The worker crashed while it ran.
    pub crashed: bool,
    pub at: Millis,
}

/// The state of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeState {
    /// Neither acknowledged nor rejected: it may be in force.
    Undecided,
    Acknowledged {
        at: Millis,
    },
    Rejected,
}

/// One configuration that the operator sent.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    pub plan: Plan,
    pub sent_at: Millis,
    pub state: ChangeState,
}

/// One evacuation of the zone, or its return to service, that the operator sent.
#[derive(Clone, Copy, Debug)]
pub struct ZoneChangeRecord {
    pub evacuated: bool,
    pub sent_at: Millis,
    /// Never `Rejected`.
    pub state: ChangeState,
}

/// An event that may excuse what a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// SIGTERM or SIGHUP: the process must still answer the requests that it has read.
    Planned,
    /// SIGKILL, SIGSTOP, SIGCONT or a start: requests may fail.
    Unplanned,
}

/// A disturbance of one process.
#[derive(Clone, Copy, Debug)]
pub struct DisturbanceRecord {
    pub process: usize,
    pub kind: Disturbance,
    pub at: Millis,
}

/// The records of one soak, written by its tasks at the same time.
#[derive(Debug)]
pub struct Records {
    started: Instant,
    stop: AtomicBool,
    next_id: AtomicU64,
    pub connections: AtomicU64,
    pub requests: Mutex<Vec<RequestRecord>>,
    pub runs: Mutex<Vec<RunRecord>>,
    pub changes: Mutex<Vec<ChangeRecord>>,
    pub zone_changes: Mutex<Vec<ZoneChangeRecord>>,
    pub disturbances: Mutex<Vec<DisturbanceRecord>>,
    /// Violations found while the soak runs.
    pub violations: Mutex<Vec<String>>,
}

impl Default for Records {
    fn default() -> Records {
        Records {
            started: Instant::now(),
            stop: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
            connections: AtomicU64::new(0),
            requests: Mutex::default(),
            runs: Mutex::default(),
            changes: Mutex::default(),
            zone_changes: Mutex::default(),
            disturbances: Mutex::default(),
            violations: Mutex::default(),
        }
    }
}

impl Records {
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// An id that no other request of this soak has.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn disturb(&self, process: usize, kind: Disturbance) {
        let at = self.now();
        lock(&self.disturbances).push(DisturbanceRecord { process, kind, at });
    }

    pub fn violation(&self, text: String) {
        lock(&self.violations).push(text);
    }

    /// The acknowledged configuration with the highest version, if any.
    pub fn newest_plan(&self) -> Option<Plan> {
        let changes = lock(&self.changes);
        let acknowledged = changes
            .iter()
            .filter(|change| matches!(change.state, ChangeState::Acknowledged { .. }));
        acknowledged
            .max_by_key(|change| change.plan.version)
            .map(|change| change.plan.clone())
    }
}
