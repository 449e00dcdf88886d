//! Keeping the core's log on disk; nothing counts before it is synced.

mod durable_state;
mod wal;

pub use durable_state::DurableState;
pub use wal::{keep_file, read_file, Opened, WalStore};

use crate::consensus::Save;
use std::io;

/// A place for saves. A batch is safe when `save` has returned Ok; after an
/// error nothing more may be asked of the store.
pub trait Store: Send {
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()>;
}

#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreProblem {
    #[snafu(display("data: cannot use {path}: {source}"))]
    Unusable { path: String, source: io::Error },
    #[snafu(display(
        "data: the log in {path} is damaged before its end ({what}); \
         replace this core by a blank one, do not repair the log by hand"
    ))]
    Corrupt { path: String, what: String },
    #[snafu(display(
        "data: the image in {path} cannot be read; replace this core by a blank one"
    ))]
    Image { path: String },
}
