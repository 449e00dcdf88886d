//! The events of attempts that the request table handles, and its effects.

use super::{AttemptToken, ClaimRequest, RequestId};
use crate::error::ErrorCode;
use std::net::SocketAddr;

/// Progress or end of an attempt, as reported by its task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The connection is open; the task waits for permission to send.
    Connected,
    /// The connection could not be established; nothing was sent.
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
    /// The request that the attempt belongs to.
    pub request_id: RequestId,
    /// The attempt; one that is not current any more is aborted.
    pub token: AttemptToken,
    /// The event reported.
    pub event: AttemptEvent,
}

/// An action that the owner of the table must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEffect {
    /// Open a connection to this worker.
    Connect {
        /// The request to send.
        request_id: RequestId,
        /// Identifies the new attempt in its reports.
        token: AttemptToken,
        /// Index of the worker in the [`ClusterView`](super::ClusterView).
        worker: usize,
        /// The worker's address for requests.
        addr: SocketAddr,
    },
    /// Send the request on the open connection, with this adapter.
    Send {
        /// The request to send.
        request_id: RequestId,
        /// The attempt whose connection is open.
        token: AttemptToken,
        /// The adapter to run the request with; none: the model itself.
        adapter: Option<String>,
    },
    /// Close the connection and drop what is in flight on it.
    Abort {
        /// The request whose attempt is aborted.
        request_id: RequestId,
        /// The attempt to abort.
        token: AttemptToken,
    },
    /// Final: respond with this error.
    Reject {
        /// The request to answer.
        request_id: RequestId,
        /// The reason, which also determines the HTTP status.
        error_code: ErrorCode,
        /// Retry-After in seconds; 0 if the error is not retryable.
        retry_after_s: u64,
    },
    /// Final: forward the worker's response, which the attempt's task has.
    Respond {
        /// The request to answer.
        request_id: RequestId,
        /// The attempt whose response is forwarded.
        token: AttemptToken,
    },
    /// Final: redirect the caller to another edge.
    Redirect {
        /// The request to answer.
        request_id: RequestId,
        /// HTTP address of that edge, `IP:PORT`.
        addr: String,
    },
    /// For the log: whether the request ran is not known.
    OutcomeUnknown {
        /// The request's id, as its client knows it.
        id: String,
        /// Name of the worker; empty if it has left the registry.
        worker: String,
    },
    /// Claim the request's id with the control plane.
    Claim {
        /// The request that waits for the claim.
        request_id: RequestId,
        /// The id, and how long the claim must be remembered.
        claim: ClaimRequest,
    },
    /// Release the claim of a request that was never sent.
    Release {
        /// The request that claimed it.
        request_id: RequestId,
        /// The id to release.
        id: String,
    },
    /// For the log: an attempt failed, or its response was refused.
    AttemptFailed {
        /// The request's id, as its client knows it.
        id: String,
        /// Name of the worker; empty if it has left the registry.
        worker: String,
        /// How the attempt failed.
        error_code: ErrorCode,
    },
}
