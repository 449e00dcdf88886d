//! Records of a run, for the checker and the tests.

use sorreldoor::log_events::LogEvent;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;
use sorreldoor::wire::ProposalOutcome;
use std::sync::Arc;

/// A configuration change and the outcome that its operator received.
#[derive(Clone, Debug)]
pub struct Change {
    pub request_id: u64,
    /// The process that it was submitted to.
    pub process: usize,
    pub start: Millis,
    pub end: Millis,
    /// The version that it is based on.
    pub base: u64,
    /// The zone that it evacuates (true) or readmits (false), if any.
    pub zone: Option<(u16, bool)>,
    pub cmd: Command,
    pub outcome: Option<ProposalOutcome>,
}

/// A core's answer to a read of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    pub at: Millis,
    /// Whether it was confirmed to be current after the read was requested.
    pub ok: bool,
    pub version: u64,
}

/// A request as an edge forwarded it to a worker.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    pub at: Millis,
    pub edge: usize,
    pub worker: usize,
    /// The version of the configuration that the edge applied.
    pub version: u64,
    pub doc: Arc<String>,
    pub id: String,
    pub client: u64,
    /// The group under which the platform listed the worker.
    pub group: String,
}

/// A request body that an edge received.
#[derive(Clone, Debug)]
pub struct ReceivedBody {
    pub at: Millis,
    pub edge: usize,
    pub client: u64,
    /// The configuration under which the edge admitted the request.
    pub doc: Arc<String>,
}

/// A log event of a process.
#[derive(Clone, Debug)]
pub struct LogRecord {
    pub at: Millis,
    pub process: String,
    pub event: LogEvent,
    pub message: String,
}
