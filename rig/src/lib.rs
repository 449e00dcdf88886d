//! Stand-ins and simulator for sorreldoor; never shipped.

pub mod rand;
pub mod sim;
