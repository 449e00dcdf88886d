//! sorreldoor: serving of a language model across regions.

pub mod agree;
pub mod core;
pub mod ctl;
pub mod doctor;
pub mod edge;
pub mod errand;
pub mod events;
pub mod http;
pub mod js;
pub mod net;
pub mod ops;
pub mod place;
pub mod problem;
pub mod proxy;
pub mod pull;
pub mod record;
pub mod roster;
pub mod rules;
mod run;
pub mod seam;
pub mod settings;
pub mod setup;
pub mod store;
pub mod thrift;
pub mod tune;
pub mod wire;
