//! Messages of cluster bootstrap.

use crate::consensus::Member;
use serde::{Deserialize, Serialize};

/// Messages between cores until each of them is part of the site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BootstrapMessage {
    /// From a core that belongs to no site yet: the founders that it has
    /// promised to bootstrap the site with.
    Promise {
        /// The promised founders.
        #[serde(rename = "set")]
        founders: Vec<Member>,
    },
    /// Answer of a core that belongs to the site.
    Founded {
        /// The promised founders if the receiver is one of the voters; empty
        /// if it is to join as a learner.
        #[serde(rename = "set")]
        founders: Vec<Member>,
        /// Frame addresses, as `IP:PORT`, of all members.
        #[serde(default, rename = "at")]
        addresses: Vec<String>,
    },
}
