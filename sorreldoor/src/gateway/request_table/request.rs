//! A request and its life cycle.

use super::ClaimState;
use crate::configuration::{Kind, Route};
use crate::types::Millis;

/// Identifies a request within one run of an edge.
pub type RequestId = u64;
/// Identifies an attempt within one run of an edge; 0 means none.
pub type AttemptToken = u64;

/// What a route asks of its requests; decides how a body is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// The request goes to a model and has a JSON body.
    pub model: bool,
    /// The response is a stream of events.
    pub streamed: bool,
    pub timeout_ms: Millis,
}

impl RequestProfile {
    pub fn of(route: &Route) -> RequestProfile {
        RequestProfile {
            model: route.kind != Kind::Fetch,
            streamed: route.streamed,
            timeout_ms: route.cutoff_ms,
        }
    }

    /// Whether a request read under one profile may be sent under the other.
    #[must_use]
    pub fn is_compatible(&self, other: &RequestProfile) -> bool {
        (self.model, self.streamed) == (other.model, other.streamed)
    }
}

/// A request as its caller specified it.
#[derive(Clone, Debug, Default)]
pub struct RequestSpec {
    pub profile: RequestProfile,
    pub route: String,
    pub id: String,
    /// The caller chose the id itself, so it may submit it again.
    pub client_supplied_id: bool,
    /// Prefix key: requests with the same key share a prefix cache.
    pub key: String,
    /// The region that the request's data must stay in.
    pub home: Option<u8>,
    pub adapter: Option<String>,
}

/// How far a request has got. Only one that is `Sent` or later may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// In the queue.
    Waiting,
    /// A connection to the worker with this index is being opened; nothing
    /// has been sent.
    Connecting(usize),
    /// Sent to the worker with this index.
    Sent(usize),
    /// The head of a stream has arrived and its events are relayed.
    Streaming(usize),
}

impl Stage {
    /// The index of the worker, if one is assigned.
    pub fn worker(self) -> Option<usize> {
        match self {
            Stage::Waiting => None,
            Stage::Connecting(worker) | Stage::Sent(worker) | Stage::Streaming(worker) => {
                Some(worker)
            }
        }
    }
}

/// A request in the table.
#[derive(Clone, Debug)]
pub struct Request {
    pub spec: RequestSpec,
    /// Index in the current configuration; meaningless once the route is gone.
    pub route: u16,
    /// The service that it was matched to, by name since indices may change.
    pub service: String,
    /// Idempotent under the configuration that it was sent under.
    pub idempotent: bool,
    pub stage: Stage,
    pub arrived_at: Millis,
    pub deadline: Millis,
    pub sent_at: Millis,
    pub attempts: u32,
    /// Charged to the spill budget of its region.
    pub spilled: bool,
    /// Workers that an attempt has failed on.
    pub excluded_workers: Vec<usize>,
    /// The current attempt.
    pub token: AttemptToken,
    pub claim: ClaimState,
    /// The connection is open and waits for the claim.
    pub connected: bool,
    /// Sent to a worker that has not reported that it did not run it.
    pub possibly_sent: bool,
}

impl Request {
    /// A request in the queue, not matched to any worker.
    pub fn new(spec: RequestSpec, route: u16, arrived_at: Millis, deadline: Millis) -> Request {
        Request {
            spec,
            route,
            service: String::new(),
            idempotent: false,
            stage: Stage::Waiting,
            arrived_at,
            deadline,
            sent_at: 0,
            attempts: 0,
            spilled: false,
            excluded_workers: Vec::new(),
            token: 0,
            claim: ClaimState::NotRequired,
            connected: false,
            possibly_sent: false,
        }
    }

    /// Time from arrival to the deadline.
    pub fn timeout_ms(&self) -> Millis {
        self.deadline - self.arrived_at
    }
}
