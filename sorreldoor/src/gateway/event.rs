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
    /// The head of a request has arrived: check whether its body may be read.
    CheckAdmission {
        /// Identifies the caller until the end of the request.
        request_id: RequestId,
        /// The specification from its head; the profile is not set yet.
        spec: RequestSpec,
    },
    /// A request has arrived with its body.
    Submit {
        /// The caller, as in `CheckAdmission`.
        request_id: RequestId,
        /// The specification, with the profile that the body was read under.
        spec: RequestSpec,
    },
    /// The caller has disconnected.
    CallerDisconnected {
        /// The caller, as in `CheckAdmission`.
        request_id: RequestId,
    },
    /// An attempt of a request has reported an event.
    Attempt(AttemptReport),
    /// Look up the edges that a caller should send such a request to.
    LocateEdges {
        /// The caller, answered by [`EdgeEffect::EdgesLocated`].
        request_id: RequestId,
        /// The request to locate edges for; only its route, key and home are used.
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
    /// Look up the outcome of an earlier proposal.
    QueryProposal {
        /// The caller, answered by [`EdgeEffect::ProposalResult`].
        request_id: RequestId,
        /// Id of the earlier proposal.
        proposal_id: ProposalId,
    },
    /// Explain where such a request would be sent now from the region
    /// `spec.home`, or from this one if it is not set.
    Explain {
        /// The caller, answered by [`EdgeEffect::Status`], or by
        /// [`EdgeEffect::EdgesLocated`] with an error.
        request_id: RequestId,
        /// The request to explain; it is not sent.
        spec: RequestSpec,
    },
    /// Read the configuration once it is proved to be current as of now.
    ReadConfiguration {
        /// The caller, answered by [`EdgeEffect::ConfigurationRead`].
        request_id: RequestId,
    },
    /// Read the status of this edge.
    Status {
        /// The caller, answered by [`EdgeEffect::Status`].
        request_id: RequestId,
    },
    /// The seeds in the settings, as read for [`EdgeEffect::ReadSeeds`].
    SeedsRead(Vec<SocketAddr>),
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
    /// Read the seeds from the settings again; [`EdgeEvent::SeedsRead`] has them.
    ReadSeeds,
    /// An effect of the request table, on one request or attempt.
    Request(RequestEffect),
    /// The body of the request may be read, with this profile.
    Admitted(RequestId, RequestProfile),
    /// HTTP addresses of edges to try in this order, or why there are none.
    EdgesLocated(RequestId, Result<Vec<String>, ErrorCode>),
    /// The outcome of a proposal.
    ProposalResult(RequestId, ProposalOutcome),
    /// The configuration may be read; true if it is proved current.
    ConfigurationRead(RequestId, bool),
    /// A status or an explanation, as JSON.
    Status(RequestId, String),
    /// Write a line to the event log: the event and its details.
    Log(LogEvent, String),
}

impl Prioritized for EdgeEvent {}
