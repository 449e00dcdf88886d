//! The replicated state machine as the reducer uses it.

use crate::types::ProposalId;
use std::sync::Arc;

/// The replicated state machine.
pub trait StateMachine {
    /// Apply one committed entry; the outcome goes to its proposer.
    fn apply(&mut self, index: u64, proposal_id: ProposalId, data: &[u8]) -> Vec<u8>;
    /// The first outcome of a proposal that was applied before.
    fn recorded_outcome(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>>;
    /// The whole state, serialized, for a snapshot.
    fn image(&self) -> Vec<u8>;
    /// Replace the state by an image; false, and no change, if it is invalid.
    fn load(&mut self, image: &[u8]) -> bool;
}
