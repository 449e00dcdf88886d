//! The table of requests under way, and where each may go: pure, in
//! milliseconds of a monotonic clock that is handed in.

mod budget;
mod endpoint;
mod hash;
mod health;
mod heavy;
mod kept;
mod nodes;
mod pick;
mod rank;
mod requests;
mod signs;
mod state;
mod waits;

pub use state::{Balancer, Counts};

use crate::error::ErrorCode;
use crate::types::Millis;
use std::net::SocketAddr;

/// A request under way at this node.
pub type RequestId = u64;

/// Where one sending of a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Dense index of the worker, as long as the table lives.
    pub worker: u32,
    pub name: String,
    pub addr: SocketAddr,
    /// What is left of the caller's time, in milliseconds.
    pub left_ms: u64,
    pub priority: Option<u8>,
    /// Connections this node may hold to the worker.
    pub max_conns: u32,
    /// Only on a new connection, which proves that the worker is there.
    pub fresh: bool,
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    Send(Target),
    /// Ask again when woken, at the latest in so many milliseconds.
    Wait(Millis),
    /// It is not sent (again): the kind, and when to come back, in milliseconds.
    Reject(ErrorCode, Millis),
}

/// How one sending came to its end, or how it is going.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The worker's head: running, waiting, slots; cold for so long.
    HeadReceived {
        load: Option<(u32, u32, u32)>,
        cold_ms: Option<u64>,
    },
    /// The first event of a stream, or the whole answer.
    FirstEvent,
    /// Answered whole; the status that the worker gave.
    Completed(u16),
    /// The worker says it did not run (503, 429); load as above.
    Rejected(Option<(u32, u32, u32)>),
    /// Another worker has this address now.
    Misdirected,
    /// No connection came up: nothing was sent.
    ConnectFailed,
    /// Broken off, silent, or no proper answer, after it was sent.
    Failed,
    /// The caller is gone, or its time is up; the worker is not to blame.
    Canceled,
}

/// What the table must know of its own node.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    pub node: String,
    pub zone: u16,
    pub region: u8,
    /// The region of each zone.
    pub regions: Vec<u8>,
}

/// The operator's bounds that hold over all nodes.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Further sendings in any window, over first ones.
    pub retry_ratio: f64,
    pub retry_window_ms: Millis,
    pub retry_slack: f64,
    /// A cold worker takes `warmup_per_s * warmup_excess + warmup_slack` a second.
    pub warmup_excess: f64,
    pub warmup_slack: f64,
}
