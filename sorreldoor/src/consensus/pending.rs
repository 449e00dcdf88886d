//! Records of unfinished operations: proposals, reads, deferred results and
//! messages, unsynced saves, and leadership transfers.

use super::entry::Body;
use super::messages::Msg;
use crate::types::{Millis, NodeId, ProposalId};
use std::sync::Arc;

/// A proposal of a client of this node, without an outcome yet.
#[derive(Clone, Debug)]
pub(super) struct PendingProposal {
    pub body: Body,
    pub since: Millis,
    pub sent_at: Option<Millis>,
}

/// A read of a client of this node.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub since: Millis,
    pub sent_at: Option<Millis>,
    /// The read index, once the Global Leader has sent it.
    pub index: Option<u64>,
}

/// A read index that the Global Leader sends once a majority has echoed heartbeat
/// round `round` or a newer one.
#[derive(Clone, Debug)]
pub(super) struct PendingReadIndex {
    pub from: NodeId,
    pub request_id: u64,
    pub index: u64,
    pub round: u64,
}

/// A result that the Domain Leader of the proposer's region should send by Fast
/// Return. The Global Leader sends it if that is overdue (CD-Raft paper, section
/// III-D).
#[derive(Clone, Debug)]
pub(super) struct DeferredResult {
    pub since: Millis,
    pub proposal_id: ProposalId,
    pub to: NodeId,
    pub outcome: Arc<Vec<u8>>,
}

/// A message to send once all saves up to number `after_seq` are synced.
#[derive(Clone, Debug)]
pub(super) struct DeferredMessage {
    pub after_seq: u64,
    pub to: NodeId,
    pub msg: Msg,
}

/// A save that the store has not synced yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnsyncedSave {
    pub seq: u64,
    pub since: Millis,
    /// First log index that it writes; zero if it doesn't write to the log.
    pub from_index: u64,
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderTransfer {
    pub to: NodeId,
    pub since: Millis,
}

/// The Global Leader's confirmation that a majority of its region has the log up
/// to `index`.
#[derive(Clone, Debug)]
pub(super) struct Confirmation {
    pub index: u64,
    /// The voters of that region that have it.
    pub holders: Vec<NodeId>,
}
