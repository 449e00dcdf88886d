//! The control plane: the core node, its parts, and the router between them.

mod api;
pub mod book;
mod claims;
mod client;
mod connections;
mod controller;
mod daemon;
mod distribution;
mod events;
mod founding;
mod integration;
mod learn;
mod load_table;
pub mod membership;
mod polling;
mod proposals;
mod reads;
mod sessions;
mod singleton;
mod start_error;
mod status;
mod storage_driver;
pub mod updates;
pub mod worker_list;

pub use api::{Api, HttpOperatorServer};
pub use book::KEEP_MS;
pub use client::{ControllerClient, ControllerReply, PendingRequests, StateSnapshot};
pub use controller::Controller;
pub use daemon::{run, run_by, run_with};
pub use events::{ControllerConfig, ControllerEffect, ControllerEvent, Requester, WorkerAddress};
pub use integration::{BoxFuture, HttpWorkerSource, OperatorServer, WorkerSource};
pub use sessions::EndpointList;
pub use start_error::StartError;
