//! The edge node: accepts callers' requests and sends them to workers, while
//! it holds a lease that proves its configuration current.

mod api;
mod controller;
mod event;
mod queries;
mod relay;
mod releases;
pub mod request_table;
mod run;
mod session;
mod status;

pub use controller::EdgeController;
pub use event::{EdgeEffect, EdgeEvent};
pub use run::{run, run_with};
