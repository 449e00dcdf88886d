//! Load balancing of hosted routes: the requests in progress at this node, what
//! is known of each endpoint, and the decision where a request goes next.
//!
//! The module does no I/O and reads no clock. Every call takes the time in
//! milliseconds of one monotonic clock, and every random draw comes from a seed,
//! so that a run can be repeated.

mod authentication;
mod candidates;
mod cost;
mod decide;
mod dispatch;
mod endpoint;
mod failover;
mod feedback;
mod hash;
mod index;
mod lifecycle;
mod long_prompts;
mod nodes;
mod outcomes;
mod outlier_detection;
mod prefix_cache;
mod priority;
mod registry;
mod request_table;
mod retry_budget;
mod service;
mod state;
mod wait_queue;

pub use state::{Balancer, Counts};

use crate::error::ErrorCode;
use crate::types::Millis;
use std::net::SocketAddr;
use std::sync::Arc;

/// Id of a request in progress at this node; never used twice.
pub type RequestId = u64;

/// The endpoint that one attempt of a request is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Dense index of the endpoint, valid as long as the balancer lives.
    pub endpoint_index: u32,
    /// Name of the endpoint in the platform's registry.
    pub name: String,
    /// Where the endpoint takes requests.
    pub addr: SocketAddr,
    /// Time until the client's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Scheduling priority at the engine, 0 (first) to 9; none where the
    /// service has no engine.
    pub priority: Option<u8>,
    /// Connections that this node may open to the endpoint.
    pub max_conns: u32,
    /// Name of the tenant in whose name the request runs.
    pub tenant: Option<Arc<str>>,
    /// Requires a new connection, which proves that the endpoint is alive.
    pub new_connection: bool,
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt to this endpoint.
    Send(Target),
    /// Decide again when woken, at the latest after so many milliseconds.
    Wait(Millis),
    /// Send no (further) attempt. Carries the error for the client and the
    /// retry-after time in milliseconds; 0: the client should not retry.
    Reject(ErrorCode, Millis),
}

/// Load of an endpoint as it reports it in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the endpoint's own queue.
    pub waiting: u32,
    /// Capacity of the batch; 0: not reported.
    pub slots: u32,
}

/// Progress or end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The head of the answer came, with the endpoint's load and the rest of
    /// its slow start in milliseconds, where it reports them.
    HeadReceived {
        /// Load of the endpoint; none: not reported.
        load: Option<LoadReport>,
        /// Rest of its slow start, in milliseconds; none: not reported.
        slow_start_ms: Option<u64>,
    },
    /// The first event of a stream, or the complete answer, came.
    FirstEvent,
    /// The answer is complete; carries its HTTP status.
    Completed(u16),
    /// The endpoint promises that it did not run the request (429 or 503).
    Rejected(Option<LoadReport>),
    /// Another endpoint has this address by now (421).
    Misdirected,
    /// No connection came up: nothing was sent.
    ConnectFailed,
    /// Broken off, timed out or answered with garbage after it was sent.
    Failed,
    /// The client left or its deadline passed; not the endpoint's fault.
    Canceled,
}

/// The position of this node in the site.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// Name of this node.
    pub node: String,
    /// Index of this node's zone.
    pub zone: u16,
    /// Index of this node's region.
    pub region: u8,
    /// The region of each zone.
    pub regions: Vec<u8>,
}

/// Limits set by the operator that hold for all nodes together.
#[derive(Clone, Debug)]
pub struct SiteLimits {
    /// Retries in any window, as a share of the requests in it.
    pub retry_ratio: f64,
    /// Length of the retry window, in milliseconds.
    pub retry_window_ms: Millis,
    /// Retries in a window that need no requests.
    pub retry_slack: f64,
    /// In slow start an endpoint takes `warmup_per_s * warmup_excess +
    /// warmup_slack` requests a second.
    pub warmup_excess: f64,
    /// Requests a second beside the share; see `warmup_excess`.
    pub warmup_slack: f64,
}
