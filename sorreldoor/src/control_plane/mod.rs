//! The control plane: the core node, its parts, and the router between them.

mod api;
mod connections;
mod controller;
mod daemon;
mod distribution;
mod events;
mod founding;
mod front;
pub mod idempotency;
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
pub use controller::Controller;
pub use daemon::{run, run_by, run_with};
pub use events::{ControllerEffect, ControllerEvent, Requester, Start};
pub use front::{Answers, Front, Looked, Reply};
pub use idempotency::RETENTION_MS;
pub use sessions::EndpointList;
pub use source::{Later, Listed, OperatorDoor, WorkerSource};
