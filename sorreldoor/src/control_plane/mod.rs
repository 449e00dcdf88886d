//! The core node: consensus, sessions, delivery, duties.

mod api;
mod connections;
mod controller;
mod delivery;
mod duty;
mod events;
mod founding;
mod front;
pub mod idempotency;
mod idempotency_driver;
pub mod membership;
mod reads;
mod regions;
mod run;
mod saving;
mod source;
mod start;
mod status;
pub mod updates;
pub mod worker_list;

pub use api::{Api, Door};
pub use controller::Controller;
pub use events::{ControllerEffect, ControllerEvent, OpFrom, Start, Want};
pub use front::{Answers, Front, Looked, Reply};
pub use idempotency::RETENTION_MS;
pub use run::{run, run_by, run_with};
pub use source::{Later, Listed, OperatorDoor, WorkerSource};
