//! Errands as records in a table, with passes that run over it.

mod again;
mod allowed;
mod budget;
mod claims;
mod ends;
mod explain;
mod learn;
mod passes;
mod plan;

pub use again::Again;
pub use budget::{Retries, Spill};
pub use claims::{Claim, ClaimRequest};
pub use plan::{Plan, Shown};

use crate::error::ErrorCode;
use crate::types::Millis;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How a route's errands look; what the door read a body for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    pub model: bool,
    pub streamed: bool,
    pub cutoff_ms: u64,
}

impl RequestProfile {
    pub fn of(r: &crate::configuration::Route) -> RequestProfile {
        RequestProfile {
            model: r.kind != crate::configuration::Kind::Fetch,
            streamed: r.streamed,
            cutoff_ms: r.cutoff_ms,
        }
    }

    /// Whether what was read for one may be sent as the other.
    pub fn like(&self, o: &RequestProfile) -> bool {
        (self.model, self.streamed) == (o.model, o.streamed)
    }
}

/// What a caller asks, as read at the door.
#[derive(Clone, Debug, Default)]
pub struct RequestSpec {
    pub profile: RequestProfile,
    pub route: String,
    pub id: String,
    /// The caller chose the id itself, so it may ask again under it.
    pub given: bool,
    pub key: String,
    pub home: Option<u8>,
    pub adapter: Option<String>,
}

/// How far an errand is. Only `Sent` and later may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Waiting,
    /// A connection is being made; nothing has left.
    Opening(usize),
    Sent(usize),
    /// A stream's head came back whole and events are being relayed.
    Relaying(usize),
}

#[derive(Clone, Debug)]
pub struct Request {
    pub asked: RequestSpec,
    /// Dense in the setup of now; of no meaning once its route is gone.
    pub route: u16,
    /// The service it was matched through, by name: indices may move.
    pub service: String,
    /// Whether it might be repeated, by the setup that it was sent under.
    pub repeats: bool,
    pub stage: Stage,
    pub since: Millis,
    pub cutoff: Millis,
    pub sent_at: Millis,
    pub tries: u32,
    /// Counted against the spill of its region.
    pub spilt: bool,
    /// Workers that broke off on it already.
    pub tried: Vec<usize>,
    pub token: u64,
    pub claim: Claim,
    /// The connection stands and waits for the claim.
    pub ready: bool,
    /// Bytes may have left for a worker that has not denied running it.
    pub left: bool,
}

/// What a worker's task tells of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Connected; may it send?
    Ready,
    /// No connection: nothing has left.
    Unsent,
    /// The worker said that it did not run it.
    NotRun,
    /// A whole result has come.
    Whole,
    /// A stream has begun.
    Begun,
    /// A stream was relayed to its last event.
    Ended,
    /// It broke off somehow after bytes may have left.
    Broke(ErrorCode),
}

#[derive(Clone, Debug, PartialEq)]
pub enum RequestEffect {
    /// Connect to this worker for the errand.
    Open {
        request_id: u64,
        token: u64,
        worker: usize,
        addr: SocketAddr,
    },
    /// Send it now, asking for the adapter of the service it goes to.
    Go {
        request_id: u64,
        token: u64,
        adapter: Option<String>,
    },
    /// Drop the connection, with all that is on it.
    Drop {
        request_id: u64,
        token: u64,
    },
    /// Final: tell the caller this.
    Shed {
        request_id: u64,
        error_code: ErrorCode,
        retry_after_s: u64,
    },
    /// Final: hand on the worker's result that the task holds.
    Give {
        request_id: u64,
        token: u64,
    },
    /// A caller must go to another address.
    Elsewhere {
        request_id: u64,
        addr: String,
    },
    Unknown {
        id: String,
        worker: String,
    },
    /// Claim the id with the cores, or give the claim up.
    Claim {
        request_id: u64,
        claim: ClaimRequest,
    },
    Release {
        request_id: u64,
        id: String,
    },
    /// For the log: a result refused, or a stream that broke.
    Bad {
        id: String,
        worker: String,
        error_code: ErrorCode,
    },
}

/// Counters since the start; for metrics and for the retry budget's proof.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub first: u64,
    pub again: u64,
    pub served: u64,
    pub shed: u64,
    pub unknown: u64,
    pub broken: u64,
    pub gone: u64,
    pub spilt: u64,
}

const REMEMBERED: usize = 65_536;

#[derive(Default)]
pub struct Table {
    pub rows: BTreeMap<u64, Request>,
    pub counts: Counts,
    pub retries: Retries,
    pub spill: Spill,
    pub again: again::Again,
    /// Callers' ids of non-repeatable errands that were sent, so as never to
    /// send one again from here; and until when they are remembered.
    sent_ids: std::collections::HashMap<String, u64>,
    sent_order: VecDeque<(Millis, String, u64)>,
    /// Moving mean of how long a route's errands take, in ms.
    takes: BTreeMap<String, u64>,
    /// By route and service: how many were finished, and their ms in all.
    pub took: BTreeMap<(String, String), (u64, u64)>,
    /// Workers that lately could not be reached, until when.
    shunned: BTreeMap<usize, Millis>,
    next_token: u64,
    pub out: Vec<RequestEffect>,
}
