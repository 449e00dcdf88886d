//! Sessions of edges with cores: the status that edges send, and the reports
//! that cores exchange.

use super::{is_default, Hello};
use crate::types::NodeId;
use serde::{Deserialize, Serialize};

/// The state of an edge at the core with which it has its session. Cores
/// exchange it in a `SessionReport`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeSession {
    /// The hello that began the session.
    pub hello: Hello,
    /// Version of the configuration that the edge applies; 0 before its first
    /// renewal, and where reports carry no counters.
    #[serde(rename = "serial")]
    pub version: u64,
    /// Whether the edge was ready to serve at its last renewal, which requires a
    /// valid lease.
    #[serde(rename = "permit")]
    pub lease: bool,
    /// Requests in flight at its last renewal; 0 where reports carry no
    /// counters.
    pub running: u32,
    /// Latency totals by route and service, sent between cores only; empty
    /// where reports carry no counters.
    #[serde(default)]
    pub took: Vec<RouteLatency>,
}

/// The location and readiness of an edge, for the other edges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeEndpoint {
    /// Name of the node in its settings.
    pub node: String,
    /// Index of its zone in the settings of the site.
    pub zone: u16,
    /// Index of its region in the settings of the site.
    pub region: u8,
    /// Address, as `IP:PORT`, at which it serves HTTP.
    pub http: String,
    /// Whether it was ready to serve at its last renewal.
    pub ready: bool,
    /// Address, as `IP:PORT`, at which it tells other nodes the addresses of the cores;
    /// empty if it does not, or if enough others of the list do.
    #[serde(default, skip_serializing_if = "is_default")]
    pub addr: String,
    /// Requests in flight if its zone is evacuated, otherwise 0.
    #[serde(default, skip_serializing_if = "is_default")]
    pub running: u32,
}

/// Latency total of one route through one service, since the start of the
/// edge.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteLatency {
    /// Name of the route.
    pub route: String,
    /// Name of the service.
    pub service: String,
    /// Number of requests that have finished.
    pub n: u64,
    /// Sum of their latencies, in milliseconds.
    pub ms: u64,
}

/// One core's sessions, as it reports them to the other cores.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionReport {
    /// The core that reports.
    pub core: NodeId,
    /// Identifies the run of its process. A report of a new incarnation is
    /// accepted with any version.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Incremented with each change of the sessions within an incarnation. The
    /// receiver drops versions older than the one it has, since frames of two
    /// connections may arrive out of order.
    #[serde(rename = "serial")]
    pub version: u64,
    /// All sessions of that core.
    pub edge_sessions: Vec<EdgeSession>,
}

/// Status of an edge, sent with each renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EdgeStatus {
    /// Version of the configuration that it applies; 0 before the first.
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "serial")]
    pub version: u64,
    /// Whether it is ready to serve, which requires a valid lease.
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "permit")]
    pub lease: bool,
    /// Requests in flight.
    #[serde(default, skip_serializing_if = "is_default")]
    pub running: u32,
    /// Requests accepted since its start. Only gateways report this field and
    /// the next three.
    #[serde(default, skip_serializing_if = "is_default")]
    pub first: u64,
    /// Retries since its start.
    #[serde(default, skip_serializing_if = "is_default")]
    pub again: u64,
    /// Requests rejected since its start.
    #[serde(default, skip_serializing_if = "is_default")]
    pub shed: u64,
    /// Latency totals of the routes of its configuration.
    #[serde(default, skip_serializing_if = "is_default")]
    pub took: Vec<RouteLatency>,
}
