//! Operators' changes and reads in the simulation, with their times and results.

use super::Sim;
use sorreldoor::consensus::*;
use sorreldoor::replicated_state::{decode, encode, Command, Outcome};
use sorreldoor::types::*;
use std::sync::Arc;

/// What an operator does.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationKind {
    ProposeChange { base: u64 },
    Read,
}

/// The result of an operation, as its operator knows it.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationResult {
    Pending,
    /// The change was committed, with this outcome.
    Completed(Outcome),
    /// The read returned this version.
    ReadVersion(u64),
    /// The change may or may not be applied later.
    Unknown,
    /// The change was rejected and will not be applied.
    Dropped,
}

/// A change or read, started at `start`; `end` is 0 while it is pending.
#[derive(Clone, Debug)]
pub struct Operation {
    pub proposal_id: ProposalId,
    pub node: usize,
    pub kind: OperationKind,
    pub start: Millis,
    pub end: Millis,
    pub result: OperationResult,
    /// Proposed more than once, so that no single result covers all attempts.
    pub retried: bool,
}

impl Operation {
    /// Whether it is a change that was applied.
    pub fn was_applied(&self) -> bool {
        matches!(
            self.result,
            OperationResult::Completed(Outcome::Applied { .. })
        )
    }

    /// The version that the result shows to the operator.
    pub fn observed_version(&self) -> Option<u64> {
        match &self.result {
            OperationResult::Completed(
                Outcome::Applied { version } | Outcome::Stale { version },
            ) => Some(*version),
            OperationResult::ReadVersion(version) => Some(*version),
            _ => None,
        }
    }
}

impl Sim {
    fn start_operation(&mut self, node: usize, kind: OperationKind) -> ProposalId {
        let proposal_id = self.operations.len() as ProposalId + 1;
        self.operations.push(Operation {
            proposal_id,
            node,
            kind,
            start: self.now,
            end: 0,
            result: OperationResult::Pending,
            retried: false,
        });
        proposal_id
    }

    /// Proposes to evacuate or readmit a zone, based on version `base`.
    pub fn propose_change(&mut self, node: usize, base: u64) -> ProposalId {
        let proposal_id = self.start_operation(node, OperationKind::ProposeChange { base });
        let zone = (proposal_id % self.site.zones.len() as ProposalId) as u16;
        let command = Command::EvacuateZone {
            base,
            zone,
            evacuated: proposal_id.is_multiple_of(2),
        };
        let body = Body::Data(Arc::new(encode(&command)));
        self.deliver(node, Event::Propose { proposal_id, body });
        proposal_id
    }

    /// Proposes any change based on version `base`.
    pub fn propose_command(&mut self, node: usize, base: u64, command: &Command) -> ProposalId {
        let proposal_id = self.start_operation(node, OperationKind::ProposeChange { base });
        let body = Body::Data(Arc::new(encode(command)));
        self.deliver(node, Event::Propose { proposal_id, body });
        proposal_id
    }

    /// Proposes the same change under the same id at this node; a read is not retried.
    pub fn retry(&mut self, node: usize, proposal_id: ProposalId) {
        let operation = &mut self.operations[proposal_id as usize - 1];
        operation.retried = true;
        let OperationKind::ProposeChange { base } = operation.kind else {
            return;
        };
        let zone = (proposal_id % self.site.zones.len() as ProposalId) as u16;
        let command = Command::EvacuateZone {
            base,
            zone,
            evacuated: proposal_id.is_multiple_of(2),
        };
        let body = Body::Data(Arc::new(encode(&command)));
        self.deliver(node, Event::Propose { proposal_id, body });
    }

    /// Starts a linearizable read.
    pub fn read(&mut self, node: usize) -> ProposalId {
        let proposal_id = self.start_operation(node, OperationKind::Read);
        self.deliver(
            node,
            Event::Read {
                request_id: proposal_id as u64,
            },
        );
        proposal_id
    }

    /// The operation with this id, which must exist.
    pub fn operation(&self, proposal_id: ProposalId) -> &Operation {
        &self.operations[proposal_id as usize - 1]
    }

    /// Records the first result of an operation.
    fn complete(&mut self, proposal_id: ProposalId, result: OperationResult) {
        let now = self.now;
        if let Some(operation) = self.operations.get_mut(proposal_id as usize - 1) {
            if operation.result == OperationResult::Pending {
                operation.result = result;
                operation.end = now;
            }
        }
    }

    pub(crate) fn proposal_completed(
        &mut self,
        proposal_id: ProposalId,
        result: Result<Arc<Vec<u8>>, ProposalError>,
    ) {
        let result = match result {
            Ok(bytes) => {
                decode(&bytes).map_or(OperationResult::Unknown, OperationResult::Completed)
            }
            Err(ProposalError::OutcomeUnknown) => OperationResult::Unknown,
            Err(ProposalError::Dropped) => OperationResult::Dropped,
        };
        self.complete(proposal_id, result);
    }

    pub(crate) fn read_completed(&mut self, node: usize, request_id: u64, ok: bool) {
        let version = self.nodes[node]
            .replicated_state()
            .map(|state| state.version());
        let result = version
            .filter(|_| ok)
            .map_or(OperationResult::Unknown, OperationResult::ReadVersion);
        self.complete(ProposalId::from(request_id), result);
    }

    /// Operations pending at a node that crashes get no result.
    pub(crate) fn fail_pending_operations(&mut self, node: usize) {
        for operation in &mut self.operations {
            if operation.node == node && operation.result == OperationResult::Pending {
                operation.result = OperationResult::Unknown;
            }
        }
    }
}
