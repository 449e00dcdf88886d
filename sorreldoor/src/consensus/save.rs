//! Durable writes that the reducer issues, and the state recovered from them.

use super::entry::{Entry, HardState, Snapshot};
use super::raft_log::RaftLog;
use crate::types::Millis;
use serde::{Deserialize, Serialize};

/// One durable write. The store applies writes in the order of their numbers. Each
/// is stored under its serialized name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Save {
    /// Replace the terms, the votes and the stored commit index.
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// Truncate the log from index `from` on, then append.
    Append {
        /// Index of the first of `entries`.
        from: u64,
        /// Entries in the order of the log, without gaps.
        entries: Vec<Entry>,
        /// Commit index known before these entries.
        #[serde(default)]
        commit: u64,
    },
    /// Replace the log up to the snapshot, or all of it if `discard_log`.
    #[serde(rename = "Snap")]
    Snapshot {
        /// The newest snapshot, taken here or received.
        #[serde(rename = "snap")]
        snapshot: Snapshot,
        /// Remove also the entries after the snapshot, which don't follow it.
        #[serde(rename = "reset")]
        discard_log: bool,
    },
    /// Claims in the format of earlier releases: request id and claimant. Still read,
    /// not written.
    #[serde(rename = "Claims")]
    LegacyClaims(Vec<(String, u128)>),
    /// Claims on request ids, which are stored beside the log. Each replaces an
    /// earlier one on the same id.
    #[serde(rename = "Noted")]
    ClaimRecords(Vec<ClaimRecord>),
    /// The claims on these request ids have ended.
    #[serde(rename = "Forgot")]
    ReleasedClaims(Vec<String>),
}

/// A claim on an idempotency key: only the claimant may send the request with this
/// id while the claim is retained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The request id that the client chose.
    pub id: String,
    /// One request attempt of one incarnation of an edge.
    #[serde(rename = "by")]
    pub claimant: u128,
    /// Retention in milliseconds, from when the claim was stored or loaded.
    #[serde(rename = "keep_ms")]
    pub retention_ms: Millis,
}

/// The state that a store recovers when the process starts.
#[derive(Clone, Debug)]
pub struct RecoveredState {
    /// Terms, votes and the commit index known when they were saved.
    pub hard_state: HardState,
    /// The entries after the snapshot, or after the start of the log.
    pub log: RaftLog,
    /// `None` if none has been taken or received yet.
    pub snapshot: Option<Snapshot>,
    /// Claims that have not ended, each with its full retention.
    pub claims: Vec<ClaimRecord>,
}
