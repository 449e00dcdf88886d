//! Words that the reducer, its store and its neighbours share.

use super::chunk::Chunk;
use crate::types::{Millis, NodeId, ProposalId, RegionId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Bytes as one string of bytes, not as a list of numbers, which takes twice
/// the room; either is read.
fn as_bytes<S: serde::Serializer>(b: &Arc<Vec<u8>>, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_bytes(b)
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: NodeId,
    pub region: RegionId,
    pub zone: u16,
    pub addr: String,
    /// It votes in the newest set of voters.
    pub voter: bool,
    /// It voted in the set that a change under way replaces. Only a joint
    /// configuration has such members.
    #[serde(default, skip_serializing_if = "is_false")]
    pub outgoing: bool,
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Noop,
    Data(#[serde(serialize_with = "as_bytes")] Arc<Vec<u8>>),
    Members(Vec<Member>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    #[serde(rename = "pid")]
    pub proposal_id: ProposalId,
    /// The core that took the proposal from its asker.
    pub origin: NodeId,
    pub body: Body,
}

impl Body {
    /// What it takes in memory and on the wire, near enough.
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 64;
        match self {
            Body::Noop => OVERHEAD,
            Body::Data(data) => OVERHEAD + data.len(),
            Body::Members(members) => OVERHEAD * (1 + members.len()),
        }
    }
}

impl Entry {
    pub fn bytes(&self) -> usize {
        self.body.bytes()
    }

    /// Too large for one message.
    pub fn large(&self) -> bool {
        matches!(&self.body, Body::Data(data) if data.len() > super::CHUNK_BYTES)
    }
}

/// How new a log is: last term first, then length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    pub term: u64,
    pub idx: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: u64,
    pub vote: Option<NodeId>,
    pub dterm: u64,
    pub dvote: Option<NodeId>,
    /// How far the log was known to be committed when this was kept.
    #[serde(default)]
    pub commit: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub last: LogPosition,
    pub members: Vec<Member>,
    #[serde(serialize_with = "as_bytes")]
    pub image: Arc<Vec<u8>>,
}

/// One durable step. A store applies them in the order given, and keeps them
/// under the names of these variants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Save {
    Hard(HardState),
    /// Cut the log to before `from`, then append.
    Append {
        from: u64,
        entries: Vec<Entry>,
        /// How far the log before these was known to be committed.
        #[serde(default)]
        commit: u64,
    },
    /// Forget the log up to the snapshot; `reset` forgets the rest too.
    Snap {
        snap: Snapshot,
        reset: bool,
    },
    /// Not the log's own: errand ids claimed here, kept beside it. Written by
    /// the release before, and read from it only.
    Claims(Vec<(String, u128)>),
    #[serde(rename = "Noted")]
    ClaimRecord(Vec<ClaimRecord>),
    Forgot(Vec<String>),
}

/// A claim on an idempotency key: the id of a request, who may send it, and
/// for how many milliseconds the claim is retained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    pub id: String,
    /// One request attempt of one incarnation of an edge.
    #[serde(rename = "by")]
    pub claimant: u128,
    #[serde(rename = "keep_ms")]
    pub retention_ms: Millis,
}

/// What one core is known to hold in the term of the message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub id: NodeId,
    pub upto: u64,
    pub round: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    DomainVoteRequest {
        dterm: u64,
        last: LogPosition,
        pre: bool,
    },
    DomainVoteReply {
        dterm: u64,
        yes: bool,
        pre: bool,
    },
    /// A Domain Leader's sign of life; `sent` lets the far side measure.
    DomainHeartbeat {
        dterm: u64,
        sent: Millis,
    },
    DomainHeartbeatReply {
        dterm: u64,
        sent: Millis,
    },
    VoteRequest {
        term: u64,
        last: LogPosition,
        pre: bool,
    },
    VoteReply {
        term: u64,
        yes: bool,
        pre: bool,
        leads: bool,
        last: LogPosition,
    },
    Append {
        term: u64,
        gl: NodeId,
        prev: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    },
    AppendReply {
        term: u64,
        rows: Vec<Held>,
        /// Set when the append did not fit: where to go on from.
        hint: Option<u64>,
        /// How far the sender has answered proposals of its own region.
        fast: u64,
        /// One-way delays from the sender's region, as it measured them.
        lat: Vec<(RegionId, Millis)>,
    },
    Confirm {
        term: u64,
        upto: u64,
        holders: Vec<NodeId>,
    },
    /// A part of a snapshot or of a large entry; empty, it is a heartbeat.
    Chunk(Box<Chunk>),
    /// The receiver holds the first `held` bytes of the content.
    ChunkReply {
        term: u64,
        id: u64,
        held: u64,
    },
    Propose {
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        origin: NodeId,
        body: Body,
    },
    ProposalResult {
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        #[serde(serialize_with = "as_bytes")]
        outcome: Arc<Vec<u8>>,
    },
    ReadIndexRequest {
        #[serde(rename = "rid")]
        request_id: u64,
    },
    ReadIndexReply {
        #[serde(rename = "rid")]
        request_id: u64,
        idx: u64,
    },
    TimeoutNow {
        term: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This node is to stop: it stands in no election any more, and hands
    /// its leadership over.
    Stop,
    Tick,
    Heard {
        from: NodeId,
        msg: Msg,
    },
    Saved {
        seq: u64,
    },
    /// The last line to a core was closed by its other end.
    Gone {
        id: NodeId,
    },
    /// A save was refused, and is tried again.
    SaveFailed,
    /// The save that was refused is durable now.
    SaveRecovered,
    Propose {
        proposal_id: ProposalId,
        body: Body,
    },
    /// Change the members to these, if this node leads and none is under way.
    Reconfigure(Vec<Member>),
    Read {
        request_id: u64,
    },
}

/// Why a proposal or a read ended without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// It may or may not still be committed: the asker may ask again by id.
    Unknown,
    /// Nothing was sent anywhere.
    Full,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Save {
        seq: u64,
        save: Save,
    },
    Send {
        to: NodeId,
        msg: Msg,
    },
    Result {
        proposal_id: ProposalId,
        outcome: Result<Arc<Vec<u8>>, Lost>,
    },
    ReadReady {
        request_id: u64,
        ok: bool,
    },
    Applied {
        upto: u64,
    },
    Members(Vec<Member>),
    Note(Note),
}

/// What an operator's log should hear of; the daemon numbers these.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    GlobalLeader { term: u64, id: NodeId },
    DomainLeader { dterm: u64, id: NodeId },
    SteppedDown { term: u64, why: &'static str },
    RegionDown { region: RegionId },
    RegionUp { region: RegionId },
    Moving { to: NodeId },
    DiskFailed,
}

/// The replicated state as the reducer sees it.
pub trait StateMachine {
    /// Apply one committed entry; the outcome goes to whoever proposed it.
    fn apply(&mut self, idx: u64, proposal_id: ProposalId, data: &[u8]) -> Vec<u8>;
    /// The first outcome of a proposal that was applied before.
    fn answered(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>>;
    fn image(&self) -> Vec<u8>;
    fn load(&mut self, image: &[u8]) -> bool;
}

/// All waits of the protocol; every one follows from `ack_ms` by default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    pub beat: Millis,
    pub elect: Millis,
    pub ack_ms: Millis,
    /// Silence after which a region counts as unavailable for commits.
    pub dead: Millis,
    /// Wait after which a region rule that cannot be met is waived.
    pub waive: Millis,
    pub resend: Millis,
    /// A read that is not proved within so long is answered as not proved.
    pub proof: Millis,
    /// Age of an unfinished save after which the node holds its disk stuck.
    pub stuck: Millis,
    pub tp: Millis,
    /// Reads that come within so long share a heartbeat; 0: each has its own.
    pub batch: Millis,
    /// A move must save at least this share, in percent.
    pub gain: u64,
    pub keep_log: u64,
    pub most_pending: usize,
    /// Fast Return on or off; off only to measure what it brings.
    pub fast: bool,
    /// Rules broken on purpose, by tests that show a checker can fail.
    pub broken: Broken,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Broken {
    #[default]
    None,
    /// Count no core majority for a commit.
    NoAnchor,
    /// Send what relies on a save before it is synced.
    AckEarly,
    /// Answer reads without proof of still leading.
    ReadUnproved,
    /// Vote for logs older than one's own.
    VoteStale,
    /// Send snapshots and large entries in one message, and again while the
    /// first is still on its way.
    SendWhole,
    /// Keep entries behind an installed snapshot that conflict with it.
    InstallKeepsLog,
    /// Keep no entries behind a new snapshot for those who receive the last.
    CompactAll,
    /// During a change of voters, ask only the new set.
    NewSetOnly,
}

impl Timing {
    pub fn for_ack(ack_ms: Millis) -> Timing {
        Timing {
            beat: (ack_ms / 40).clamp(20, 100),
            elect: ack_ms / 5,
            ack_ms,
            dead: ack_ms / 5,
            waive: ack_ms / 5,
            resend: ack_ms / 10,
            proof: ack_ms * 2 / 5,
            stuck: ack_ms / 3,
            tp: ack_ms * 5,
            batch: 0,
            gain: 15,
            keep_log: 512,
            most_pending: 512,
            fast: true,
            broken: Broken::None,
        }
    }
}
