//! Membership of the consensus group: the Global Leader compares the members that
//! it observes with a policy, and proposes one change at a time.

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
