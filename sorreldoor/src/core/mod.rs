//! The core node: consensus, sessions, delivery, duties.

mod api;
mod book;
mod claims;
mod deliver;
mod duty;
mod events;
mod found;
mod hub;
mod learn;
mod lines;
mod regions;
mod run;
mod status;

pub use book::KEEP_MS;
pub use events::{HubEvent, HubFx, OpFrom, Start, Want};
pub use hub::Hub;
pub use run::{run, run_with};
