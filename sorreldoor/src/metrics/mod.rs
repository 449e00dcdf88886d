//! Metrics of a process, exposed over HTTP in the OpenMetrics text format, which
//! Prometheus scrapes.
//!
//! `docs/metrics.md` is generated from the tables of this module. Metrics have no
//! labels, so that no content of a client's request can appear in them.

mod core_metrics;
mod edge_metrics;
mod exposition;
mod server;

pub use core_metrics::{CoreFigures, CORE_METRICS};
pub use edge_metrics::{EdgeFigures, EDGE_METRICS};
pub use exposition::{encode, Kind, Metric, CONTENT_TYPE, PREFIX};
pub(crate) use server::serve;
pub use server::{MetricsEndpoint, ParseEndpointError};
