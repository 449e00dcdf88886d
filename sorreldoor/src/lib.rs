//! sorreldoor: serving of a language model across regions.

pub mod agree;
pub mod events;
pub mod js;
pub mod problem;
pub mod record;
pub mod setup;
pub mod store;
