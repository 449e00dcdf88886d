//! The edge node: callers' errands, under a setup it can show is current.

mod api;
mod hall;
mod relay;
mod run;
mod session;

pub use hall::{Hall, HallEvent, HallFx};
pub use run::{run, run_with};
