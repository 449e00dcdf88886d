//! Events of attempts that the table reacts to, and its effects.

use super::{AttemptToken, ClaimRequest, RequestId};
use crate::error::ErrorCode;
use std::net::SocketAddr;

/// What the task that carries out an attempt reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The connection is open; the task waits for permission to send.
    Connected,
    /// No connection: nothing was sent.
    ConnectFailed,
    /// The worker reported that it did not execute the request.
    NotExecuted,
    /// A complete response has arrived.
    Complete,
    /// The head of a stream has arrived.
    StreamStarted,
    /// A stream was relayed up to its last event.
    StreamEnded,
    /// The attempt failed after bytes may have been sent.
    Failed(ErrorCode),
}

/// An event of one attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    pub request_id: RequestId,
    pub token: AttemptToken,
    pub event: AttemptEvent,
}

/// What the table asks its owner to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEffect {
    /// Open a connection to this worker.
    Connect {
        request_id: RequestId,
        token: AttemptToken,
        worker: usize,
        addr: SocketAddr,
    },
    /// Send the request on the open connection, with this adapter.
    Send {
        request_id: RequestId,
        token: AttemptToken,
        adapter: Option<String>,
    },
    /// Close the connection and drop what is in flight on it.
    Abort {
        request_id: RequestId,
        token: AttemptToken,
    },
    /// Final: respond with this error; Retry-After in seconds, 0 for none.
    Reject {
        request_id: RequestId,
        error_code: ErrorCode,
        retry_after_s: u64,
    },
    /// Final: forward the worker's response, which the attempt's task has.
    Respond {
        request_id: RequestId,
        token: AttemptToken,
    },
    /// Final: redirect the caller to another edge.
    Redirect { request_id: RequestId, addr: String },
    /// For the log: whether the request ran is not known.
    OutcomeUnknown { id: String, worker: String },
    /// Claim the request's id with the control plane.
    Claim {
        request_id: RequestId,
        claim: ClaimRequest,
    },
    /// Release the claim of a request that was never sent.
    Release { request_id: RequestId, id: String },
    /// For the log: an attempt failed, or its response was refused.
    AttemptFailed {
        id: String,
        worker: String,
        error_code: ErrorCode,
    },
}
