//! The edge node: callers' errands, under a setup it can show is current.

mod api;
mod controller;
mod relay;
pub mod request_table;
mod run;
mod session;
mod status;

pub use controller::{EdgeController, EdgeEffect, EdgeEvent};
pub use run::{run, run_with};
