//! What all steps of one attempt share: the request, the chosen worker, and
//! how the attempt's progress is reported to the balancer.

use super::connection_pool::Connection;
use crate::balancer::{AttemptOutcome, RequestId, Target};
use crate::configuration::hosted::Route;
use crate::invariants::{broken, Invariant};
use crate::proxy::dialect::Dialect;
use crate::proxy::http1::{BodyDecoder, Head};
use crate::proxy::request_state::RequestEvent;
use crate::proxy::shared_state::SharedState;
use crate::runtime::Clock;
use crate::types::Millis;

/// Milliseconds between checks whether to leave an unresponsive worker.
pub const FAILOVER_CHECK_MS: Millis = 100;

/// A client's request as all its attempts send it.
pub struct ClientRequest {
    /// Its id in the balancer.
    pub request_id: RequestId,
    pub method: String,
    /// The client's own id of this attempt; empty if it gave none.
    pub client_attempt_id: String,
    /// Request line and forwarded headers, without the empty line.
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    /// The client resumes a stream after this event.
    pub last_event: Option<u64>,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The client has its response, or gets none; `keep_alive` tells whether
    /// its connection stays open.
    Finished { keep_alive: bool },
    /// The attempt has ended; the balancer decides whether there is another.
    Ended,
}

/// One attempt in progress.
pub struct Attempt<'a, D, C> {
    pub shared: &'a SharedState<D, C>,
    pub request: &'a ClientRequest,
    pub target: &'a Target,
    pub route: &'a Route,
    /// On the clock of [`Attempt::now`].
    pub deadline: Millis,
}

impl<D: Dialect, C: Clock> Attempt<'_, D, C> {
    pub fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Milliseconds until the deadline.
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

    /// Reports to the balancer how the attempt goes or ends, and wakes
    /// queued requests that may be sent now.
    pub fn record_outcome(&self, outcome: AttemptOutcome) {
        let now = self.now();
        self.shared
            .lock()
            .balancer
            .record_outcome(self.request.request_id, outcome, now);
        self.shared.wake_queued();
    }

    /// Ends the attempt: the worker failed, in the way that `event` names.
    pub fn worker_failed(&self, event: RequestEvent) -> AttemptResult {
        self.record_event(event);
        self.record_outcome(AttemptOutcome::Failed);
        AttemptResult::Ended
    }

    /// Ends the attempt and the request: the client has disconnected.
    pub fn client_disconnected(&self) -> AttemptResult {
        self.record_event(RequestEvent::ClientDone);
        self.record_outcome(AttemptOutcome::Canceled);
        AttemptResult::Finished { keep_alive: false }
    }

    /// Closes a connection that cannot be used again.
    pub fn close_connection(&self, connection: Connection) {
        drop(connection);
        self.shared.connections.discard(self.target.worker);
    }

    /// Pools the connection after a complete response, or closes it if it
    /// cannot be used again.
    pub fn release_connection(&self, connection: Connection, head: &Head, decoder: &BodyDecoder) {
        // bytes after a complete response belong to no request
        let clean = connection.buffer.is_empty() || broken(Invariant::CleanConnection);
        let reusable =
            decoder.is_complete() && connection.request_sent && !head.closes_connection() && clean;
        if !reusable {
            return self.close_connection(connection);
        }
        self.shared.connections.release(
            self.target.worker,
            connection,
            head.keep_alive_timeout_s(),
        );
    }

    /// Whether another worker could take over the request, its own having sent
    /// nothing for `idle_ms`.
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
