//! The payload of a frame, and the outcomes of proposals.

use super::{
    is_default, BootstrapMessage, ClaimVote, ClaimsPage, CoreAddresses, EdgeStatus, Hello,
    KnownVersions,
};
use super::{SentRequest, SessionReport, StateDelta, Unverified, VoteId};
use crate::consensus::{ClaimRecord, Msg};
use crate::discovery::{Loads, WorkerRegistry};
use crate::quota::{AdmissionUpdate, TenantUsage, UsageReport};
use crate::replicated_state::{Command, Outcome};
use crate::types::ProposalId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The content of a frame. The serialized names of variants and fields are part
/// of the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// The first frame that each side sends on a connection; a core sends it
    /// again when it joins the site or stops.
    Hello(Hello),
    /// Between cores: a message of the consensus protocol.
    Consensus(Msg),
    /// Between cores: cluster bootstrap.
    #[serde(rename = "Founding")]
    Bootstrap(BootstrapMessage),
    /// Between cores: the edges that have a session with the sender.
    SessionReport(SessionReport),
    /// The platform's list of workers, between cores and from a core to its
    /// edges.
    WorkerRegistry(Arc<WorkerRegistry>),
    /// Between cores: load reports, from the holder of the singleton role.
    Loads(Arc<Loads>),
    /// An edge renews its lease and requests the state that it lacks.
    Renew {
        /// Number of the renewal; the grant carries it back.
        no: u64,
        /// Versions of the state that the edge has.
        #[serde(default, skip_serializing_if = "is_default")]
        have: KnownVersions,
        /// Status of the edge.
        #[serde(default, skip_serializing_if = "is_default")]
        #[serde(rename = "doing")]
        edge_status: EdgeStatus,
        /// Which state it accepts that no leader has confirmed.
        #[serde(default, skip_serializing_if = "is_default")]
        unverified: Unverified,
    },
    /// A core's answer to a renewal. A grant with `ok` may follow one without it
    /// under the same number.
    Grant {
        /// Number of the renewal.
        no: u64,
        /// Whether a read index confirmed, after the renewal arrived, that the
        /// core's state is current. The lease is granted only if so.
        ok: bool,
        /// The state that the edge lacks.
        #[serde(default, skip_serializing_if = "is_default")]
        #[serde(rename = "news")]
        delta: StateDelta,
    },
    /// An edge forwards a proposal.
    #[serde(rename = "Op")]
    Propose {
        /// The edge's number for it; the result carries it back.
        #[serde(rename = "rid")]
        request_id: u64,
        /// Identifies the proposal; retries carry the same id.
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
        /// The proposed change.
        cmd: Command,
    },
    /// An edge asks for the outcome of an earlier proposal.
    #[serde(rename = "OpFind")]
    OutcomeQuery {
        /// The edge's number for the query.
        #[serde(rename = "rid")]
        request_id: u64,
        /// The proposal asked about.
        #[serde(rename = "pid")]
        proposal_id: ProposalId,
    },
    /// Answer to `Propose` and `OutcomeQuery`.
    #[serde(rename = "OpDone")]
    ProposalResult {
        /// Number of the proposal or query.
        #[serde(rename = "rid")]
        request_id: u64,
        /// The outcome as far as the core knows it.
        outcome: ProposalOutcome,
    },
    /// An edge claims the id of a request.
    Claim {
        /// The edge's number for the claim.
        #[serde(rename = "rid")]
        request_id: u64,
        /// The id, the claimant and the retention.
        claim: ClaimRecord,
    },
    /// Answer to `Claim`, after the votes of the cores.
    #[serde(rename = "ClaimDone")]
    ClaimResult {
        /// Number of the claim.
        #[serde(rename = "rid")]
        request_id: u64,
        /// The id that was claimed.
        id: String,
        /// Result of all votes.
        #[serde(rename = "said")]
        result: ClaimVote,
    },
    /// A core asks a peer for its vote on a claim.
    #[serde(rename = "ClaimAsk")]
    ClaimVoteRequest {
        /// Number of the vote; the reply carries it back.
        #[serde(rename = "no")]
        vote_id: VoteId,
        /// The claim to vote on.
        claim: ClaimRecord,
    },
    /// Answer to `ClaimVoteRequest`.
    #[serde(rename = "ClaimAns")]
    ClaimVoteReply {
        /// Number of the vote.
        #[serde(rename = "no")]
        vote_id: VoteId,
        /// Vote of the peer.
        #[serde(rename = "said")]
        vote: ClaimVote,
    },
    /// An edge releases its claim on a request that it never sent.
    Release {
        /// The edge's number for the release.
        #[serde(rename = "rid")]
        request_id: u64,
        /// The id that was claimed.
        id: String,
        /// The attempt that claimed it.
        #[serde(rename = "by")]
        claimant: u128,
    },
    /// Answer to `Release`: the release is recorded.
    Released {
        /// Number of the release.
        #[serde(rename = "rid")]
        request_id: u64,
    },
    /// A core forwards a release to its peers.
    #[serde(rename = "Free")]
    PeerRelease {
        /// The id that was claimed.
        id: String,
        /// The attempt that claimed it.
        #[serde(rename = "by")]
        claimant: u128,
    },
    /// Answer to `PeerRelease`.
    #[serde(rename = "FreeDone")]
    ReleaseAck {
        /// The attempt whose release is acknowledged.
        #[serde(rename = "by")]
        claimant: u128,
    },
    /// Requests that an edge has sent recently, for a core that may have lost
    /// their claims.
    #[serde(rename = "Sent")]
    SentRequests {
        /// The requests, each with its claimant.
        #[serde(rename = "all")]
        requests: Vec<SentRequest>,
    },
    /// A core asks a peer for a page of its claim table.
    #[serde(rename = "ClaimsPull")]
    ClaimsPageRequest {
        /// Offset of the first claim.
        #[serde(rename = "from")]
        start: u64,
    },
    /// Answer to `ClaimsPageRequest`.
    ClaimsPage(ClaimsPage),
    /// Usage of the tenants at an edge.
    UsageReport(UsageReport),
    /// Answer to `UsageReport`; also sent without one.
    AdmissionUpdate(AdmissionUpdate),
    /// Between cores: usage that the sender's edges have reported since it
    /// started, for the tenants whose usage has changed.
    UsageTotals(Vec<TenantUsage>),
    /// A node that reaches none of the cores it knows asks another node for their
    /// addresses; no hello need precede it.
    CoreAddressesRequest,
    /// Answer to `CoreAddressesRequest`.
    CoreAddresses(CoreAddresses),
    /// Keeps an idle connection alive.
    Ping {
        /// Always 0; receivers ignore it.
        no: u64,
    },
}

/// A core's answer to a proposal or to a query for its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal was committed, with this outcome.
    #[serde(rename = "Got")]
    Committed(Outcome),
    /// The proposal may have been committed, or may still be.
    Unknown,
    /// The proposal was not accepted and has no effect.
    #[serde(rename = "NotTaken")]
    Rejected,
    /// No outcome is recorded under the requested id.
    #[serde(rename = "Nothing")]
    NotFound,
}

impl Payload {
    /// Whether it is a consensus message, which has priority over the others.
    #[must_use]
    pub fn is_consensus(&self) -> bool {
        matches!(self, Payload::Consensus(_))
    }
}
