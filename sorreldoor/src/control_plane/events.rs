//! The events, effects and configuration of the controller's reducer.

use super::membership::MembershipPolicy;
use crate::configuration::Site;
use crate::consensus::*;
use crate::discovery::{Load, WorkerRegistry};
use crate::invariants::{is_disabled, Invariant};
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::pacing::Pacing;
use crate::replicated_state::{Command, ZoneIndex};
use crate::runtime::Prioritized;
use crate::types::*;
use crate::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// The requester that waits for the outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// A local HTTP request.
    Http {
        /// Names the request within this process.
        request_id: u64,
    },
    /// An edge that forwarded an operator's request.
    Edge {
        /// The edge's connection.
        conn: Conn,
        /// Names the request among those of the edge.
        request_id: u64,
    },
}

/// A worker and the address at which it reports its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAddress {
    /// The worker's name in the list of workers.
    pub name: String,
    /// Address of its load report.
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
    /// Propose a change for a local request.
    Change {
        /// Id that `ChangeDone` carries.
        request_id: u64,
        /// Id of the proposal; repeats of it are applied once.
        proposal_id: ProposalId,
        /// The change.
        command: Command,
    },
    /// Evacuate a zone or return it to service, for a local request that names no
    /// version.
    Evacuate {
        /// Id that `ChangeDone` carries.
        request_id: u64,
        /// Id of the proposal; repeats of it are applied once.
        proposal_id: ProposalId,
        /// The zone to change.
        zone: ZoneIndex,
        /// True: evacuate the zone. False: return it to service.
        evacuated: bool,
        /// When the request was sent, or earlier, by this core's monotonic clock.
        sent_after: Millis,
    },
    /// Remove a core from the membership, for a local request.
    RemoveCore {
        /// Id that `ChangeDone` carries.
        request_id: u64,
        /// Id of the proposal; repeats of it are applied once.
        proposal_id: ProposalId,
        /// The core to remove.
        core: NodeId,
    },
    /// Read the status document and the replicated state.
    ReadStatus {
        /// Id that `StatusReady` carries.
        request_id: u64,
    },
    /// Read the replicated state without the status document, which is expensive.
    ReadView {
        /// Id that `ViewReady` carries.
        request_id: u64,
    },
    /// Read the outcome of a proposal, once this core is confirmed current.
    ReadOutcome {
        /// Id that `ChangeDone` carries.
        request_id: u64,
        /// Id of the proposal.
        proposal_id: ProposalId,
    },
    /// A read of the worker list has ended.
    WorkerListRead(Result<WorkerRegistry, String>),
    /// A poll of the workers' loads has ended.
    LoadsPolled {
        /// Epoch of the singleton role under which the poll was started.
        epoch: u64,
        /// The load of each worker polled.
        loads: Vec<Load>,
    },
    /// The seeds in the settings, as read for `ControllerEffect::ReadSeeds`.
    SeedsRead(Vec<SocketAddr>),
    /// The process received a signal to stop.
    Stop,
}

/// An action that the controller requests; actions are carried out in order.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Append to the store; `ControllerEvent::Saved` reports this number once it is
    /// synced.
    Save(u64, Save),
    /// Store a small value under a key, synced before any later effect.
    StoreValue(&'static str, Vec<u8>),
    /// Send a frame; it is dropped if the send queue is full.
    Send(Conn, Payload),
    /// Keep a connection to this address open, and reconnect when it is lost.
    Connect(SocketAddr),
    /// Stop connecting to this address.
    Disconnect(SocketAddr),
    /// Close one connection.
    Close(Conn),
    /// Read the seeds from the settings again; `ControllerEvent::SeedsRead` has them.
    ReadSeeds,
    /// The outcome of a change that was requested locally.
    ChangeDone {
        /// Id of the event that requested it.
        request_id: u64,
        /// The outcome, which may be that it is unknown.
        outcome: ProposalOutcome,
    },
    /// The status and the state may be read now.
    StatusReady {
        /// Id of the event that requested it.
        request_id: u64,
        /// Whether a majority confirmed that the state is current.
        confirmed: bool,
    },
    /// Like `StatusReady`, for a read of the replicated state alone.
    ViewReady {
        /// Id of the event that requested it.
        request_id: u64,
        /// Whether a majority confirmed that the state is current.
        confirmed: bool,
    },
    /// Read the list of workers; `ControllerEvent::WorkerListRead` has the result.
    ReadWorkerList,
    /// Poll these workers' loads; `ControllerEvent::LoadsPolled` has the result,
    /// under the same epoch.
    PollLoads {
        /// Epoch of the singleton role under which the poll runs.
        epoch: u64,
        /// The workers to poll.
        workers: Vec<WorkerAddress>,
    },
    /// Write a line to the event log.
    Log(LogEvent, String),
}

/// The settings and stored values that a controller starts with.
pub struct ControllerConfig {
    /// The hello that this node sends on each connection.
    pub own_hello: Hello,
    /// Names of the site's regions and zones.
    pub site: Arc<Site>,
    /// Addresses to connect to before the members are known.
    pub seed_addresses: Vec<SocketAddr>,
    /// Nodes to ask for the cores' addresses when none is reached.
    pub peers: Vec<SocketAddr>,
    /// Number of cores that bootstrap the site together.
    pub founder_count: usize,
    /// The required number and distribution of voters.
    pub membership_policy: MembershipPolicy,
    /// Time-outs of consensus.
    pub timing: Timing,
    /// Seed of the random election time-outs.
    pub seed: u64,
    /// The founders that an earlier incarnation promised, from the store.
    pub promised_founders: Option<Vec<Member>>,
    /// Whether an earlier incarnation has caught up on the idempotency claims.
    pub claims_caught_up: bool,
    /// Maximum number of idempotency claims in the table.
    pub max_claims: usize,
    /// The seeds of the site's first start if this core takes part in it, and may
    /// bootstrap the site while it is blank; `None` for a core that only joins one.
    pub founding_seeds: Option<Vec<SocketAddr>>,
    /// Whether only the cores at the founding seeds bootstrap the site; further ones
    /// join it.
    pub only_seeds_bootstrap: bool,
    /// Intervals of periodic work.
    pub pacing: Pacing,
    /// Interval at which the holder of the singleton role reads and numbers the list
    /// of workers; `None` where lists have versions of their own.
    pub worker_poll_ms: Option<Millis>,
}

/// Events on which elections and commits depend go before the work for edges and
/// operators.
impl Prioritized for ControllerEvent {
    fn is_urgent(&self) -> bool {
        match self {
            ControllerEvent::Tick
            | ControllerEvent::Saved(_)
            | ControllerEvent::SaveFailed(_)
            | ControllerEvent::SaveRecovered => true,
            ControllerEvent::Net(NetEvent::Frame { payload, .. }) => {
                payload.is_consensus() && !is_disabled(Invariant::ConsensusPriority)
            }
            _ => false,
        }
    }
}
