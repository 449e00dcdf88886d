//! The reverse proxy of hosted routes. It forwards requests and responses byte
//! for byte, except for hop-by-hop headers and those that a [`Dialect`] defines.
//! The balancer chooses a worker for each attempt and decides on retries.
//!
//! A request passes through [`accept_connections`], `serve_connection`,
//! `request_reader`, `forward_request` (a loop over the attempts), and
//! `upstream::run_attempt`.

mod client;
mod confirmed_rejection;
mod controller;
mod daemon;
mod delivery;
mod dialect;
mod drain;
mod forward_request;
pub mod http1;
mod listener;
mod plain_dialect;
mod ready_edge;
mod request_reader;
pub mod request_state;
mod response_writer;
mod serve_connection;
mod shared_state;
mod status_endpoint;
mod upstream;
mod usage_reporter;

pub use controller::{ControllerEffect, ControllerEvent, ProxyController};
pub use daemon::{run, ProxyOptions};
pub use dialect::{Dialect, ForwardHeaders, PromptSegment, RequestMetadata, ResponseMetadata};
pub use drain::{Drain, DrainStatus};
pub use listener::accept_connections;
pub use plain_dialect::PlainDialect;
pub use ready_edge::ReadyEdge;
pub use shared_state::SharedState;
pub use status_endpoint::{
    serve_status_endpoint, NodeStatus, RequestHandler, StatusEndpoint, StatusHandler,
    StatusResponse,
};
pub use upstream::response_class;
pub use usage_reporter::UsageReporter;
