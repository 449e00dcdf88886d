//! The state of one service, as known to this node.

use super::hash;
use super::index::EndpointIndex;
use super::response_time::ResponseTimeEstimator;
use super::retry_budget::RetryBudget;
use crate::types::Millis;

/// Initial latency estimates of a service, in milliseconds.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.02;
const INITIAL_BASE_LATENCY_MS: f64 = 50.0;

/// State of a service, kept by name across changes of the configuration.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    pub hash: u64,
    /// Index of the service in the current configuration; `None`: not configured.
    pub config_index: Option<u16>,
    pub endpoints: Vec<EndpointIndex>,
    /// Number of stream routes pinned to each region by their homes. A route with
    /// `n` homes counts as `1/n` in each.
    pub pinned_streams: Vec<f64>,
    /// Time of the last request with a long prompt.
    pub last_long_prompt: Option<Millis>,
    pub retry_budget: RetryBudget,
    /// Estimated prefill time of one prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Estimated time to the first event without prefill, in milliseconds.
    pub base_latency_ms: f64,
    /// Of all responses, whatever their route.
    pub response_time: ResponseTimeEstimator,
}

impl ServiceState {
    /// `budget_since`: the time at which this node started to count retries.
    pub fn new(name: &str, budget_since: Millis) -> ServiceState {
        ServiceState {
            hash: hash::name(name),
            config_index: None,
            endpoints: Vec::new(),
            pinned_streams: Vec::new(),
            last_long_prompt: None,
            retry_budget: RetryBudget::new(budget_since),
            prefill_ms_per_token: INITIAL_PREFILL_MS_PER_TOKEN,
            base_latency_ms: INITIAL_BASE_LATENCY_MS,
            response_time: ResponseTimeEstimator::default(),
        }
    }
}
