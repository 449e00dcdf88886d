//! The metrics of an edge that serves hosted routes.

use super::{Kind, Metric};
use crate::balancer::Counts;

/// The values of an edge from which its metrics are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EdgeFigures {
    /// It has a configuration and workers, and is not shutting down.
    pub ready: bool,
    /// Its lease is valid: a core has confirmed its state in time.
    pub lease_valid: bool,
    /// Version of the applied configuration.
    pub configuration_version: u64,
    /// Edges that are ready to serve clients.
    pub ready_edges: u64,
    /// The balancer's counters.
    pub counts: Counts,
}

const fn counter(
    name: &'static str,
    help: &'static str,
    value: fn(&EdgeFigures) -> u64,
) -> Metric<EdgeFigures> {
    Metric {
        name,
        kind: Kind::Counter,
        help,
        value,
    }
}

const fn gauge(
    name: &'static str,
    help: &'static str,
    value: fn(&EdgeFigures) -> u64,
) -> Metric<EdgeFigures> {
    Metric {
        name,
        kind: Kind::Gauge,
        help,
        value,
    }
}

/// The metrics of an edge.
pub const EDGE_METRICS: &[Metric<EdgeFigures>] = &[
    gauge(
        "ready",
        "1 if this edge has a configuration and workers, and is not shutting down.",
        |f| f.ready.into(),
    ),
    gauge(
        "lease_valid",
        "1 if a core has confirmed this edge's state within the length of the lease.",
        |f| f.lease_valid.into(),
    ),
    gauge(
        "configuration_version",
        "Version of the configuration that is applied; 0 before the first.",
        |f| f.configuration_version,
    ),
    gauge("ready_edges", "Edges that clients are sent to.", |f| {
        f.ready_edges
    }),
    counter("requests", "Requests begun.", |f| f.counts.begun),
    gauge("requests_in_flight", "Requests in progress.", |f| {
        f.counts.open
    }),
    counter("attempts_served", "Attempts answered completely.", |f| {
        f.counts.served
    }),
    counter(
        "rejections",
        "Decisions to send no (further) attempt.",
        |f| f.counts.rejected,
    ),
    counter(
        "rejections_at_shutdown",
        "Rejections of requests that would not be completed before the node exits.",
        |f| f.counts.rejected_at_shutdown,
    ),
    counter(
        "requests_unauthenticated",
        "Requests rejected because no tenant holds their key, or they had none.",
        |f| f.counts.unauthenticated,
    ),
    counter(
        "requests_over_quota",
        "Requests rejected because the quota of their tenant is used up.",
        |f| f.counts.over_quota,
    ),
    counter(
        "retries",
        "Attempts beyond the first of their request that reached a worker.",
        |f| f.counts.retried,
    ),
    counter(
        "requests_queued",
        "Requests that waited for a worker.",
        |f| f.counts.waited,
    ),
    gauge("queue_length", "Requests that wait for a worker.", |f| {
        f.counts.waiting
    }),
    counter("ejections", "Workers ejected by outlier detection.", |f| {
        f.counts.ejections
    }),
    gauge("workers_ejected", "Workers that are ejected.", |f| {
        f.counts.ejected
    }),
    gauge("workers", "Workers of the registry.", |f| f.counts.workers),
    counter(
        "prompt_cached_tokens",
        "Prompt tokens expected in the prefix caches of workers, over all attempts.",
        |f| f.counts.cached_tokens,
    ),
    counter(
        "prompt_prefill_tokens",
        "Prompt tokens left for prefill, over all attempts.",
        |f| f.counts.prefill_tokens,
    ),
];
