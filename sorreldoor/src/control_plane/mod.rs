//! The control plane: a core node, its parts, and the reducer that connects them.
//!
//! [`Controller`] is a reducer: events in, effects out. It routes each event to
//! the part that owns the state concerned, and converts the part's results into
//! effects, which the daemon carries out. No part depends on the controller.
//!
//! | part | owns |
//! | --- | --- |
//! | `connections` | open connections, and when each last carried a frame |
//! | `sessions` | sessions of edges on this core and on others; the endpoint list |
//! | `distribution`, `updates` | the state sent to edges, and large updates in flight |
//! | `reads` | linearizable reads that wait for a confirmation of leadership |
//! | `proposals` | requesters that wait for the outcome of a change; ids |
//! | `zone_history` | how often zones were evacuated or returned, as known at recent times |
//! | `bootstrap` | the promised founders; addresses of other cores |
//! | `idempotency` | claims on request ids: the claim table, votes, catch-up |
//! | `membership` | the membership policy, and which cores are stopping |
//! | `singleton` | the singleton role: load polls, region recovery, weight tuning |
//! | `worker_list`, `load_table` | the list of workers; their loads |
//!
//! Around the controller, `daemon` runs the event loop, `storage_driver` writes
//! the store, `polling` polls the platform and the workers, `client` is the handle
//! for other tasks, `integration` has the traits that a platform implements, and
//! `api` serves operators over HTTP.

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
mod zone_history;

pub use crate::start_error::StartError;
pub use api::{Api, HttpOperatorServer};
pub use client::{ControllerClient, ControllerReply, PendingRequests, StateSnapshot};
pub use controller::Controller;
pub use daemon::{run, run_with_integrations, run_with_store};
pub use events::{ControllerConfig, ControllerEffect, ControllerEvent, Requester, WorkerAddress};
pub use idempotency::RETENTION_MS;
pub use integration::{bind, BoxFuture, HttpWorkerSource, OperatorServer, WorkerSource};
pub use sessions::EndpointList;
