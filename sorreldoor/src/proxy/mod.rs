//! Hosted routes carried to workers: requests pass byte for byte, decisions
//! are the table's, and names of headers are a dialect's.

mod answer;
pub mod body;
mod carry;
mod client;
pub mod dialect;
mod door;
mod front;
pub mod http1;
mod listen;
mod plain;
mod pool;
mod run;
mod shared;
mod stream;
pub mod table;

pub use dialect::{Asked, Dialect, Forward, Part, Told};
pub use door::{serve as serve_door, Answer};
pub use front::{Front, FrontEvent, FrontFx, Seen};
pub use plain::Plain;
pub use run::{accept, run, Answering, Door, Shown, Start};
pub use shared::Shared;
