//! Stub workers, fleet runner, emulator and simulators for sorreldoor; never shipped.

pub mod capacity;
pub mod disk;
pub mod emulator;
pub mod experiment;
pub mod faulty_node;
pub mod fleet;
mod fleet_faults;
mod fleet_workers;
pub mod gateway_soak;
pub mod hosted_soak;
pub mod link;
pub mod presets;
pub mod rand;
pub mod raw_worker;
pub mod sim;
pub mod site;

pub mod stub_platform;
pub mod stub_worker;
pub mod sync;
