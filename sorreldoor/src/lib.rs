//! sorreldoor: serving of a language model across regions.

pub mod consensus;
pub mod core;
pub mod ctl;
pub mod doctor;
pub mod edge;
pub mod errand;
pub mod events;
pub mod http;
pub mod json;
pub mod net;
pub mod operator_api;
pub mod order_id;
pub mod pacing;
pub mod place;
pub mod problem;
pub mod proxy;
pub mod pull;
pub mod record;
pub mod registry;
pub mod rules;
mod run;
pub mod seam;
pub mod settings;
pub mod setup;
pub mod store;
pub mod tune;
pub mod wire;
