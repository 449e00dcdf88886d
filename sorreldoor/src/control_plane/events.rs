//! What goes into the controller's reducer, and what comes out.

use super::membership::Policy;
use crate::configuration::Site;
use crate::consensus::*;
use crate::discovery::{Load, WorkerRegistry};
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::pacing::Pacing;
use crate::replicated_state::Command;
use crate::types::*;
use crate::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// Who waits for the outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// A local HTTP request.
    Http { request_id: u64 },
    /// An edge that has forwarded an operator's request.
    Edge { conn: Conn, request_id: u64 },
}

#[derive(Debug)]
pub enum ControllerEvent {
    Tick,
    Net(NetEvent),
    Saved(u64),
    /// The disk refuses; the store tries the same save again.
    SaveFailed(String),
    /// All that was waiting for the disk has been synced after all.
    SaveRecovered,
    Change {
        request_id: u64,
        proposal_id: ProposalId,
        cmd: Command,
    },
    /// Replace the members, one voter at a time; from `ctl`.
    Reform {
        request_id: u64,
        proposal_id: ProposalId,
        drop: NodeId,
    },
    Look {
        request_id: u64,
    },
    /// Like `Look`, without the status, which takes its time.
    View {
        request_id: u64,
    },
    /// What became of a proposal, once this core is proved current.
    Find {
        request_id: u64,
        proposal_id: ProposalId,
    },
    WorkerRegistry(Result<WorkerRegistry, String>),
    Loads {
        epoch: u64,
        rows: Vec<Load>,
    },
    Stop,
}

#[derive(Debug)]
pub enum ControllerEffect {
    Save(u64, Save),
    /// Keep a small value, synced, before anything that follows.
    Keep(&'static str, Vec<u8>),
    Send(Conn, Payload),
    Connect(SocketAddr),
    Disconnect(SocketAddr),
    Close(Conn),
    /// The outcome of a change that was requested locally.
    ChangeDone {
        request_id: u64,
        outcome: OpOutcome,
    },
    /// The status may be read now; `proved` if the state is proved current.
    StatusReady {
        request_id: u64,
        proved: bool,
    },
    /// Like `StatusReady`, for a read of the record alone.
    ViewReady {
        request_id: u64,
        proved: bool,
    },
    /// Read the list of workers; it comes as `ControllerEvent::WorkerRegistry`.
    ReadWorkerList,
    /// Poll these workers' loads; they come as `ControllerEvent::Loads` under
    /// the same epoch.
    PollLoads {
        epoch: u64,
        workers: Vec<(String, SocketAddr)>,
    },
    Say(LogEvent, String),
}

/// What a controller starts from.
pub struct Start {
    pub me: Hello,
    pub site: Arc<Site>,
    pub seeds: Vec<SocketAddr>,
    pub cores: usize,
    /// How many voters there should be, and how they are spread.
    pub members: Policy,
    pub timing: Timing,
    pub seed: u64,
    pub promise: Option<Vec<Member>>,
    /// It has learned, in an earlier life, what claims there were.
    pub sure: bool,
    /// Errand ids remembered at most.
    pub most_claims: usize,
    /// Without it a blank core joins a site and never founds one.
    pub bootstrap: bool,
    /// The seeds found the site; further cores join it.
    pub grow: bool,
    pub pacing: Pacing,
    /// The holder of the duty alone reads the list of workers, this often,
    /// and numbers it; none: the lists that come have numbers of their own.
    pub poll_ms: Option<Millis>,
}
