//! The requests that an edge has accepted, and the passes that move them on:
//! admission, matching to workers, sending, completion and expiry.
//!
//! The table does no I/O. It pushes [`RequestEffect`]s, which its owner
//! carries out in order.

mod admission;
mod budgets;
mod claims;
mod cluster_view;
mod completion;
mod effect;
mod eligibility;
mod expiry;
mod explain;
mod latency;
mod matching;
mod reconfiguration;
mod request;
mod retry_after;
mod sending;
mod slow_start;

pub use admission::Admission;
pub use budgets::{RetryBudget, SpillBudget};
pub use claims::{ClaimRequest, ClaimResult, ClaimState};
pub use cluster_view::{ClusterSnapshot, ClusterView};
pub use effect::{AttemptEvent, AttemptReport, RequestEffect};
pub use request::{AttemptToken, Request, RequestId, RequestProfile, RequestSpec, Stage};
pub use retry_after::RetryAfterSchedule;

use crate::types::Millis;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Counters since the start of the edge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Requests accepted into the queue.
    pub accepted: u64,
    /// Further attempts that were charged to the retry budget.
    pub retries: u64,
    /// Requests answered with a complete response or stream of a worker.
    pub served: u64,
    /// Requests answered with an error of this edge.
    pub rejected: u64,
    /// Requests that may or may not have run.
    pub outcome_unknown: u64,
    /// Streams that ended before their last event.
    pub broken_streams: u64,
    /// Callers that disconnected before their response.
    pub disconnected: u64,
    /// Attempts sent to another region.
    pub spilled: u64,
}

/// The requests of an edge, with its budgets and counters.
#[derive(Default)]
pub struct RequestTable {
    /// The requests that have no final answer yet.
    pub requests: BTreeMap<RequestId, Request>,
    /// Counters since the start of the edge.
    pub counters: RequestCounters,
    retry_budget: RetryBudget,
    spill_budget: SpillBudget,
    retry_after: RetryAfterSchedule,
    /// Client-supplied ids of non-idempotent requests that were sent from this
    /// edge, to reject duplicates.
    sent_ids: HashMap<String, RequestId>,
    /// The same ids in the order of sending, each with its expiry time.
    sent_order: VecDeque<(Millis, String, RequestId)>,
    /// Moving average of the latency of each route, in milliseconds.
    average_latency: BTreeMap<String, Millis>,
    /// By route and service: requests served, and their total latency in ms.
    pub latency_totals: BTreeMap<(String, String), (u64, Millis)>,
    /// Workers with a recent failed attempt, and until when matching skips them.
    skipped_until: BTreeMap<usize, Millis>,
    last_token: AttemptToken,
    /// Effects that the owner of the table has not carried out yet.
    pub effects: Vec<RequestEffect>,
}

impl RequestTable {
    /// Ids of the requests in the queue, oldest first.
    fn waiting_ids(&self) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| request.stage == Stage::Waiting)
            .map(|(request_id, _)| *request_id)
            .collect()
    }
}
