//! Messages between cores. Variants and fields are serialized by name; a serde
//! rename keeps the name on the wire where it differs from the one here.
//!
//! Message numbers in the comments are those of the CD-Raft paper, figure 6(a)
//! and section III-D2.

use super::entry::{shared_bytes, Body, Entry, LogPosition, Member};
use crate::types::{Millis, NodeId, ProposalId, RegionId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The log index that one core is known to have replicated and synced, in the term
/// of the message that carries it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaProgress {
    /// The core whose progress this is.
    pub id: NodeId,
    /// Highest index known to match the leader's log.
    #[serde(rename = "upto")]
    pub matched: u64,
    /// The newest heartbeat round that the core has received.
    pub round: u64,
}

/// The answer to a request for a vote, or for a pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Term of the sender; for a granted pre-vote, the term that the candidate
    /// asked for.
    pub term: u64,
    /// Whether the candidate gets the vote.
    #[serde(rename = "yes")]
    pub granted: bool,
    /// Answers a pre-vote, which changes no term (thesis, section 9.6).
    #[serde(rename = "pre")]
    pub pre_vote: bool,
    /// The sender is the Domain Leader of its region.
    #[serde(rename = "leads")]
    pub is_domain_leader: bool,
    /// The last entry of the sender's log.
    pub last: LogPosition,
}

/// Entries that follow `prev`; without entries, a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the Global Leader.
    pub term: u64,
    /// The Global Leader, also if a Domain Leader relays its entries.
    #[serde(rename = "gl")]
    pub global_leader: NodeId,
    /// Position of the entry before `entries`. The receiver rejects the append
    /// unless its log has it.
    pub prev: LogPosition,
    /// Entries in the order of the log, without gaps.
    pub entries: Vec<Entry>,
    /// Commit index of the sender. The receiver applies it to the entries that are
    /// known to match.
    pub commit: u64,
    /// Heartbeat round; its echo confirms the leadership for reads.
    pub round: u64,
}

/// The answer to an append, a snapshot or a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Term of the sender; a leader of an older term steps down.
    pub term: u64,
    /// Progress of the sender and, if it is a Domain Leader, of its region.
    #[serde(rename = "rows")]
    pub replicas: Vec<ReplicaProgress>,
    /// The index after which to continue if the append was rejected, otherwise
    /// `None`.
    #[serde(rename = "hint")]
    pub conflict_hint: Option<u64>,
    /// Index up to which the sender, a Domain Leader, has sent the results of its
    /// region's proposals; zero from any other core.
    #[serde(rename = "fast")]
    pub fast_returned: u64,
    /// One-way delays from the sender's region to others in milliseconds, as the
    /// sender measured them.
    #[serde(rename = "lat")]
    pub latencies: Vec<(RegionId, Millis)>,
}

/// Describes the content that the chunks of one transfer make up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ContentHeader {
    /// The bytes are the state machine's image.
    Snapshot {
        /// Position of the last entry that the image includes.
        last: LogPosition,
        /// The configuration at `last`.
        members: Vec<Member>,
    },
    /// The bytes are the body of the entry that follows `prev`.
    Entry {
        /// Position of the entry before this one.
        prev: LogPosition,
        /// Term of the leader that appended the entry.
        term: u64,
        /// As in [`Entry`]; zero if the leader appended the entry by itself.
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        /// The core that received the proposal from its client.
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
    /// Term of the Global Leader.
    pub term: u64,
    /// The Global Leader, also if a Domain Leader sends the chunk.
    #[serde(rename = "gl")]
    pub global_leader: NodeId,
    /// Heartbeat round, as in [`AppendRequest`].
    pub round: u64,
    /// Commit index of the sender, as in [`AppendRequest`].
    pub commit: u64,
    /// What the content is and where it belongs in the log.
    pub header: ContentHeader,
    /// A hash of the whole content and its position.
    pub id: u64,
    /// Length of the whole content in bytes.
    pub total: u64,
    /// Offset of `data` in the content, in bytes.
    pub offset: u64,
    /// This part of the content; empty in a heartbeat.
    #[serde(serialize_with = "plain_bytes")]
    pub data: Vec<u8>,
}

/// A message from one core to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Asks the voters of the region to elect a Domain Leader.
    DomainVoteRequest {
        /// The domain term that the candidate campaigns for.
        #[serde(rename = "dterm")]
        domain_term: u64,
        /// The last entry of the candidate's log.
        last: LogPosition,
        /// Only asks whether a vote would be granted; changes no term.
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    /// The answer to a [`Msg::DomainVoteRequest`].
    DomainVoteReply {
        /// Domain term of the sender; for a pre-vote, the one of the request.
        #[serde(rename = "dterm")]
        domain_term: u64,
        /// Whether the candidate gets the vote.
        #[serde(rename = "yes")]
        granted: bool,
        /// Answers a pre-vote.
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    /// Sent by a Domain Leader to all other cores. The reply echoes `sent_at`,
    /// a reading of the sender's clock, for the sender to measure delays.
    DomainHeartbeat {
        /// Domain term of the sender's region.
        #[serde(rename = "dterm")]
        domain_term: u64,
        /// When it was sent, by the sender's clock.
        #[serde(rename = "sent")]
        sent_at: Millis,
    },
    /// The answer to a [`Msg::DomainHeartbeat`]. Also counts towards the Domain
    /// Leader's check quorum.
    DomainHeartbeatReply {
        /// Echoed from the heartbeat.
        #[serde(rename = "dterm")]
        domain_term: u64,
        /// Echoed from the heartbeat; half the time since then is the one-way
        /// delay.
        #[serde(rename = "sent")]
        sent_at: Millis,
    },
    /// Asks all voters to elect the Global Leader.
    VoteRequest {
        /// The term that the candidate campaigns for.
        term: u64,
        /// The last entry of the candidate's log.
        last: LogPosition,
        /// Only asks whether a vote would be granted; changes no term.
        #[serde(rename = "pre")]
        pre_vote: bool,
    },
    /// The answer to a [`Msg::VoteRequest`].
    VoteReply(VoteReply),
    /// Messages 2, 3 and 5 of the paper.
    Append(AppendRequest),
    /// Message 6 of the paper; also a replica's reply to messages 3 and 5.
    AppendReply(AppendReply),
    /// Message 4 of the paper: a majority of the Global Leader's region, its
    /// cores `holders`, has the log up to `index`.
    Confirm {
        /// Term of the Global Leader; a receiver in another term ignores the
        /// message.
        term: u64,
        /// The in-domain commit index of the Global Leader.
        #[serde(rename = "upto")]
        index: u64,
        /// Voters of the Global Leader's region that have the log up to
        /// `index`.
        holders: Vec<NodeId>,
    },
    /// A part of a snapshot or of an entry that is too large for an append.
    Chunk(Box<Chunk>),
    /// The receiver has the first `received` bytes of the content.
    ChunkReply {
        /// Term of the sender of the reply.
        term: u64,
        /// The `id` of the chunk: identifies the content.
        id: u64,
        /// Bytes received from the start of the content, without gaps.
        #[serde(rename = "held")]
        received: u64,
    },
    /// Message 1 of the paper, sent by the core that the client reached: a
    /// proposal forwarded to the Global Leader.
    Propose {
        /// The same for each retry of the proposal.
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        /// The core that received the proposal; the result is sent to it.
        origin: NodeId,
        /// The payload of the entry to append.
        body: Body,
    },
    /// The outcome of a proposal, for the core that received it.
    ProposalResult {
        /// The proposal that has ended.
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        /// The state machine's output for the entry, in its own encoding.
        #[serde(serialize_with = "shared_bytes")]
        outcome: Arc<Vec<u8>>,
    },
    /// Asks the Global Leader for a read index (thesis, section 6.4).
    ReadIndexRequest {
        /// Chosen by the sender; echoed by the reply.
        #[serde(rename = "rid")]
        request_id: u64,
    },
    /// The answer to a [`Msg::ReadIndexRequest`], sent once a majority has
    /// confirmed the leadership.
    ReadIndexReply {
        /// Echoed from the request.
        #[serde(rename = "rid")]
        request_id: u64,
        /// The read index: the reader waits until it has applied this entry.
        #[serde(rename = "idx")]
        index: u64,
    },
    /// Leadership transfer: start an election at once (thesis, section 3.10).
    TimeoutNow {
        /// Term of the sender; a receiver in another term ignores the message.
        term: u64,
    },
}
