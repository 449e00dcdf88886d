//! The core node: consensus, sessions, delivery, duties.

mod api;
pub mod book;
mod claims;
mod connections;
mod controller;
mod delivery;
mod duty;
mod events;
mod founding;
mod front;
mod learn;
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
pub use book::KEEP_MS;
pub use controller::Controller;
pub use events::{ControllerEffect, ControllerEvent, OpFrom, Start, Want};
pub use front::{Answers, Front, Looked, Reply};
pub use run::{run, run_by, run_with};
pub use source::{Later, Listed, OperatorDoor, WorkerSource};
