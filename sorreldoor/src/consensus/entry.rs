//! The data types of Raft: log entries, members, hard state and snapshots
//! (thesis, chapters 3 to 5).
//!
//! All of these are written to disk and sent to other cores. Field names that
//! differ from the stored ones carry a serde rename.

use crate::types::{NodeId, ProposalId, RegionId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Serializes as one byte string; the default, a list of numbers, takes twice
/// the space. Deserializing accepts both.
pub(super) fn shared_bytes<S: serde::Serializer>(
    bytes: &Arc<Vec<u8>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// A core that replicates the log, as a voter or as a learner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Random identity of the core, never reused by another one.
    pub id: NodeId,
    /// Index into the site's regions. The voters of one region elect its Domain
    /// Leader.
    pub region: RegionId,
    /// Failure domain within the region, as an index into the site's zones.
    pub zone: u16,
    /// `IP:PORT` where the core listens for frames of other nodes.
    pub addr: String,
    /// Whether the member votes in the newest set of voters.
    pub voter: bool,
    /// Whether the member votes in the outgoing set, which the change under way
    /// replaces. False outside of a joint configuration (thesis, section 4.3).
    #[serde(default, skip_serializing_if = "is_false")]
    pub outgoing: bool,
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Appended by each new leader, so that its term has an entry to commit
    /// (thesis, section 6.4).
    Noop,
    /// A command for the state machine.
    Data(#[serde(serialize_with = "shared_bytes")] Arc<Vec<u8>>),
    /// A configuration change: the members that are in effect from this entry on.
    Members(Vec<Member>),
}

impl Body {
    /// Approximate size in memory and on the wire, in bytes.
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 64;
        match self {
            Body::Noop => OVERHEAD,
            Body::Data(data) => OVERHEAD + data.len(),
            Body::Members(members) => OVERHEAD * (1 + members.len()),
        }
    }
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Zero if the leader appended the entry by itself.
    #[serde(rename = "pid")]
    pub proposal_id: ProposalId,
    /// The core that received the proposal from its client.
    pub origin: NodeId,
    /// What the entry replicates.
    pub body: Body,
}

impl Entry {
    /// Approximate size in memory and on the wire, in bytes.
    pub fn bytes(&self) -> usize {
        self.body.bytes()
    }

    /// Whether the entry is too large for an append and is sent in chunks.
    pub fn is_large(&self) -> bool {
        matches!(&self.body, Body::Data(data) if data.len() > super::TRANSFER_CHUNK_BYTES)
    }
}

/// Term and index of an entry. Ordered by term, then by index, which is how votes
/// compare the last entries of two logs (thesis, section 3.6.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry; zero before the first entry.
    pub term: u64,
    /// Index of the entry. The first one has index 1; zero stands for the empty
    /// log.
    #[serde(rename = "idx")]
    pub index: u64,
}

/// The terms and votes that a node must sync before it replies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that this node has seen (`currentTerm` of Raft).
    pub term: u64,
    /// The node that got this node's vote in `term`; `None` if none did.
    pub vote: Option<NodeId>,
    /// The latest term of Domain Leader elections in this node's region.
    #[serde(rename = "dterm")]
    pub domain_term: u64,
    /// The node that got this node's vote in `domain_term`; `None` if none did.
    #[serde(rename = "dvote")]
    pub domain_vote: Option<NodeId>,
    /// Commit index when this was saved. Raft doesn't require it; it allows a
    /// restarted core to apply entries up to there without a leader.
    #[serde(default, rename = "commit")]
    pub committed: u64,
}

/// The state machine's image at a log position, which replaces the entries up to
/// and including that position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the image includes.
    pub last: LogPosition,
    /// The configuration at that position.
    pub members: Vec<Member>,
    /// The state machine's state, in its own encoding.
    #[serde(serialize_with = "shared_bytes")]
    pub image: Arc<Vec<u8>>,
}
