//! [`Attempt`]: the context that all steps of one attempt share, and the reports
//! to the balancer.

use super::connection_pool::Connection;
use crate::balancer::{AttemptOutcome, RequestId, Target};
use crate::configuration::hosted::Route;
use crate::invariants::{is_disabled, Invariant};
use crate::proxy::dialect::Dialect;
use crate::proxy::http1::{BodyDecoder, Head};
use crate::proxy::request_state::RequestEvent;
use crate::proxy::shared_state::SharedState;
use crate::runtime::Clock;
use crate::types::Millis;

/// Milliseconds between checks whether to fail over from an unresponsive worker.
pub const FAILOVER_CHECK_INTERVAL_MS: Millis = 100;

/// A client's request. Its attempts differ only in the headers that the dialect
/// adds.
pub struct ClientRequest {
    /// The balancer's id of the request.
    pub request_id: RequestId,
    pub method: String,
    /// The client's id of its own attempt; empty if it gave none.
    pub client_attempt_id: String,
    /// Request line and forwarded headers, without the empty line at the end.
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// The client's `Last-Event-ID`: it resumes a stream after this event.
    pub last_event: Option<u64>,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The request has ended; `keep_alive` is whether the client's connection
    /// stays open.
    Finished { keep_alive: bool },
    /// The attempt has ended without a response for the client; the balancer
    /// decides whether to retry.
    Ended,
}

/// One attempt in progress: the request, the chosen worker, and the time limits.
pub struct Attempt<'a, D, C> {
    pub shared: &'a SharedState<D, C>,
    pub request: &'a ClientRequest,
    pub target: &'a Target,
    pub route: &'a Route,
    /// Milliseconds of the clock of [`Attempt::now`].
    pub deadline: Millis,
}

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    /// Milliseconds of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Milliseconds until the deadline; 0 once it has passed.
    pub fn time_left(&self) -> Millis {
        self.deadline.saturating_sub(self.now())
    }

    /// Reports an event to the request's state machine.
    pub fn record_event(&self, event: RequestEvent) {
        let mut controller = self.shared.lock();
        controller
            .balancer
            .record_event(self.request.request_id, event);
    }

    /// Reports progress or the end of the attempt to the balancer, and wakes queued
    /// requests that may be sent now.
    pub fn record_outcome(&self, outcome: AttemptOutcome) {
        let now = self.now();
        self.shared
            .lock()
            .balancer
            .record_outcome(self.request.request_id, outcome, now);
        self.shared.wake_queued();
    }

    /// Ends the attempt as failed; `event` is how the worker failed.
    pub fn worker_failed(&self, event: RequestEvent) -> AttemptResult {
        self.record_event(event);
        self.record_outcome(AttemptOutcome::Failed);
        AttemptResult::Ended
    }

    /// Ends the attempt and the request, as the client has disconnected.
    pub fn client_disconnected(&self) -> AttemptResult {
        self.record_event(RequestEvent::ClientDone);
        self.record_outcome(AttemptOutcome::Canceled);
        AttemptResult::Finished { keep_alive: false }
    }

    /// Closes a connection that cannot be reused.
    pub fn close_connection(&self, connection: Connection) {
        drop(connection);
        self.shared.connections.discard(self.target.endpoint_index);
    }

    /// Returns a connection to the pool after a complete response, or closes it if
    /// it cannot be reused.
    pub fn release_connection(&self, connection: Connection, head: &Head, decoder: &BodyDecoder) {
        // bytes after the response belong to no request
        let clean = connection.buffer.is_empty() || is_disabled(Invariant::CleanConnection);
        let reusable =
            decoder.is_complete() && connection.request_sent && !head.closes_connection() && clean;
        if !reusable {
            return self.close_connection(connection);
        }
        self.shared.connections.release(
            self.target.endpoint_index,
            connection,
            head.keep_alive_timeout_s(),
        );
    }

    /// Whether the request may be sent to another worker after this one has sent
    /// nothing for `idle_ms` milliseconds (0: regardless of what it sent).
    pub fn may_fail_over(&self, idle_ms: Millis) -> bool {
        let now = self.now();
        let mut controller = self.shared.lock();
        controller
            .balancer
            .may_fail_over(self.request.request_id, idle_ms, now)
    }

    /// Reports that bytes arrived from the worker.
    pub fn record_worker_activity(&self) {
        let now = self.now();
        self.shared
            .lock()
            .balancer
            .record_activity(self.request.request_id, now);
    }
}
