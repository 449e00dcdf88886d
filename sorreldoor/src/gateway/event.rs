//! Events that the edge controller handles, and its effects.

use crate::error::ErrorCode;
use crate::gateway::request_table::{
    AttemptReport, RequestEffect, RequestId, RequestProfile, RequestSpec,
};
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::replicated_state::Command;
use crate::runtime::Prioritized;
use crate::types::ProposalId;
use crate::wire::{Payload, ProposalOutcome};
use std::net::SocketAddr;

/// An input of the edge controller. Each `request_id` names the caller that
/// waits for the matching effect.
#[derive(Debug)]
pub enum EdgeEvent {
    /// The periodic timer.
    Tick,
    /// A connection to a core was opened or closed, or a frame arrived.
    Net(NetEvent),
    /// The head of a request has arrived; may its body be read?
    CheckAdmission {
        /// Names the caller until the end of the request.
        request_id: RequestId,
        /// What its head says; the profile is that of no route yet.
        spec: RequestSpec,
    },
    /// A request has arrived with its body.
    Submit {
        /// The caller, as in `CheckAdmission`.
        request_id: RequestId,
        /// What its head says, with the profile its body was read under.
        spec: RequestSpec,
    },
    /// The caller has disconnected.
    CallerDisconnected {
        /// The caller, as in `CheckAdmission`.
        request_id: RequestId,
    },
    /// An attempt of a request reports.
    Attempt(AttemptReport),
    /// Which edges should a caller send such a request to?
    LocateEdges {
        /// The caller, answered by [`EdgeEffect::EdgesLocated`].
        request_id: RequestId,
        /// The request to locate edges for; only its route, key and home count.
        spec: RequestSpec,
    },
    /// An operator's change, to be proposed to the control plane.
    Propose {
        /// The caller, answered by [`EdgeEffect::ProposalResult`].
        request_id: RequestId,
        /// Id of the proposal; repeats of it are applied once.
        proposal_id: ProposalId,
        /// The change.
        cmd: Command,
    },
    /// What became of an earlier proposal?
    QueryProposal {
        /// The caller, answered by [`EdgeEffect::ProposalResult`].
        request_id: RequestId,
        /// Id of the earlier proposal.
        proposal_id: ProposalId,
    },
    /// Where would such a request go now, from the region in `spec.home`?
    Explain {
        /// The caller, answered by [`EdgeEffect::Status`], or by
        /// [`EdgeEffect::EdgesLocated`] with an error.
        request_id: RequestId,
        /// The request to explain; it is not sent.
        spec: RequestSpec,
    },
    /// Read the configuration, proved current from now on.
    ReadConfiguration {
        /// The caller, answered by [`EdgeEffect::ConfigurationRead`].
        request_id: RequestId,
    },
    /// Read the status of this edge.
    Status {
        /// The caller, answered by [`EdgeEffect::Status`].
        request_id: RequestId,
    },
    /// Begin a graceful shutdown.
    Shutdown,
}

/// What the owner of the edge controller is to carry out.
#[derive(Debug)]
pub enum EdgeEffect {
    /// Send a frame to a core.
    Send(Conn, Payload),
    /// Keep a connection to this core open, and reconnect when it is lost.
    Connect(SocketAddr),
    /// Stop connecting to this core.
    Disconnect(SocketAddr),
    /// An effect of the request table, on one request or attempt.
    Request(RequestEffect),
    /// The body of the request may be read, with this profile.
    Admitted(RequestId, RequestProfile),
    /// HTTP addresses of edges to try in this order, or why there are none.
    EdgesLocated(RequestId, Result<Vec<String>, ErrorCode>),
    /// What became of a proposal.
    ProposalResult(RequestId, ProposalOutcome),
    /// Whether the configuration is proved current.
    ConfigurationRead(RequestId, bool),
    /// A status or an explanation, as JSON.
    Status(RequestId, String),
    /// Write a line to the event log: the event and its details.
    Log(LogEvent, String),
}

impl Prioritized for EdgeEvent {}
