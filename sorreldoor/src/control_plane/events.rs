//! Inputs and outputs of the controller's reducer.

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

/// Where a worker reports its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    pub name: String,
    pub address: SocketAddr,
}

/// An input of the controller.
#[derive(Debug)]
pub enum ControllerEvent {
    Tick,
    Net(NetEvent),
    /// All saves up to this number have been synced.
    Saved(u64),
    /// The disk has failed; the storage driver retries the same save.
    SaveFailed(String),
    /// All pending saves have been synced after all.
    SaveRecovered,
    Change {
        request_id: u64,
        proposal_id: ProposalId,
        cmd: Command,
    },
    /// Remove a core from the membership; from `ctl`.
    RemoveCore {
        request_id: u64,
        proposal_id: ProposalId,
        core: NodeId,
    },
    /// Read the status and the record.
    ReadStatus {
        request_id: u64,
    },
    /// Read the record alone; the status document is expensive.
    ReadView {
        request_id: u64,
    },
    /// Read the outcome of a proposal, once this core is proved current.
    ReadOutcome {
        request_id: u64,
        proposal_id: ProposalId,
    },
    /// A read of the worker list has ended.
    WorkerRegistry(Result<WorkerRegistry, String>),
    /// A poll of the workers' loads has ended.
    Loads {
        epoch: u64,
        rows: Vec<Load>,
    },
    /// The process was told to stop.
    Stop,
}

/// An action that the controller requests; effects are carried out in order.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Append to the store; `ControllerEvent::Saved` reports the number back.
    Save(u64, Save),
    /// Store a small named value, synced before any later effect.
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
        workers: Vec<WorkerAddress>,
    },
    /// Write a line to the event log.
    Log(LogEvent, String),
}

/// What a controller starts from.
pub struct ControllerConfig {
    pub me: Hello,
    pub site: Arc<Site>,
    pub seeds: Vec<SocketAddr>,
    pub cores: usize,
    /// How many voters there should be, and how they are spread.
    pub membership: Policy,
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
    /// Interval at which the holder of the singleton role reads the list of
    /// workers and numbers it; none where lists have versions of their own.
    pub worker_poll_ms: Option<Millis>,
}
