//! Durable writes that the reducer orders, and the state recovered from them.

use super::entry::{Entry, HardState, Snapshot};
use super::raft_log::RaftLog;
use crate::types::Millis;
use serde::{Deserialize, Serialize};

/// One durable write. A store applies them in the given order, and stores them
/// under the names of these variants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Save {
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// Truncate the log from index `from` on, then append.
    Append {
        from: u64,
        entries: Vec<Entry>,
        /// Commit index known before these entries.
        #[serde(default)]
        commit: u64,
    },
    /// Replace the log up to the snapshot; `discard_log` drops the rest too.
    #[serde(rename = "Snap")]
    Snapshot {
        #[serde(rename = "snap")]
        snapshot: Snapshot,
        #[serde(rename = "reset")]
        discard_log: bool,
    },
    /// Claims on request ids, which aren't part of the log but stored beside
    /// it. Written by the release before; still read.
    Claims(Vec<(String, u128)>),
    #[serde(rename = "Noted")]
    ClaimRecord(Vec<ClaimRecord>),
    /// The claims on these request ids have ended.
    #[serde(rename = "Forgot")]
    ReleasedClaims(Vec<String>),
}

/// A claim on an idempotency key: the id of a request, who may send it, and
/// for how many milliseconds the claim is retained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    pub id: String,
    /// One request attempt of one incarnation of an edge.
    #[serde(rename = "by")]
    pub claimant: u128,
    /// Counted from when the claim was stored or loaded.
    #[serde(rename = "keep_ms")]
    pub retention_ms: Millis,
}

/// The state that a store recovers when the process starts.
#[derive(Clone, Debug)]
pub struct RecoveredState {
    pub hard_state: HardState,
    pub log: RaftLog,
    pub snapshot: Option<Snapshot>,
    pub claims: Vec<ClaimRecord>,
}
