//! The interface of the replicated state machine.

use crate::types::ProposalId;
use std::sync::Arc;

/// A deterministic state machine, to which every replica applies the same entries in
/// the order of the log.
pub trait StateMachine {
    /// Apply one committed entry; returns the outcome for its proposer.
    fn apply(&mut self, index: u64, proposal_id: ProposalId, data: &[u8]) -> Vec<u8>;
    /// The outcome of a proposal that was applied before; `None` if it was not, or is
    /// no longer recorded.
    fn recorded_outcome(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>>;
    /// The whole state, serialized, for a snapshot.
    fn image(&self) -> Vec<u8>;
    /// Replace the state by an image; returns false without a change if it is invalid.
    fn load(&mut self, image: &[u8]) -> bool;
}
