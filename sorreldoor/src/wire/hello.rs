//! The handshake on a new connection: a node's description of itself.

use super::is_default;
use crate::types::NodeId;
use serde::{Deserialize, Serialize};

/// A node's description of itself: the first frame that it sends on a
/// connection. A core sends it again when it joins the site or stops.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Identity of a core in the consensus group; an edge draws one at its
    /// start.
    pub id: NodeId,
    /// Name of the node in its settings.
    pub node: String,
    /// Whether it is a core; else it is an edge.
    pub core: bool,
    /// Index of its region in the settings of the site.
    pub region: u8,
    /// Index of its zone in the settings of the site.
    pub zone: u16,
    /// Address, as `IP:PORT`, at which it accepts frames; empty for an edge that
    /// accepts none.
    pub addr: String,
    /// Address, as `IP:PORT`, at which it serves HTTP.
    pub http: String,
    /// For cores: whether it belongs to a site that has been bootstrapped.
    pub founded: bool,
    /// Random number drawn at the start of the process; identifies this run.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// For cores: whether its process is shutting down.
    #[serde(default, skip_serializing_if = "is_default")]
    pub stopping: bool,
    /// For cores: whether its settings make it a permanent learner, which never
    /// votes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub learner_only: bool,
}
