//! The reverse proxy of hosted routes: requests and responses pass byte for
//! byte, the balancer decides where each attempt goes, and a [`Dialect`] knows
//! the names of headers.
//!
//! The way of a request: [`accept_connections`] → `serve_connection` → `request_reader` →
//! `forward_request` (one round per attempt) → `upstream::run_attempt`.

mod client;
mod controller;
mod daemon;
mod delivery;
mod dialect;
mod drain;
mod forward_request;
pub mod http1;
mod listener;
mod plain_dialect;
mod request_reader;
pub mod request_state;
mod response_writer;
mod serve_connection;
mod shared_state;
mod status_endpoint;
mod upstream;
mod usage_reporter;

pub use controller::{ControllerEffect, ControllerEvent, ProxyController, ReadyEdge};
pub use daemon::{run, ProxyOptions};
pub use dialect::{Dialect, ForwardHeaders, PromptSegment, RequestMetadata, ResponseMetadata};
pub use listener::accept_connections;
pub use plain_dialect::PlainDialect;
pub use shared_state::SharedState;
pub use status_endpoint::{
    serve_status_endpoint, NodeStatus, RequestHandler, StatusEndpoint, StatusHandler,
    StatusResponse,
};
pub use upstream::response_class;
pub use usage_reporter::UsageReporter;
