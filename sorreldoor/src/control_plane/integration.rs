//! The interfaces of a core towards the platform that it runs on: where its
//! list of workers is read, and who serves its operators.

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
/// A read over HTTP takes no longer.
const HTTP_TIMEOUT: Duration = Duration::from_secs(1);
/// A list is no longer than this.
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

/// Where the list of workers is read.
pub trait WorkerSource: Send + Sync + 'static {
    /// Interval between two reads, in milliseconds.
    fn poll_interval_ms(&self) -> u64;

    /// Whether lists carry versions of the source's own. If so every core
    /// reads them; if not, only the holder of the singleton role does, and
    /// numbers them, and the version that `poll` gives is ignored.
    fn is_versioned(&self) -> bool;

    /// Reads the list once; must end within five seconds.
    ///
    /// # Errors
    /// Why there is no list, in words for the log; there are no partial lists.
    fn poll(&self) -> BoxFuture<Result<WorkerRegistry, String>>;
}

/// Serves operators' requests by means of the controller.
pub trait OperatorServer: Send + 'static {
    /// Starts to listen before the core runs, and serves until `shutdown` begins.
    ///
    /// # Errors
    /// Why it cannot listen; the core then does not start.
    fn start(
        self,
        client: ControllerClient,
        shutdown: http::ShutdownHandle,
    ) -> Result<(), StartError>;
}

/// The list of workers over HTTP as JSON, under versions of its source.
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
