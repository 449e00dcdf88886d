//! Proposals of configuration changes: who waits for the outcome of each, and
//! the ids that this core gives to proposals and reads of its own.

use super::events::Requester;
use crate::consensus::ProposalError;
use crate::replicated_state::{decode, Outcome};
use crate::types::{NodeId, ProposalId};
use crate::wire::{Hello, ProposalOutcome};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Requesters that wait for the outcome of a proposal.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    waiting: BTreeMap<ProposalId, Vec<Requester>>,
}

impl Proposals {
    /// `requester` waits for the outcome of a proposal; several may.
    pub fn wait(&mut self, proposal_id: ProposalId, requester: Requester) {
        self.waiting.entry(proposal_id).or_default().push(requester);
    }

    /// The outcome is known: whoever waited for it.
    pub fn finished(&mut self, proposal_id: ProposalId) -> Vec<Requester> {
        self.waiting.remove(&proposal_id).unwrap_or_default()
    }
}

/// The outcome of a proposal, from the result that consensus gives.
pub(super) fn outcome(result: Result<Arc<Vec<u8>>, ProposalError>) -> ProposalOutcome {
    match result {
        // a membership change has no outcome of its own but having happened
        Ok(bytes) if bytes.is_empty() => {
            ProposalOutcome::Committed(Outcome::Applied { version: 0 })
        }
        Ok(bytes) => decode(&bytes).map_or(ProposalOutcome::Unknown, ProposalOutcome::Committed),
        Err(ProposalError::OutcomeUnknown) => ProposalOutcome::Unknown,
        Err(ProposalError::Dropped) => ProposalOutcome::Rejected,
    }
}

/// Ids of this core's own reads and proposals, unique over restarts.
#[derive(Clone, Debug)]
pub(super) struct IdSequence {
    node: NodeId,
    incarnation: u64,
    last: u64,
}

impl IdSequence {
    /// Ids of this incarnation of the node that `me` describes.
    pub fn new(me: &Hello) -> IdSequence {
        IdSequence {
            node: me.id,
            incarnation: me.incarnation,
            last: 1,
        }
    }

    /// The next id of a read.
    pub fn next_request_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The next id of a proposal: the node, its incarnation and a counter.
    pub fn next_proposal_id(&mut self) -> ProposalId {
        let counter = self.next_request_id();
        (ProposalId::from(self.node) << 64)
            | (ProposalId::from(self.incarnation as u32) << 32)
            | ProposalId::from(counter as u32)
    }
}
