//! The introduction of a node on a new connection.

use super::zero;
use crate::types::NodeId;
use serde::{Deserialize, Serialize};

/// What a node says of itself: the first frame that it sends on a connection,
/// and sent again by a core when it joins the site or stops.
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
    /// For cores: address, as `IP:PORT`, at which it accepts frames. Edges
    /// accept none and leave it empty.
    pub addr: String,
    /// Address, as `IP:PORT`, at which it serves HTTP.
    pub http: String,
    /// For cores: whether it belongs to a site that has been bootstrapped.
    pub founded: bool,
    /// Random number of this run of the process: differs at every start.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// For cores: its process has been told to stop.
    #[serde(default, skip_serializing_if = "zero")]
    pub stopping: bool,
    /// For cores: by its settings it is a learner for good and never votes.
    #[serde(default, skip_serializing_if = "zero")]
    pub learner_only: bool,
}
