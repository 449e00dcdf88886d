//! Frames between the nodes of a site: the messages, and their encoding.

mod codec;

pub use codec::{length, mark, pack, unpack, Refused, MOST_FRAME, PROTO};

use crate::consensus::{ClaimRecord, Member, Msg};
use crate::discovery::{Loads, WorkerRegistry};
use crate::replicated_state::{decode, encode, Command, Outcome, StateUpdate};
use crate::types::{NodeId, ProposalId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub id: NodeId,
    pub node: String,
    pub core: bool,
    pub region: u8,
    pub zone: u16,
    /// Where frames reach it, for cores; where errands do, for edges.
    pub addr: String,
    pub http: String,
    /// For cores: whether it belongs to a founded site.
    pub founded: bool,
    /// Differs at every start of the process.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// For cores: its process has been told to stop.
    #[serde(default, skip_serializing_if = "zero")]
    pub stopping: bool,
    /// For cores: it never votes.
    #[serde(default, skip_serializing_if = "zero")]
    pub learner_only: bool,
}

/// A node as its session shows it to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeSession {
    pub hello: Hello,
    #[serde(rename = "serial")]
    pub version: u64,
    #[serde(rename = "permit")]
    pub lease: bool,
    pub running: u32,
    /// What its errands took; told between cores only.
    #[serde(default)]
    pub took: Vec<RouteLatency>,
}

/// What an edge needs to know of another: where it is, and whether it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeEndpoint {
    pub node: String,
    pub zone: u16,
    pub region: u8,
    pub http: String,
    pub ready: bool,
    /// Errands it still has, told of edges in emptied zones only.
    #[serde(default, skip_serializing_if = "zero")]
    pub running: u32,
}

fn zero<T: Default + PartialEq>(t: &T) -> bool {
    *t == T::default()
}

/// Errands of a route through a service that an edge has finished since its
/// start, and their milliseconds in all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteLatency {
    pub route: String,
    pub service: String,
    pub n: u64,
    pub ms: u64,
}

/// One core's sessions, under a serial of its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionReport {
    pub core: NodeId,
    #[serde(rename = "boot")]
    pub incarnation: u64,
    #[serde(rename = "serial")]
    pub version: u64,
    pub edge_sessions: Vec<EdgeSession>,
}

/// What a node has, one serial for each source; what is newer it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    #[serde(default, skip_serializing_if = "zero")]
    pub record: u64,
    #[serde(default, skip_serializing_if = "zero")]
    pub registry: u64,
    #[serde(default, skip_serializing_if = "zero")]
    pub loads: (u64, u64),
    /// Marks of what the lists of places and of cores hold.
    #[serde(default, skip_serializing_if = "zero")]
    pub edge_sessions: u64,
    #[serde(default, skip_serializing_if = "zero")]
    pub cores: u64,
}

/// From so many bytes on an update is large: whoever has taken it says so at
/// once, and until then is sent no other.
pub const LARGE_UPDATE: usize = 16 << 10;

/// An update of the record, encoded once for all who lack the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EncodedUpdate {
    pub revision: u64,
    #[serde(rename = "serial")]
    pub version: u64,
    /// Whether there is a document at that revision.
    pub has_document: bool,
    #[serde(serialize_with = "as_bytes")]
    pub bytes: Arc<Vec<u8>>,
}

fn as_bytes<S: serde::Serializer>(b: &Arc<Vec<u8>>, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_bytes(b)
}

impl EncodedUpdate {
    pub fn new(u: &StateUpdate) -> EncodedUpdate {
        EncodedUpdate {
            revision: u.revision,
            version: u.version,
            has_document: u.document.is_some(),
            bytes: Arc::new(encode(u)),
        }
    }

    pub fn update(&self) -> Option<StateUpdate> {
        decode(&self.bytes)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateDelta {
    #[serde(default, skip_serializing_if = "zero")]
    pub record: Option<EncodedUpdate>,
    /// There is a newer record that did not come along: ask again soon. Such a
    /// grant proves nothing about the record the receiver has.
    #[serde(default, skip_serializing_if = "zero")]
    pub record_withheld: bool,
    #[serde(default, skip_serializing_if = "zero")]
    pub registry: Option<Arc<WorkerRegistry>>,
    #[serde(default, skip_serializing_if = "zero")]
    pub loads: Option<Arc<Loads>>,
    #[serde(default, skip_serializing_if = "zero")]
    pub edge_sessions: Option<(u64, Vec<EdgeEndpoint>)>,
    /// Where the cores are now, with their regions, under a mark of it.
    #[serde(default, skip_serializing_if = "zero")]
    pub cores: Option<(u64, Vec<(String, u8)>)>,
}

/// How an edge is doing, told with each renewal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EdgeStatus {
    #[serde(default, skip_serializing_if = "zero")]
    #[serde(rename = "serial")]
    pub version: u64,
    #[serde(default, skip_serializing_if = "zero")]
    #[serde(rename = "permit")]
    pub lease: bool,
    #[serde(default, skip_serializing_if = "zero")]
    pub running: u32,
    /// First tries, retries and sheds since its start.
    #[serde(default, skip_serializing_if = "zero")]
    pub first: u64,
    #[serde(default, skip_serializing_if = "zero")]
    pub again: u64,
    #[serde(default, skip_serializing_if = "zero")]
    pub shed: u64,
    #[serde(default, skip_serializing_if = "zero")]
    pub took: Vec<RouteLatency>,
}

/// Which record that is not proved current an edge without any would take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unverified {
    #[default]
    None,
    /// From a core to which no leader has proved itself since it started, as
    /// after a loss of all cores.
    FromStarting,
    /// Also from one that has lost its majority: none that has one was found.
    FromAny,
}

/// Messages between cores until each of them is part of the site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BootstrapMessage {
    /// From a blank core: the founders that it has promised.
    Promise {
        #[serde(rename = "set")]
        founders: Vec<Member>,
    },
    /// From a founded core to a blank one.
    Founded {
        /// The promised founders, if the receiver is one of the voters.
        #[serde(rename = "set")]
        founders: Vec<Member>,
        /// Addresses of all members.
        #[serde(default, rename = "at")]
        addresses: Vec<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    Hello(Hello),
    Consensus(Msg),
    #[serde(rename = "Founding")]
    Bootstrap(BootstrapMessage),
    SessionReport(SessionReport),
    WorkerRegistry(Arc<WorkerRegistry>),
    Loads(Arc<Loads>),
    Renew {
        no: u64,
        #[serde(default, skip_serializing_if = "zero")]
        have: KnownVersions,
        #[serde(default, skip_serializing_if = "zero")]
        #[serde(rename = "doing")]
        edge_status: EdgeStatus,
        #[serde(default, skip_serializing_if = "zero")]
        unverified: Unverified,
    },
    Grant {
        no: u64,
        ok: bool,
        #[serde(default, skip_serializing_if = "zero")]
        #[serde(rename = "news")]
        delta: StateDelta,
    },
    Op {
        #[serde(rename = "rid")]
        request_id: u64,
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        cmd: Command,
    },
    OpFind {
        #[serde(rename = "rid")]
        request_id: u64,
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
    },
    OpDone {
        #[serde(rename = "rid")]
        request_id: u64,
        outcome: OpOutcome,
    },
    /// An edge claims the id of a request.
    Claim {
        #[serde(rename = "rid")]
        request_id: u64,
        claim: ClaimRecord,
    },
    #[serde(rename = "ClaimDone")]
    ClaimResult {
        #[serde(rename = "rid")]
        request_id: u64,
        id: String,
        #[serde(rename = "said")]
        result: ClaimVote,
    },
    #[serde(rename = "ClaimAsk")]
    ClaimVoteRequest {
        #[serde(rename = "no")]
        vote_id: VoteId,
        claim: ClaimRecord,
    },
    #[serde(rename = "ClaimAns")]
    ClaimVoteReply {
        #[serde(rename = "no")]
        vote_id: VoteId,
        #[serde(rename = "said")]
        vote: ClaimVote,
    },
    /// An edge releases its claim on a request that it never sent.
    Release {
        #[serde(rename = "rid")]
        request_id: u64,
        id: String,
        #[serde(rename = "by")]
        claimant: u128,
    },
    Released {
        #[serde(rename = "rid")]
        request_id: u64,
    },
    /// A core passes a release on to its peers.
    #[serde(rename = "Free")]
    PeerRelease {
        id: String,
        #[serde(rename = "by")]
        claimant: u128,
    },
    #[serde(rename = "FreeDone")]
    ReleaseAck {
        #[serde(rename = "by")]
        claimant: u128,
    },
    /// Requests that an edge has sent of late, for a core that may have lost
    /// their claims.
    Sent {
        #[serde(rename = "all")]
        requests: Vec<SentRequest>,
    },
    /// Asks a peer for a page of its claim table.
    #[serde(rename = "ClaimsPull")]
    ClaimsPageRequest {
        /// Offset of the first claim.
        #[serde(rename = "from")]
        start: u64,
    },
    ClaimsPage(ClaimsPage),
    Ping {
        no: u64,
    },
}

/// Number of a vote on a claim, by the core that collects the votes.
pub type VoteId = u64;

/// One core's vote on a claim, or the result of all votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVote {
    #[serde(rename = "Yes")]
    Granted,
    /// This other claimant has the key.
    #[serde(rename = "Held")]
    HeldBy(u128),
    /// The claim was released before it arrived.
    #[serde(rename = "Freed")]
    Released,
    /// The claim table is at capacity.
    Full,
}

/// A request that an edge has sent itself, under its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u128)", into = "(String, u128)")]
pub struct SentRequest {
    /// The request's id: its idempotency key.
    pub id: String,
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
    /// Offset that was asked for.
    #[serde(rename = "from")]
    pub start: u64,
    /// The claims, each with the retention that is left to it.
    #[serde(rename = "all")]
    pub claims: Vec<ClaimRecord>,
    /// Offset at which the next page starts.
    pub next: u64,
    /// Whether the sender knows of no claims beyond this page.
    #[serde(rename = "end")]
    pub last: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OpOutcome {
    Got(Outcome),
    Unknown,
    NotTaken,
    /// Nothing is kept under the id asked for.
    Nothing,
}
