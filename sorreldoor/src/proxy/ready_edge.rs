//! The edges that are ready to serve clients.

use crate::wire::EdgeEndpoint;

/// A ready edge, as clients are given its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyEdge {
    /// Name of the node.
    pub node: String,
    /// `IP:PORT` of its listener for clients.
    pub addr: String,
    /// Index of its zone.
    pub zone: u16,
    /// Index of its region.
    pub region: u8,
}

impl ReadyEdge {
    /// The ready edges among `endpoints`.
    pub fn from_endpoints(endpoints: &[EdgeEndpoint]) -> Vec<ReadyEdge> {
        let ready = endpoints.iter().filter(|e| e.ready);
        ready.map(ReadyEdge::from).collect()
    }
}

impl From<&EdgeEndpoint> for ReadyEdge {
    fn from(endpoint: &EdgeEndpoint) -> ReadyEdge {
        ReadyEdge {
            node: endpoint.node.clone(),
            addr: endpoint.http.clone(),
            zone: endpoint.zone,
            region: endpoint.region,
        }
    }
}
