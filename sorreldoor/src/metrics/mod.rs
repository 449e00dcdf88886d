//! Metrics of a process in the OpenMetrics text format, which Prometheus reads.
//!
//! The tables of this module are the source of `docs/metrics.md`; a test holds
//! the page against them. Metrics have no labels, so nothing of a client's
//! request can appear in one.

mod core_metrics;
mod edge_metrics;
mod exposition;
mod server;

pub use core_metrics::{CoreFigures, CORE_METRICS};
pub use edge_metrics::{EdgeFigures, EDGE_METRICS};
pub use exposition::{encode, Kind, Metric, CONTENT_TYPE, PREFIX};
pub(crate) use server::serve;
pub use server::{MetricsEndpoint, ParseEndpointError};
