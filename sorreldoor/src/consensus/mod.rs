//! CD-Raft as a pure reducer: an event and the time go in, effects come out.
//! Nothing in here reads a clock, does I/O or starts a thread.

mod accept;
mod chunk;
mod commit;
mod elect;
mod log;
mod node;
pub mod position;
pub mod quorum;
mod reads;
mod reconfigure;
mod replicate;
mod state;
mod tally;
mod term;
mod transfer;
mod types;

pub use chunk::{Chunk, ContentHeader};
pub use log::Log;
pub use node::{Consensus, Kept};
pub use position::{best, Load};
pub use transfer::{CHUNK_BYTES, WINDOW_BYTES};
pub use types::*;
