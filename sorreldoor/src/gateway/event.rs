//! Events that the edge controller handles, and its effects.

use crate::error::ErrorCode;
use crate::gateway::request_table::{
    AttemptReport, RequestEffect, RequestId, RequestProfile, RequestSpec,
};
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::replicated_state::Command;
use crate::types::ProposalId;
use crate::wire::{OpOutcome, Payload};
use std::net::SocketAddr;

/// An input of the edge controller. Each `request_id` names the caller that
/// waits for the matching effect.
#[derive(Debug)]
pub enum EdgeEvent {
    /// The periodic timer.
    Tick,
    Net(NetEvent),
    /// The head of a request has arrived; may its body be read?
    CheckAdmission {
        request_id: RequestId,
        spec: RequestSpec,
    },
    /// A request has arrived with its body.
    Submit {
        request_id: RequestId,
        spec: RequestSpec,
    },
    /// The caller has disconnected.
    CallerDisconnected {
        request_id: RequestId,
    },
    /// An attempt of a request reports.
    Attempt(AttemptReport),
    /// Which edges should a caller send such a request to?
    LocateEdges {
        request_id: RequestId,
        spec: RequestSpec,
    },
    /// An operator's change, to be proposed to the control plane.
    Propose {
        request_id: RequestId,
        proposal_id: ProposalId,
        cmd: Command,
    },
    /// What became of an earlier proposal?
    QueryProposal {
        request_id: RequestId,
        proposal_id: ProposalId,
    },
    /// Where would such a request go now, from the region in `spec.home`?
    Explain {
        request_id: RequestId,
        spec: RequestSpec,
    },
    /// Read the configuration, proved current from now on.
    ReadConfiguration {
        request_id: RequestId,
    },
    Status {
        request_id: RequestId,
    },
    /// Begin a graceful shutdown.
    Shutdown,
}

/// What the owner of the edge controller is to carry out.
#[derive(Debug)]
pub enum EdgeEffect {
    Send(Conn, Payload),
    Connect(SocketAddr),
    Disconnect(SocketAddr),
    Request(RequestEffect),
    /// The body of the request may be read, with this profile.
    Admitted(RequestId, RequestProfile),
    EdgesLocated(RequestId, Result<Vec<String>, ErrorCode>),
    ProposalResult(RequestId, OpOutcome),
    /// Whether the configuration is proved current.
    ConfigurationRead(RequestId, bool),
    /// A status or an explanation, as JSON.
    Status(RequestId, String),
    Log(LogEvent, String),
}
