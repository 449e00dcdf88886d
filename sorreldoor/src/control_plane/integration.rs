//! The interfaces between a core and the platform that it runs on: the source of
//! the list of workers, and the server of operators' requests.

use super::client::ControllerClient;
use crate::discovery::{self, WorkerRegistry};
use crate::http::{self, Call};
use crate::settings::Settings;
use crate::start_error::{BindSnafu, StartError};
use async_std::net::TcpListener;
use async_std::task;
use snafu::ResultExt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Interval of reads over HTTP.
const HTTP_POLL_MS: u64 = 500;
/// Time-out of a read over HTTP.
const HTTP_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a list read over HTTP.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A future that may be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Listens on the address that `setting` gives.
///
/// # Errors
/// If the address cannot be bound.
pub fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    task::block_on(TcpListener::bind(address)).context(BindSnafu { setting, address })
}

/// A source of the list of workers.
pub trait WorkerSource: Send + Sync + 'static {
    /// Interval between two reads, in milliseconds.
    fn poll_interval_ms(&self) -> u64;

    /// Whether lists have versions of the source's own. If so, every core reads
    /// them. If not, only the holder of the singleton role reads and numbers them,
    /// and the version that `poll` returns is ignored.
    fn is_versioned(&self) -> bool;

    /// Reads the list once; must end within five seconds.
    ///
    /// # Errors
    /// Why there is no list, as text for the log. A list is never partial.
    fn poll(&self) -> BoxFuture<Result<WorkerRegistry, String>>;
}

/// A server of operators' requests, which it passes to the controller.
pub trait OperatorServer: Send + 'static {
    /// Starts to listen before the core runs, and serves until `shutdown` begins.
    ///
    /// # Errors
    /// If it cannot listen; the core then does not start.
    fn start(
        self,
        client: ControllerClient,
        shutdown: http::ShutdownHandle,
    ) -> Result<(), StartError>;
}

/// The list of workers as JSON over HTTP, with versions of its source.
pub struct HttpWorkerSource {
    /// The settings of this core.
    pub settings: Arc<Settings>,
    /// Address of the platform.
    pub address: SocketAddr,
}

impl WorkerSource for HttpWorkerSource {
    fn poll_interval_ms(&self) -> u64 {
        HTTP_POLL_MS
    }

    fn is_versioned(&self) -> bool {
        true
    }

    fn poll(&self) -> BoxFuture<Result<WorkerRegistry, String>> {
        let (settings, at) = (self.settings.clone(), self.address);
        Box::pin(async move {
            let to = settings.dial_address(at);
            let result = http::call(to, Call::get("/workers"), MAX_LIST_BYTES, HTTP_TIMEOUT).await;
            let response = result.map_err(|error| format!("{at}: {error:?}"))?;
            match response.status {
                200 => discovery::read_registry(&response.body, &settings.names),
                status => Err(format!("{at}: status {status}")),
            }
        })
    }
}
