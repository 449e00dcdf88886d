//! Keeping the core's state on disk; nothing counts before it is synced.

mod disk;
mod durable_state;
mod durable_store;
mod frame;
mod legacy;
mod probe;
mod recovery;

pub use disk::{Disk, Folder};
pub use durable_state::{Change, DurableState};
pub use durable_store::{DurableStore, Opened};
pub use legacy::Before;
pub use probe::probe_folder;

use crate::consensus::Save;
use std::io;

/// The two files of a store. They are made once and never renamed or removed.
pub const FILES: [&str; 2] = ["state-a", "state-b"];

/// A place for what a core keeps. What was given is durable when a call has
/// returned Ok. After an error the same call is to be made again: until one
/// succeeds, the change may or may not be on the disk.
pub trait Store: Send {
    /// # Errors
    /// The disk refuses.
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()>;
    /// Keeps a small value under a name.
    ///
    /// # Errors
    /// The disk refuses.
    fn put(&mut self, name: &str, value: &[u8]) -> io::Result<()>;
}
