//! Load balancing of hosted routes. A [`Balancer`] holds the requests in progress
//! at this node and the state of each endpoint, and decides for each request
//! whether it is sent, waits or is rejected.
//!
//! The module does no I/O and reads no clock: every call takes the time of one
//! monotonic clock in milliseconds, and random numbers come from a seed. The same
//! sequence of calls therefore gives the same results.

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
mod response_time;
mod retry_budget;
mod service;
mod shutdown;
mod state;
mod wait_queue;

pub use shutdown::ShutdownLimits;
pub use state::{Balancer, Counts};

use crate::error::ErrorCode;
use crate::types::Millis;
use std::net::SocketAddr;
use std::sync::Arc;

/// Id of a request in progress at this node; not reused for another request.
pub type RequestId = u64;

/// The endpoint that one attempt of a request is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Dense index of the endpoint; not reused while the balancer exists.
    pub endpoint_index: u32,
    /// Name of the endpoint in the platform's registry.
    pub name: String,
    /// Address at which the endpoint accepts requests.
    pub addr: SocketAddr,
    /// Time until the client's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Scheduling priority at the engine, from 0 (most urgent) to 9; `None` if
    /// the service has no engine.
    pub priority: Option<u8>,
    /// Maximum number of connections from this node to the endpoint.
    pub max_conns: u32,
    /// Name of the tenant that the request belongs to, if any.
    pub tenant: Option<Arc<str>>,
    /// Whether the attempt needs a new connection: accepting one shows that the
    /// endpoint is alive.
    pub new_connection: bool,
}

/// What the proxy has to do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt to this endpoint.
    Send(Target),
    /// Call [`Balancer::decide`] again once [`Balancer::take_ready`] returns the
    /// request, and no later than after this many milliseconds.
    Wait(Millis),
    /// Send no (further) attempt. Contains the error for the client and the
    /// retry-after time in milliseconds; 0: the client should not retry.
    Reject(ErrorCode, Millis),
}

/// Load of an endpoint, as reported by it in a response head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// Maximum size of the batch; 0: not reported.
    pub slots: u32,
}

/// Intermediate or final result of one attempt. `HeadReceived` and `FirstEvent`
/// are intermediate, all others end the attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The response head was received.
    HeadReceived {
        /// Load of the endpoint; `None`: not reported.
        load: Option<LoadReport>,
        /// Remaining slow start of the endpoint in milliseconds; `None`: not
        /// reported.
        slow_start_ms: Option<u64>,
    },
    /// The first event of a stream, or the complete response, was received.
    FirstEvent,
    /// The response is complete. Contains its HTTP status.
    Completed(u16),
    /// The endpoint refused the request without running it (429 or 503).
    Rejected(Option<LoadReport>),
    /// The address now belongs to another endpoint (421).
    Misdirected,
    /// The connection was not established; nothing was sent.
    ConnectFailed,
    /// The connection broke, the response timed out or it was malformed, after
    /// the request was sent.
    Failed,
    /// The client disconnected or its deadline passed. This does not count as a
    /// failure of the endpoint.
    Canceled,
}

/// Zone and region of this node, and the regions of all zones.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// Name of this node.
    pub node: String,
    /// Index of this node's zone.
    pub zone: u16,
    /// Index of this node's region.
    pub region: u8,
    /// Region index of each zone, by zone index.
    pub regions: Vec<u8>,
}

/// Limits set by the operator that apply to the sum over all nodes of the site.
#[derive(Clone, Debug)]
pub struct SiteLimits {
    /// Maximum retries in any window, as a fraction of the requests in it.
    pub retry_ratio: f64,
    /// Length of the retry window, in milliseconds.
    pub retry_window_ms: Millis,
    /// Retries allowed per window in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Factor on a service's `warmup_per_s`: an endpoint in slow start gets at most
    /// `warmup_per_s * warmup_excess + warmup_slack` requests per second.
    pub warmup_excess: f64,
    /// Requests per second added to that product; see `warmup_excess`.
    pub warmup_slack: f64,
}
