//! Why a node cannot start.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a node cannot start. Each needs a change of the settings or of the
/// machine; to start it again unchanged is of no use.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// The data folder is missing or not accessible.
    #[snafu(display("data: cannot use {}: {source}", folder.display()))]
    OpenStore {
        /// The data folder.
        folder: PathBuf,
        /// Why it cannot be used.
        source: io::Error,
    },

    /// The settings give no address for frames.
    #[snafu(display("listen: is missing"))]
    NoListenAddress,

    /// The address that `setting` gives cannot be listened on.
    #[snafu(display("{setting}: cannot bind {address}: {source}"))]
    Bind {
        /// The setting that gives the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: io::Error,
    },

    /// The handler for the stop signals cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why it cannot be installed.
        source: io::Error,
    },
}
