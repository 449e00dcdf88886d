//! One attempt at a worker: acquires a pooled or new connection, writes the
//! request, and validates and forwards the response.

mod attempt;
mod connection_pool;
mod event_stream;
mod request_sender;
mod response_body;
pub mod response_class;
mod response_head;
mod run_attempt;
mod stream_relay;
mod worker_wait;

pub use attempt::{Attempt, AttemptResult, ClientRequest};
pub use connection_pool::ConnectionPool;
pub use run_attempt::run_attempt;
