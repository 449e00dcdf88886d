//! One attempt at a worker: its connection, the request written to it, and the
//! response checked and forwarded.

mod attempt_runner;
mod connection_pool;
mod event_stream;
mod exchange;
mod request_sender;
mod response_body;
pub mod response_class;
mod response_head;
mod stream_relay;
mod worker_wait;

pub use attempt_runner::run_attempt;
pub use connection_pool::ConnectionPool;
pub use exchange::{AttemptResult, ClientRequest, Exchange};
