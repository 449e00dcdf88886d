//! One attempt at a worker: its connection, the request written to it, and the
//! response checked and forwarded.

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
