//! Stand-ins, fleet runner and simulator for sorreldoor; never shipped.

pub mod disk;
pub mod emulator;
pub mod experiment;
mod feed;
pub mod fleet;
mod hands;
pub mod hollow;
pub mod link;
pub mod platform;
pub mod presets;
pub mod rand;
pub mod raw;
pub mod sim;
pub mod site;
pub mod soak;
pub mod stand;
pub mod tricks;
