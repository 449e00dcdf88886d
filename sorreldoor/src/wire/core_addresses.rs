//! The addresses of the cores, as one node tells them to another.

use serde::{Deserialize, Serialize};

/// Answer to `Payload::CoreAddressesRequest`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreAddresses {
    /// Addresses, as `IP:PORT`, at which the cores accept frames.
    pub addresses: Vec<String>,
    /// Whether the sender is in contact with the cores, so that the list is current.
    pub confirmed: bool,
}
