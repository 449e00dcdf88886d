//! The edge node: accepts callers' requests and sends them to workers, while
//! it holds a lease that proves its configuration current.

mod api;
mod attempt;
mod controller;
mod event;
mod event_stream_body;
mod pending_calls;
mod queries;
mod releases;
mod request_api;
pub mod request_table;
mod run;
mod session;
mod status;
mod stream_relay;
mod worker_exchange;

pub use controller::EdgeController;
pub use event::{EdgeEffect, EdgeEvent};
pub use run::{run, run_with};
