//! sorreldoor routes requests for a language model across regions.
//!
//! docs/architecture.md describes the programs and the owners of state;
//! docs/glossary.md defines the terms.

#![deny(missing_docs)]

pub mod balancer;
pub mod configuration;
pub mod consensus;
pub mod control_plane;
pub mod core_search;
pub mod ctl;
pub mod discovery;
pub mod doctor;
pub mod error;
pub mod freshness;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod invariants;
pub mod json;
pub mod log_events;
pub mod metrics;
pub mod net;
pub mod operator_api;
pub mod pacing;
pub mod placement;
pub mod proxy;
pub mod quota;
pub mod replicated_state;
mod run;
pub mod runtime;
pub mod settings;
pub mod start_error;
pub mod store;
pub mod subscription;
mod sync;
pub mod types;
pub mod weight_tuning;
pub mod wire;
