//! Durable storage of a core: a checkpoint and a write-ahead log of numbered
//! records. A change is reported as stored only after it is synced.

mod damage;
mod disk;
mod durable_state;
mod durable_store;
mod legacy;
mod log_files;
mod probe;
mod record;
mod recovery;

pub use damage::Damage;
pub use disk::{Directory, Disk};
pub use durable_state::{Change, DurableState};
pub use durable_store::{DurableStore, OpenedStore};
pub use legacy::LegacyState;
pub use probe::probe_directory;

use crate::consensus::Save;
use std::io;

/// The two files of a store. They are created once and never renamed or
/// removed.
pub const FILES: [&str; 2] = ["state-a", "state-b"];

/// Storage of a core's state. A change is durable once the call returns `Ok`.
/// After an error the caller must retry the same call; until a retry succeeds,
/// the change may or may not be on the disk.
pub trait Store: Send {
    /// Stores a batch of saves with their sequence numbers.
    ///
    /// # Errors
    /// A disk operation fails.
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()>;
    /// Stores a small value under a name.
    ///
    /// # Errors
    /// A disk operation fails.
    fn put(&mut self, name: &str, value: &[u8]) -> io::Result<()>;
}
