//! Errors that prevent a node from starting.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The reason why a node cannot start. A retry fails again unless the settings or
/// the machine change.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// The data folder is missing or not accessible.
    #[snafu(display("data: cannot use folder {}: {source}", folder.display()))]
    OpenStore {
        /// The data folder.
        folder: PathBuf,
        /// Why it cannot be used.
        source: io::Error,
    },

    /// The settings have no listen address for connections between nodes.
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
    #[snafu(display("signals: cannot install handlers: {source}"))]
    Signals {
        /// Why it cannot be installed.
        source: io::Error,
    },
}
