//! Inputs and outputs of the reducer.

use super::entry::{Body, Member};
use super::errors::ProposalError;
use super::messages::Msg;
use super::save::Save;
use crate::types::{NodeId, ProposalId, RegionId};
use std::sync::Arc;

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Graceful shutdown: the node campaigns in no election any more and
    /// transfers its leadership.
    Stop,
    /// Time has passed; due every few milliseconds.
    Tick,
    /// A message has arrived.
    Received { from: NodeId, msg: Msg },
    /// All saves up to number `seq` are synced.
    Saved { seq: u64 },
    /// The last connection to a core was closed by its other end.
    Disconnected { id: NodeId },
    /// The disk failed a save, which the store retries.
    SaveFailed,
    /// The save that had failed is durable now.
    SaveRecovered,
    /// A client of this node proposes an entry.
    Propose { proposal_id: ProposalId, body: Body },
    /// Change the configuration to these members, if this node is the leader
    /// and no change is under way.
    Reconfigure(Vec<Member>),
    /// A client of this node asks for a linearizable read.
    Read { request_id: u64 },
}

/// An output of the reducer, for its driver to carry out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write durably; answer with [`Event::Saved`] once synced.
    Save { seq: u64, save: Save },
    /// Send a message; it may get lost.
    Send { to: NodeId, msg: Msg },
    /// A proposal of this node's client has ended.
    ProposalResult {
        proposal_id: ProposalId,
        outcome: Result<Arc<Vec<u8>>, ProposalError>,
    },
    /// The state machine may serve the read; if not `ok`, it timed out or this
    /// node could not take it.
    ReadReady { request_id: u64, ok: bool },
    /// Entries up to `index` are applied to the state machine.
    Applied { index: u64 },
    /// The configuration has changed, not necessarily committed yet.
    MembersChanged(Vec<Member>),
    /// Something that operators want in the log.
    StateChanged(StateChange),
}

/// A change of state for the operator's log; the daemon numbers these.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// This node became the Global Leader.
    GlobalLeader {
        term: u64,
        id: NodeId,
    },
    /// This node became the Domain Leader of its region.
    DomainLeader {
        domain_term: u64,
        id: NodeId,
    },
    SteppedDown {
        term: u64,
        reason: &'static str,
    },
    RegionUnavailable {
        region: RegionId,
    },
    RegionAvailable {
        region: RegionId,
    },
    TransferringLeadership {
        to: NodeId,
    },
    DiskFailed,
}
