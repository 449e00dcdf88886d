//! The frame protocol between the nodes of a site: message types and their
//! encoding.

mod bootstrap;
mod claims;
mod codec;
mod core_addresses;
mod hello;
mod lease;
mod payload;
mod session;

pub use bootstrap::BootstrapMessage;
pub use claims::{ClaimVote, ClaimsPage, SentRequest, VoteId};
pub use codec::{
    decode_frame, encode_frame, frame_length, stable_hash, FrameError, MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
};
pub use core_addresses::CoreAddresses;
pub use hello::Hello;
pub use lease::{EncodedUpdate, KnownVersions, StateDelta, Unverified, LARGE_UPDATE_BYTES};
pub use payload::{Payload, ProposalOutcome};
pub use session::{EdgeEndpoint, EdgeSession, EdgeStatus, RouteLatency, SessionReport};

/// Whether a value equals its default, so that serialization skips the field.
fn is_default<T: Default + PartialEq>(t: &T) -> bool {
    *t == T::default()
}
