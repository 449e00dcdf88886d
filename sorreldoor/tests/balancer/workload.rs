//! The workload of a simulation: request flows, and the workers that serve them.

use super::*;
use std::collections::{HashSet, VecDeque};

/// One kind of request, and its arrival rate.
#[derive(Clone)]
pub struct Flow {
    pub path: &'static str,
    pub per_s: f64,
    /// Number of shared prefixes, their tokens, and the tokens of the request itself.
    pub prefixes: u64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub stream_ms: u64,
    pub from: u64,
    pub to: u64,
}

/// A simulated worker.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub slots: u32,
    pub running: u32,
    pub queue: VecDeque<(usize, RequestId, u64, u64)>,
    pub cached_segments: HashSet<u64>,
    pub reader_free: u64,
    /// Arrival times.
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
