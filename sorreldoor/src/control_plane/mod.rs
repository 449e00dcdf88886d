//! The control plane: the core node, its parts, and the router between them.
//!
//! [`Controller`] is a reducer: events in, effects out. It routes each event to
//! the part that owns the state concerned, and turns what the part returns into
//! effects, which the daemon carries out. No part knows the controller.
//!
//! | part | owns |
//! | --- | --- |
//! | `connections` | open connections, and when each was last used |
//! | `sessions` | edges' sessions here and on other cores; the endpoint list |
//! | `distribution`, `updates` | deltas to edges, and large updates in flight |
//! | `reads` | linearizable reads that wait for a proof of leadership |
//! | `proposals` | who waits for the outcome of a change; ids |
//! | `bootstrap` | the promised founders; addresses of the other cores |
//! | `idempotency` | claims on request ids: the claim table, votes, catch-up |
//! | `membership` | the policy of voters, and which cores are stopping |
//! | `singleton` | the singleton role: polls, regions, weight tuning |
//! | `worker_list`, `load_table` | the list of workers, and their loads |
//!
//! Around the controller, `daemon` runs the event loop, `storage_driver` writes
//! the store, `polling` reads the platform and the workers, `client` is the
//! handle of other tasks, and `api` serves operators over HTTP.

mod api;
mod bootstrap;
mod client;
mod connections;
mod controller;
mod daemon;
mod distribution;
mod events;
pub mod idempotency;
mod integration;
mod load_table;
pub mod membership;
mod polling;
mod proposals;
mod reads;
mod sessions;
mod singleton;
mod status;
mod storage_driver;
pub mod updates;
pub mod worker_list;

pub use crate::start_error::StartError;
pub use api::{Api, HttpOperatorServer};
pub use client::{ControllerClient, ControllerReply, PendingRequests, StateSnapshot};
pub use controller::Controller;
pub use daemon::{run, run_with_integrations, run_with_store};
pub use events::{ControllerConfig, ControllerEffect, ControllerEvent, Requester, WorkerAddress};
pub use idempotency::RETENTION_MS;
pub use integration::{bind, BoxFuture, HttpWorkerSource, OperatorServer, WorkerSource};
pub use sessions::EndpointList;
