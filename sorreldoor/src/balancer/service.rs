//! What the balancer knows about one service.

use super::hash;
use super::index::EndpointIndex;
use super::retry_budget::RetryBudget;
use crate::types::Millis;

/// Estimates of a service's speed before anything was measured, in milliseconds.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.02;
const INITIAL_BASE_LATENCY_MS: f64 = 50.0;

/// State of a service by name; it outlives changes of the configuration.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    pub hash: u64,
    /// Index of the service in the configuration in force.
    pub config_index: Option<u16>,
    pub endpoints: Vec<EndpointIndex>,
    /// Stream routes whose homes pin them to each region; a route with several
    /// homes counts in parts.
    pub pinned_streams: Vec<f64>,
    /// When a long shared prefix was last requested.
    pub last_long_prompt: Option<Millis>,
    pub retry_budget: RetryBudget,
    /// Estimated prefill time of one prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Estimated time to the first event without prefill, in milliseconds.
    pub base_latency_ms: f64,
}

impl ServiceState {
    /// `budget_since`: when this node started to count retries.
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
        }
    }
}
