//! The control plane: the core node, its parts, and the router between them.

mod api;
pub mod book;
mod claims;
mod connections;
mod controller;
mod daemon;
mod distribution;
mod events;
mod founding;
mod front;
mod learn;
mod load_table;
pub mod membership;
mod proposals;
mod reads;
mod sessions;
mod singleton;
mod source;
mod status;
mod storage_driver;
pub mod updates;
pub mod worker_list;

pub use api::{Api, Door};
pub use book::KEEP_MS;
pub use controller::Controller;
pub use daemon::{run, run_by, run_with};
pub use events::{ControllerEffect, ControllerEvent, Requester, Start};
pub use front::{Answers, Front, Looked, Reply};
pub use sessions::EndpointList;
pub use source::{Later, Listed, OperatorDoor, WorkerSource};
