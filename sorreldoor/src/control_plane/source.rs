//! The seams of a core towards the machines it runs on: where its list of
//! workers comes from, and who serves its operators.

use super::front::Front;
use crate::discovery::{self, WorkerRegistry};
use crate::http::{self, Call};
use crate::settings::Settings;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Something that is told later.
pub type Later<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Where the list of workers is read.
pub trait WorkerSource: Send + Sync + 'static {
    /// Milliseconds between two readings.
    fn pace_ms(&self) -> u64;

    /// Whether lists bear numbers of the source's own. If so every core reads
    /// them; if not, the holder of the duty alone does, and numbers them, and
    /// the serial of what `poll` gives means nothing.
    fn numbered(&self) -> bool;

    /// Reads the list once; to be done within five seconds.
    ///
    /// # Errors
    /// Why there is no list, in words for the log; half a list is none.
    fn poll(&self) -> Later<Result<WorkerRegistry, String>>;
}

/// Who takes operators' calls and brings them to the core.
pub trait OperatorDoor: Send + 'static {
    /// Opens before the core runs, and serves until the gate is shut.
    ///
    /// # Errors
    /// Why it cannot open, in words; the core then does not start.
    fn open(self, front: Front, gate: http::Gate) -> Result<(), String>;
}

/// The list over HTTP as JSON, under serials of its source.
pub struct Listed {
    pub set: Arc<Settings>,
    pub at: SocketAddr,
}

impl WorkerSource for Listed {
    fn pace_ms(&self) -> u64 {
        500
    }

    fn numbered(&self) -> bool {
        true
    }

    fn poll(&self) -> Later<Result<WorkerRegistry, String>> {
        let (set, at) = (self.set.clone(), self.at);
        Box::pin(async move {
            let (to, most) = (set.dial_address(at), Duration::from_secs(1));
            let got = http::call(to, Call::get("/workers"), 1 << 20, most).await;
            got.map_err(|b| format!("{at}: {b:?}"))
                .and_then(|c| match c.status {
                    200 => discovery::read_registry(&c.body, &set.names),
                    s => Err(format!("{at}: status {s}")),
                })
        })
    }
}
