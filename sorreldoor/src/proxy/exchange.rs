//! What all steps of one attempt at a worker share: the request, the worker it
//! goes to, and how its ends are reported.

use super::attempt::Event;
use super::body::Decoder;
use super::dialect::Dialect;
use super::http1::Head;
use super::pool::Connection;
use super::shared::SharedState;
use crate::balancer::{AttemptOutcome, RequestId, Target};
use crate::configuration::hosted::Route;
use crate::invariants::{broken, Invariant};
use crate::runtime::Clock;
use crate::types::Millis;

/// Between two looks at whether a silent worker is to be left.
pub const SILENCE_CHECK_MS: Millis = 100;

/// A client's request as all its attempts send it.
pub struct ClientRequest {
    pub request_id: RequestId,
    pub method: String,
    pub id: String,
    /// Request line and headers that pass on, without the empty line.
    pub wire: Vec<u8>,
    pub body: Vec<u8>,
    pub last_event: Option<u64>,
}

/// What came of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client has its answer, or none will come; whether its connection
    /// may go on.
    Finished { keep_alive: bool },
    /// The attempt has ended; the table says whether there is another.
    AttemptEnded,
}

/// One attempt under way.
pub struct Exchange<'a, D, C> {
    pub shared: &'a SharedState<D, C>,
    pub request: &'a ClientRequest,
    pub target: &'a Target,
    pub route: &'a Route,
    pub deadline: Millis,
}

impl<D: Dialect, C: Clock> Exchange<'_, D, C> {
    pub fn now(&self) -> Millis {
        self.shared.now()
    }

    pub fn time_left(&self) -> Millis {
        self.deadline.saturating_sub(self.now())
    }

    /// Reports a step within the attempt.
    pub fn progressed(&self, event: Event) {
        let mut front = self.shared.lock();
        front.table.record_event(self.request.request_id, event);
    }

    /// Reports what the table places later requests by.
    pub fn outcome(&self, outcome: AttemptOutcome) {
        let now = self.now();
        self.shared
            .lock()
            .table
            .record_outcome(self.request.request_id, outcome, now);
        self.shared.wake();
    }

    /// Ends the attempt: the worker failed, in the way that `event` names.
    pub fn worker_failed(&self, event: Event) -> Outcome {
        self.progressed(event);
        self.outcome(AttemptOutcome::Failed);
        Outcome::AttemptEnded
    }

    /// Ends the attempt and the request: the client is gone.
    pub fn client_gone(&self) -> Outcome {
        self.progressed(Event::ClientDone);
        self.outcome(AttemptOutcome::Canceled);
        Outcome::Finished { keep_alive: false }
    }

    /// Closes a connection that is of no more use.
    pub fn close(&self, connection: Connection) {
        drop(connection);
        self.shared.pool.closed(self.target.worker);
    }

    /// Keeps the connection behind a whole answer, unless something speaks
    /// against its next use.
    pub fn release(&self, connection: Connection, head: &Head, decoder: &Decoder) {
        // bytes behind a whole answer belong to no request
        let clean = connection.buf.is_empty() || broken(Invariant::CleanConnection);
        let reusable = decoder.done() && connection.request_sent && !head.closes() && clean;
        if !reusable {
            return self.close(connection);
        }
        let keep_s = head.keep_alive_s();
        self.shared
            .pool
            .give_back(self.target.worker, connection, keep_s);
    }

    /// Whether another worker could take the request from here, its own having
    /// been silent for so long.
    pub fn may_move(&self, silent: Millis) -> bool {
        let now = self.now();
        let mut front = self.shared.lock();
        front
            .table
            .may_fail_over(self.request.request_id, silent, now)
    }

    /// The worker was heard of.
    pub fn worker_alive(&self) {
        let now = self.now();
        self.shared
            .lock()
            .table
            .record_activity(self.request.request_id, now);
    }
}
