//! Stand-ins, fleet runner and simulator for sorreldoor; never shipped.

mod feed;
pub mod fleet;
pub mod link;
pub mod platform;
pub mod rand;
pub mod sim;
pub mod stand;
