//! Inputs and outputs of the controller's reducer.

use super::membership::Policy;
use crate::configuration::Site;
use crate::consensus::*;
use crate::discovery::{Load, WorkerRegistry};
use crate::invariants::{broken, Invariant};
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::pacing::Pacing;
use crate::replicated_state::Command;
use crate::runtime::Prioritized;
use crate::types::*;
use crate::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// Who waits for the outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// A local HTTP request.
    Http {
        /// Names the request within this process.
        request_id: u64,
    },
    /// An edge that has forwarded an operator's request.
    Edge {
        /// The edge's connection.
        conn: Conn,
        /// Names the request among those of the edge.
        request_id: u64,
    },
}

/// Where a worker reports its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// The worker's name in the list of workers.
    pub name: String,
    /// Where its load is polled.
    pub address: SocketAddr,
}

/// An input of the controller.
///
/// A `request_id` names a local request; its reply carries the same id.
#[derive(Debug)]
pub enum ControllerEvent {
    /// The periodic timer has fired.
    Tick,
    /// A connection was opened or closed, or a frame arrived.
    Net(NetEvent),
    /// All saves up to this number have been synced.
    Saved(u64),
    /// The disk has failed; the storage driver retries the same save.
    SaveFailed(String),
    /// All pending saves have been synced after all.
    SaveRecovered,
    /// Propose a change of the configuration, for a local request.
    Change {
        /// Id that `ChangeDone` carries.
        request_id: u64,
        /// Id of the proposal; repeats of it are applied once.
        proposal_id: ProposalId,
        /// The change.
        cmd: Command,
    },
    /// Remove a core from the membership; from `ctl`.
    RemoveCore {
        /// Id that `ChangeDone` carries.
        request_id: u64,
        /// Id of the proposal; repeats of it are applied once.
        proposal_id: ProposalId,
        /// The core to remove.
        core: NodeId,
    },
    /// Read the status and the replicated state.
    ReadStatus {
        /// Id that `StatusReady` carries.
        request_id: u64,
    },
    /// Read the replicated state alone; the status document is expensive.
    ReadView {
        /// Id that `ViewReady` carries.
        request_id: u64,
    },
    /// Read the outcome of a proposal, once this core is proved current.
    ReadOutcome {
        /// Id that `ChangeDone` carries.
        request_id: u64,
        /// Id of the proposal asked for.
        proposal_id: ProposalId,
    },
    /// A read of the worker list has ended.
    WorkerRegistry(Result<WorkerRegistry, String>),
    /// A poll of the workers' loads has ended.
    Loads {
        /// Epoch of the singleton role that the poll was started under.
        epoch: u64,
        /// The load of each worker polled.
        rows: Vec<Load>,
    },
    /// The process received a signal to stop.
    Stop,
}

/// An action that the controller requests; actions are carried out in order.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Append to the store; `ControllerEvent::Saved` reports the number back.
    Save(u64, Save),
    /// Store a small named value, synced before any later effect.
    Keep(&'static str, Vec<u8>),
    /// Send a frame; it is dropped where the send queue is full.
    Send(Conn, Payload),
    /// Keep a connection to this address open, and reconnect when it is lost.
    Connect(SocketAddr),
    /// Stop connecting to this address.
    Disconnect(SocketAddr),
    /// Close one connection.
    Close(Conn),
    /// The outcome of a change that was requested locally.
    ChangeDone {
        /// Id of the event that requested it.
        request_id: u64,
        /// The result, or that it is not known.
        outcome: ProposalOutcome,
    },
    /// The status may be read now; `proved` if the state is proved current.
    StatusReady {
        /// Id of the event that requested it.
        request_id: u64,
        /// Whether a majority confirmed that the state is current.
        proved: bool,
    },
    /// Like `StatusReady`, for a read of the replicated state alone.
    ViewReady {
        /// Id of the event that requested it.
        request_id: u64,
        /// Whether a majority confirmed that the state is current.
        proved: bool,
    },
    /// Read the list of workers; it comes as `ControllerEvent::WorkerRegistry`.
    ReadWorkerList,
    /// Poll these workers' loads; they come as `ControllerEvent::Loads` under
    /// the same epoch.
    PollLoads {
        /// Epoch of the singleton role that the poll runs under.
        epoch: u64,
        /// The workers to poll.
        workers: Vec<WorkerAddress>,
    },
    /// Write a line to the event log.
    Log(LogEvent, String),
}

/// What a controller starts from.
pub struct ControllerConfig {
    /// How this node introduces itself.
    pub me: Hello,
    /// Names of the site's regions and zones.
    pub site: Arc<Site>,
    /// Addresses to connect to before the members are known.
    pub seeds: Vec<SocketAddr>,
    /// Number of cores that bootstrap the site.
    pub cores: usize,
    /// How many voters there should be, and how they are spread.
    pub membership: Policy,
    /// Time-outs of consensus.
    pub timing: Timing,
    /// Seed of the random election time-outs.
    pub seed: u64,
    /// The bootstrap members that an earlier incarnation promised to join.
    pub promise: Option<Vec<Member>>,
    /// An earlier incarnation has caught up on the idempotency claims.
    pub sure: bool,
    /// Idempotency keys remembered at most.
    pub most_claims: usize,
    /// Whether a blank core may bootstrap a site; otherwise it only joins one.
    pub bootstrap: bool,
    /// Whether the seeds bootstrap the site and further cores join it.
    pub grow: bool,
    /// Intervals of periodic work.
    pub pacing: Pacing,
    /// Interval at which the holder of the singleton role reads the list of
    /// workers and numbers it; none where lists have versions of their own.
    pub worker_poll_ms: Option<Millis>,
}

/// Elections and commits go before the work for edges and operators.
impl Prioritized for ControllerEvent {
    fn is_urgent(&self) -> bool {
        match self {
            ControllerEvent::Tick
            | ControllerEvent::Saved(_)
            | ControllerEvent::SaveFailed(_)
            | ControllerEvent::SaveRecovered => true,
            ControllerEvent::Net(NetEvent::Frame { payload, .. }) => {
                payload.is_consensus() && !broken(Invariant::UrgentLane)
            }
            _ => false,
        }
    }
}
