//! Membership of the consensus group: the changes that follow from what the
//! leader observes.

mod change;
mod from_settings;
mod observed;
mod policy;
mod reducer;
mod spread;

pub use change::{MembershipChange, Reason};
pub use observed::{Health, Observation};
pub use policy::{MembershipPolicy, VoterMismatch};
pub use reducer::{joining_learner, Membership};
pub use spread::Spread;
