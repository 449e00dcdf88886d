//! Inputs and outputs of the reducer.

use super::entry::{Body, Member};
use super::errors::ProposalError;
use super::messages::Msg;
use super::save::Save;
use crate::types::{Millis, NodeId, ProposalId, RegionId};
use std::fmt;
use std::sync::Arc;

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Graceful shutdown: the node stops campaigning and transfers its leadership.
    Stop,
    /// Run the timers that are due; the driver sends this every few milliseconds.
    Tick,
    /// A message has arrived.
    Received {
        /// The core that sent the message.
        from: NodeId,
        /// The decoded message.
        msg: Msg,
    },
    /// All saves up to number `seq` are synced.
    Saved {
        /// Number of the last [`Effect::Save`] that is synced.
        seq: u64,
    },
    /// The last connection to a core was closed by its other end.
    Disconnected {
        /// The core at the other end.
        id: NodeId,
    },
    /// A save failed on the disk; the store retries it.
    SaveFailed,
    /// The save that had failed is durable now.
    SaveRecovered,
    /// A client of this node proposes an entry.
    Propose {
        /// Chosen at random by the client. A retry carries the same id, so that the
        /// proposal is applied once.
        proposal_id: ProposalId,
        /// The payload of the entry to append.
        body: Body,
    },
    /// Change the configuration to these members, if this node is the leader
    /// and no change is under way.
    Reconfigure(Vec<Member>),
    /// A client of this node asks for a linearizable read.
    Read {
        /// Chosen by the driver; echoed by [`Effect::ReadResult`].
        request_id: u64,
    },
}

/// An output of the reducer, for its driver to carry out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write durably; answer with [`Event::Saved`] once synced.
    Save {
        /// Number of the save; each is one above the number before.
        seq: u64,
        /// What to write.
        save: Save,
    },
    /// Send a message; it may get lost.
    Send {
        /// The core that gets the message.
        to: NodeId,
        /// The message; the driver encodes it.
        msg: Msg,
    },
    /// A proposal of this node's client has ended.
    ProposalResult {
        /// The id from [`Event::Propose`].
        proposal_id: ProposalId,
        /// The state machine's output for the entry in its own encoding, or why
        /// there is none.
        outcome: Result<Arc<Vec<u8>>, ProposalError>,
    },
    /// A read has ended: the state machine may serve it if `ok`; otherwise it timed
    /// out or this node did not accept it.
    ReadResult {
        /// The id from [`Event::Read`].
        request_id: u64,
        /// Whether the state machine now includes all writes that were answered
        /// before the read began.
        ok: bool,
    },
    /// Entries up to `index` are applied to the state machine.
    Applied {
        /// Index of the last entry applied, or included in an installed
        /// snapshot.
        index: u64,
    },
    /// The configuration has changed, not necessarily committed yet.
    MembersChanged(Vec<Member>),
    /// A change to write to the operator's log.
    StateChanged(StateChange),
}

/// A change of state for the operator's log; the daemon numbers these.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// This node became the Global Leader.
    GlobalLeader {
        /// The term that this node was elected for.
        term: u64,
        /// This node.
        id: NodeId,
    },
    /// This node became the Domain Leader of its region.
    DomainLeader {
        /// The domain term that this node was elected for.
        domain_term: u64,
        /// This node.
        id: NodeId,
    },
    /// This node, the Global Leader, stepped down.
    SteppedDown {
        /// The term that it led.
        term: u64,
        /// Why.
        reason: StepDownReason,
    },
    /// This node, the Global Leader, has had no contact with a majority of a
    /// region's voters for `region_timeout`. The region rules are waived for that
    /// region; a majority of all voters is still required.
    RegionUnavailable {
        /// The unavailable region.
        region: RegionId,
    },
    /// A majority of the region's voters replies again.
    RegionAvailable {
        /// The region that is available again.
        region: RegionId,
    },
    /// This node, the Global Leader, began a leadership transfer. It accepts no
    /// proposals until the transfer succeeds or times out.
    TransferringLeadership {
        /// The core that is to become the leader.
        to: NodeId,
    },
    /// A save failed. This node ignores messages and does not campaign until the
    /// store's retry succeeds.
    DiskFailed,
}

/// A voter that has not replied to the leader for an election timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentVoter {
    /// The voter.
    pub id: NodeId,
    /// Milliseconds since the last contact with it.
    pub silent_ms: Millis,
}

/// Why a Global Leader stepped down, or a candidate abandoned its campaign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// Another core has a newer term, as in any change of leaders.
    NewerTerm,
    /// No majority of all voters has replied for an election timeout.
    NoQuorum {
        /// The voters that have not replied.
        silent: Vec<SilentVoter>,
    },
    /// A save was not synced in time.
    DiskStalled,
    /// A save failed on the disk.
    DiskFailed,
    /// A configuration change removed its vote.
    NotAVoter,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepDownReason::NewerTerm => f.write_str("a newer term"),
            StepDownReason::NoQuorum { silent } => {
                f.write_str("no contact with a majority of voters; silent:")?;
                silent
                    .iter()
                    .try_for_each(|v| write!(f, " {:x} for {} ms", v.id, v.silent_ms))
            }
            StepDownReason::DiskStalled => f.write_str("disk does not sync in time"),
            StepDownReason::DiskFailed => f.write_str("disk failed"),
            StepDownReason::NotAVoter => f.write_str("no longer a voter"),
        }
    }
}
