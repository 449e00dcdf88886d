//! The core node: consensus, sessions, delivery, duties.

mod api;
mod book;
mod claims;
mod deliver;
mod duty;
mod events;
mod found;
mod front;
mod hub;
mod learn;
mod lines;
mod regions;
mod run;
mod source;
mod start;
mod status;

pub use api::{Api, Door};
pub use book::KEEP_MS;
pub use events::{HubEvent, HubFx, OpFrom, Start, Want};
pub use front::{Answers, Front, Looked, Reply};
pub use hub::Hub;
pub use run::{run, run_by, run_with};
pub use source::{Later, Listed, OperatorDoor, WorkerSource};
