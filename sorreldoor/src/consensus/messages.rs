//! Messages between cores. Variants and fields are on the wire; those renamed
//! since keep their old wire name by a serde rename.
//!
//! Message numbers in the comments are those of the CD-Raft paper, figure 6(a)
//! and section III-D2 (Wang, Cheng, Dong and Xu, arXiv 2603.10555).

use super::entry::{shared_bytes, Body, Entry, LogPosition, Member};
use crate::types::{Millis, NodeId, ProposalId, RegionId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The log position that one core is known to have replicated and synced, in
/// the term of the message that carries it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaProgress {
    pub id: NodeId,
    /// Highest index known to match the leader's log.
    #[serde(rename = "upto")]
    pub matched: u64,
    /// The newest round of heartbeats that the core has received.
    pub round: u64,
}

/// The answer to a request for a vote, or for a pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    pub term: u64,
    #[serde(rename = "yes")]
    pub granted: bool,
    #[serde(rename = "pre")]
    pub pre_vote: bool,
    /// The sender is the Domain Leader of its region.
    #[serde(rename = "leads")]
    pub is_domain_leader: bool,
    /// The last entry of the sender's log.
    pub last: LogPosition,
}

/// Entries that follow on `prev`; without any, a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest {
    pub term: u64,
    #[serde(rename = "gl")]
    pub global_leader: NodeId,
    pub prev: LogPosition,
    pub entries: Vec<Entry>,
    /// Commit index of the sender, for what its receiver then has.
    pub commit: u64,
    /// Round of heartbeats, by which reads prove the leadership.
    pub round: u64,
}

/// The answer to an append, a snapshot or a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendReply {
    pub term: u64,
    /// Progress of the sender and, if it is a Domain Leader, of its region.
    #[serde(rename = "rows")]
    pub replicas: Vec<ReplicaProgress>,
    /// Set if the append was rejected: the index to continue after.
    #[serde(rename = "hint")]
    pub conflict_hint: Option<u64>,
    /// Index up to which the sender, a Domain Leader, has answered the
    /// proposals of its region; zero from any other core.
    #[serde(rename = "fast")]
    pub fast_returned: u64,
    /// One-way delays from the sender's region to others, as it measured them.
    #[serde(rename = "lat")]
    pub latencies: Vec<(RegionId, Millis)>,
}

/// The content that the chunks of one transfer add up to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ContentHeader {
    /// The bytes are the state machine's image.
    Snapshot {
        last: LogPosition,
        members: Vec<Member>,
    },
    /// The bytes are the body of the entry that follows `prev`.
    Entry {
        prev: LogPosition,
        term: u64,
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        origin: NodeId,
    },
}

impl ContentHeader {
    /// The last log position of the receiver once it has the content.
    pub fn last(&self) -> LogPosition {
        match self {
            ContentHeader::Snapshot { last, .. } => *last,
            ContentHeader::Entry { prev, term, .. } => LogPosition {
                term: *term,
                index: prev.index + 1,
            },
        }
    }
}

fn plain_bytes<S: serde::Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// A part of a snapshot or of a large entry; without data, a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    pub term: u64,
    #[serde(rename = "gl")]
    pub global_leader: NodeId,
    pub round: u64,
    pub commit: u64,
    pub header: ContentHeader,
    /// A hash of the whole content and its position.
    pub id: u64,
    /// Length of the whole content in bytes.
    pub total: u64,
    /// Offset of `data` in the content, in bytes.
    pub offset: u64,
    #[serde(serialize_with = "plain_bytes")]
    pub data: Vec<u8>,
}

/// A message from one core to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Asks the voters of the region to elect a Domain Leader.
    DomainVoteRequest {
        #[serde(rename = "dterm")]
        domain_term: u64,
        last: LogPosition,
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    DomainVoteReply {
        #[serde(rename = "dterm")]
        domain_term: u64,
        #[serde(rename = "yes")]
        granted: bool,
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    /// Sent by a Domain Leader to all other cores. The reply echoes `sent_at`,
    /// a reading of the sender's clock, for the sender to measure delays.
    DomainHeartbeat {
        #[serde(rename = "dterm")]
        domain_term: u64,
        #[serde(rename = "sent")]
        sent_at: Millis,
    },
    DomainHeartbeatReply {
        #[serde(rename = "dterm")]
        domain_term: u64,
        #[serde(rename = "sent")]
        sent_at: Millis,
    },
    /// Asks all voters to elect the Global Leader.
    VoteRequest {
        term: u64,
        last: LogPosition,
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    VoteReply(VoteReply),
    /// Messages 2, 3 and 5 of the paper.
    Append(AppendRequest),
    /// Message 6 of the paper; also a replica's reply to messages 3 and 5.
    AppendReply(AppendReply),
    /// Message 4 of the paper: a majority of the Global Leader's region, its
    /// cores `holders`, has the log up to `index`.
    Confirm {
        term: u64,
        #[serde(rename = "upto")]
        index: u64,
        holders: Vec<NodeId>,
    },
    Chunk(Box<Chunk>),
    /// The receiver has the first `received` bytes of the content.
    ChunkReply {
        term: u64,
        id: u64,
        #[serde(rename = "held")]
        received: u64,
    },
    /// Message 1 of the paper, sent by the core that the client reached: a
    /// proposal forwarded to the Global Leader.
    Propose {
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        origin: NodeId,
        body: Body,
    },
    /// The outcome of a proposal, for the core that received it.
    ProposalResult {
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        #[serde(serialize_with = "shared_bytes")]
        outcome: Arc<Vec<u8>>,
    },
    /// Asks the Global Leader for a read index (thesis, section 6.4).
    ReadIndexRequest {
        #[serde(rename = "rid")]
        request_id: u64,
    },
    ReadIndexReply {
        #[serde(rename = "rid")]
        request_id: u64,
        #[serde(rename = "idx")]
        index: u64,
    },
    /// Leadership transfer: start an election at once (thesis, section 3.10).
    TimeoutNow {
        term: u64,
    },
}
