//! Messages of cluster bootstrap.

use crate::consensus::Member;
use serde::{Deserialize, Serialize};

/// Messages between cores until each of them is part of the site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BootstrapMessage {
    /// From a core that belongs to no site yet: the founders to which it has
    /// committed itself. It bootstraps the site with no other set.
    Promise {
        /// The cores that are to be the first voters.
        #[serde(rename = "set")]
        founders: Vec<Member>,
    },
    /// Answer of a core that belongs to the site.
    Founded {
        /// The founders of the site if the receiver is one of its voters; empty
        /// if the receiver must join as a learner.
        #[serde(rename = "set")]
        founders: Vec<Member>,
        /// Frame addresses, as `IP:PORT`, of all members.
        #[serde(default, rename = "at")]
        addresses: Vec<String>,
    },
}
