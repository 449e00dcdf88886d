//! The workload of a simulation: the flows of requests, and the state of the workers.

use super::*;
use std::collections::{HashSet, VecDeque};

/// One kind of request, its arrival rate and the time span of its arrivals.
#[derive(Clone)]
pub struct Flow {
    pub path: &'static str,
    pub requests_per_s: f64,
    /// Number of shared prefixes, their mean tokens, and the tokens of a request's
    /// own segment.
    pub prefixes: u64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub stream_ms: u64,
    pub start_ms: u64,
    pub end_ms: u64,
}

/// A simulated worker.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub slots: u32,
    pub running: u32,
    /// Node, request, prefill time and stream duration in ms of the queued attempts.
    pub queue: VecDeque<(usize, RequestId, u64, u64)>,
    pub cached_segments: HashSet<u64>,
    /// Time at which the prefill of all accepted prompts is done.
    pub prefill_free_at: u64,
    /// Arrival times of attempts.
    pub arrivals: Vec<u64>,
    /// Probabilities that an attempt fails, is rejected, or cannot connect.
    pub failure_chance: f64,
    pub reject_chance: f64,
    pub connect_failure_chance: f64,
}

impl Backend {
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            slots: self.slots,
        }
    }
}
