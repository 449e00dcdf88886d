//! Claims on request ids (idempotency keys): votes of the cores, and pages of
//! their claim tables.

use crate::consensus::ClaimRecord;
use serde::{Deserialize, Serialize};

/// Number of a vote on a claim, assigned by the core that collects the votes.
pub type VoteId = u64;

/// One core's vote on a claim, or the result of all votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVote {
    /// The claimant may send the request.
    #[serde(rename = "Yes")]
    Granted,
    /// This other claimant holds the key.
    #[serde(rename = "Held")]
    HeldBy(u128),
    /// The claim was released before it arrived.
    #[serde(rename = "Freed")]
    Released,
    /// The claim table is at capacity.
    Full,
}

/// A request that an edge has sent under its own claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u128)", into = "(String, u128)")]
pub struct SentRequest {
    /// The request's id: its idempotency key.
    pub id: String,
    /// The attempt that claimed it, as in its `ClaimRecord`.
    pub claimant: u128,
}

impl From<(String, u128)> for SentRequest {
    fn from((id, claimant): (String, u128)) -> SentRequest {
        SentRequest { id, claimant }
    }
}

impl From<SentRequest> for (String, u128) {
    fn from(request: SentRequest) -> (String, u128) {
        (request.id, request.claimant)
    }
}

/// Consecutive entries of a claim table, in the order of their insertion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimsPage {
    /// Offset of the first claim, as requested.
    #[serde(rename = "from")]
    pub start: u64,
    /// The claims, each with its remaining retention.
    #[serde(rename = "all")]
    pub claims: Vec<ClaimRecord>,
    /// Offset at which the next page starts.
    pub next: u64,
    /// Whether this is the last page.
    #[serde(rename = "end")]
    pub last: bool,
}
