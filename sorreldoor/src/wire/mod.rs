//! Frames between the nodes of a site: the messages, and their encoding.

mod bootstrap;
mod claims;
mod codec;
mod hello;
mod lease;
mod payload;
mod session;

pub use bootstrap::BootstrapMessage;
pub use claims::{ClaimVote, ClaimsPage, SentRequest, VoteId};
pub use codec::{length, mark, pack, unpack, Refused, MOST_FRAME, PROTO};
pub use hello::Hello;
pub use lease::{EncodedUpdate, KnownVersions, StateDelta, Unverified, LARGE_UPDATE};
pub use payload::{Payload, ProposalOutcome};
pub use session::{EdgeEndpoint, EdgeSession, EdgeStatus, RouteLatency, SessionReport};

/// Whether a field has its default and is left out of the frame.
fn zero<T: Default + PartialEq>(t: &T) -> bool {
    *t == T::default()
}
