//! Messages between the HTTP handlers of an edge and the tasks of attempts.

use crate::error::ErrorCode;
use async_std::channel::Receiver;
use http_types::Method;
use std::time::Duration;

/// A request as it is sent to a worker.
#[derive(Debug)]
pub(super) struct WorkerRequest {
    pub id: String,
    pub route: String,
    /// Prefix key; empty if there is none.
    pub key: String,
    pub method: Method,
    pub path: String,
    pub body: Vec<u8>,
    /// The request goes to a model, so its response must be JSON.
    pub model: bool,
    pub streamed: bool,
    pub timeout: Duration,
}

/// A command to the task that carries out an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptCommand {
    /// Send the request, with this adapter.
    Send(Option<String>),
    Abort,
}

/// A part of a streamed response. A stream whose channel closes before `End`
/// or `Broken` was interrupted.
#[derive(Debug)]
pub(super) enum StreamPart {
    /// One event as a line of JSON.
    Event(Vec<u8>),
    End,
    Broken(ErrorCode),
}

/// A worker's response.
#[derive(Debug)]
pub(super) enum WorkerResponse {
    Complete {
        status: u16,
        content_type: String,
        location: Option<String>,
        body: Vec<u8>,
    },
    Stream(Receiver<StreamPart>),
}
