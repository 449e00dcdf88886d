//! The source of the seeds while a process runs.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Reads the seeds again from where the settings came from.
#[derive(Clone)]
pub struct SeedSource(Arc<dyn Fn() -> Option<Vec<SocketAddr>> + Send + Sync>);

impl SeedSource {
    /// A source that calls `read`, which returns `None` if the seeds cannot be read.
    pub fn new(read: impl Fn() -> Option<Vec<SocketAddr>> + Send + Sync + 'static) -> SeedSource {
        SeedSource(Arc::new(read))
    }

    /// The seeds now; `None` if they cannot be read.
    #[must_use]
    pub fn read(&self) -> Option<Vec<SocketAddr>> {
        (self.0)()
    }
}

impl fmt::Debug for SeedSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SeedSource")
    }
}
