//! Hosted routes carried to workers: requests pass byte for byte, decisions
//! are the table's, and names of headers are a dialect's.

mod answer;
pub mod attempt;
mod await_head;
pub mod body;
mod carry;
mod client;
mod delivery;
pub mod dialect;
mod door;
mod events;
mod exchange;
mod front;
pub mod http1;
mod plain_dialect;
mod pool;
mod read_whole;
mod run;
mod send;
mod serve;
mod shared;
mod stream;
pub mod verdict;
mod wait;

pub use dialect::{Dialect, ForwardHeaders, PromptSegment, RequestMetadata, ResponseMetadata};
pub use door::{serve as serve_status_endpoint, Answer};
pub use front::{ControllerEffect, ControllerEvent, ProxyController, ReadyEdge};
pub use plain_dialect::PlainDialect;
pub use run::{accept, run, Door, NodeStatus, ProxyOptions, StatusHandler};
pub use shared::SharedState;
