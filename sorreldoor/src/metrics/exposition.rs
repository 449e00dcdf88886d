//! The description of a metric, and the text of a scrape in the OpenMetrics format.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{text, DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt::{self, Debug};

/// The prefix of every metric's name, before an underscore.
pub const PREFIX: &str = "sorreldoor";

/// The media type of a scrape's text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The value only rises while the process runs; the exposed name ends in `_total`.
    Counter,
    /// The value rises and falls.
    Gauge,
}

/// A metric that is read from values of type `F`.
#[derive(Clone, Copy, Debug)]
pub struct Metric<F: 'static> {
    /// Its name without prefix and suffix.
    pub name: &'static str,
    /// Its type.
    pub kind: Kind,
    /// The help text: what it measures, with the unit.
    pub help: &'static str,
    /// Reads its value.
    pub value: fn(&F) -> u64,
}

impl<F> Metric<F> {
    /// The name in a scrape, with prefix and suffix.
    #[must_use]
    pub fn exposed_name(&self) -> String {
        let suffix = match self.kind {
            Kind::Counter => "_total",
            Kind::Gauge => "",
        };
        format!("{PREFIX}_{}{suffix}", self.name)
    }
}

/// A table of metrics and the values of one moment.
#[derive(Debug)]
struct Sample<F: 'static> {
    table: &'static [Metric<F>],
    figures: F,
}

impl<F: Debug + Send + Sync + 'static> Collector for Sample<F> {
    fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
        for metric in self.table {
            let value = (metric.value)(&self.figures);
            match metric.kind {
                Kind::Counter => encode_one(&mut encoder, metric, &ConstCounter::new(value))?,
                Kind::Gauge => {
                    let gauge = ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX));
                    encode_one(&mut encoder, metric, &gauge)?;
                }
            }
        }
        Ok(())
    }
}

fn encode_one<F>(
    encoder: &mut DescriptorEncoder,
    metric: &Metric<F>,
    value: &impl EncodeMetric,
) -> fmt::Result {
    let help = metric.help.trim_end_matches('.');
    let encoder = encoder.encode_descriptor(metric.name, help, None, value.metric_type())?;
    value.encode(encoder)
}

/// The text of a scrape: all metrics of a table.
#[must_use]
pub fn encode<F: Debug + Send + Sync + 'static>(table: &'static [Metric<F>], figures: F) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(Sample { table, figures }));
    let mut encoded = String::new();
    // writing to a string does not fail
    let _ = text::encode(&mut encoded, &registry);
    encoded
}
