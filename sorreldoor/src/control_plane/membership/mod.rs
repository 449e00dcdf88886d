//! Membership of the consensus group: the changes that follow from what the
//! leader observes.

mod reducer;
mod spread;

pub use reducer::{
    learner, Health, Membership, MembershipChange, Observed, Policy, Shortfall, Why,
};
pub use spread::Spread;
