//! Errors of proposals.

use snafu::Snafu;

/// Why a proposal ended without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ProposalError {
    /// The proposal may or may not be committed later. A retry with the same id is
    /// safe and returns the outcome.
    #[snafu(display("the outcome of the proposal is unknown"))]
    OutcomeUnknown,
    /// The proposal was not sent to any leader, so it never takes effect.
    #[snafu(display("the proposal was dropped: no capacity, no leader or a failed disk"))]
    Dropped,
}
