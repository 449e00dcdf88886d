//! The core node: consensus, sessions, delivery, duties.

mod api;
mod claims;
mod deliver;
mod duty;
mod events;
mod found;
mod hub;
mod regions;
mod run;
mod status;

pub use events::{HubEvent, HubFx, OpFrom, Start, Want};
pub use hub::Hub;
pub use run::run;
