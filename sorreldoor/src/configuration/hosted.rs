//! Hosted routes: requests are routed by host and path and proxied byte for
//! byte to the workers of a service.

use super::tenants::Tenants;
use std::collections::HashMap;
use std::sync::Arc;

/// Whether a request that may have run may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    #[default]
    Once,
    /// It runs at most once and is answered by a series of events.
    Stream,
}

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Unique in the section; changes and faults name the route by it.
    pub name: String,
    /// The host that the route serves, in lower case.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: Kind,
    /// The request timeout in milliseconds.
    pub timeout_ms: u64,
    /// The latency target in milliseconds; 0: none.
    pub latency_target_ms: u64,
    /// The priority class; 0 is served first.
    pub priority: u8,
    /// Indices of services with their traffic weights.
    pub split: Vec<(u16, u32)>,
    /// The maximum number of attempts of one request.
    pub attempts: u32,
    /// Prefix affinity: requests that share a prompt prefix go to one worker.
    pub prefix_affinity: bool,
    /// A broken stream may be resumed on another worker.
    pub resume: bool,
    /// The target for the longest gap between events, in milliseconds; 0: none.
    pub gap_ms: u64,
    /// Indices of the only regions that may serve it; empty: all.
    pub homes: Vec<u8>,
    /// Its requests need no key of a tenant.
    pub public: bool,
}

impl Route {
    /// Whether a request that may have run may be retried.
    pub fn repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || (self.kind == Kind::Stream && self.resume)
    }
}

/// The inference engine of a service's workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Capacity of a worker's KV cache in tokens.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream.
    pub stride: u32,
}

/// A set of workers that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Unique in the section; the name by which routes refer to it.
    pub name: String,
    /// The path of its workers' health check.
    pub health: String,
    /// Connections that a worker accepts from all clients together.
    pub max_conns: u32,
    /// The slow-start period of a started worker, in milliseconds.
    pub warmup_ms: u64,
    /// Requests per second that a worker takes during slow start; 0: no limit.
    pub warmup_per_s: f64,
    /// `None`: plain web workers, which serve no model.
    pub engine: Option<Engine>,
}

/// Limits on what clients send; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request; beyond it the answer is 431.
    pub header_bytes: usize,
    /// The largest request body; beyond it the answer is 413.
    pub body_bytes: usize,
    /// Time from the first byte of a request to the end of its head; after it
    /// the answer is 408.
    pub header_ms: u64,
    /// Time after which an idle connection is closed. A body may take this or
    /// `header_ms`, whichever is longer.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 3000,
            idle_ms: 15_000,
        }
    }
}

/// A host with at most this many routes is searched linearly.
const MAX_LINEAR_SEARCH: usize = 16;

/// The `hosted` section of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosted {
    /// All routes in the operator's order.
    pub routes: Vec<Arc<Route>>,
    /// All services in the operator's order.
    pub services: Vec<Service>,
    /// Limits that hold for all routes.
    pub limits: Limits,
    /// Who may send requests.
    pub tenants: Tenants,
    /// Indices of the routes of each host (in lower case): longer prefixes
    /// first, then by prefix.
    pub by_host: HashMap<String, Vec<u32>>,
}

impl Hosted {
    /// The route with the longest prefix of the path; hosts are matched
    /// case-insensitively.
    pub fn find(&self, host: &str, path: &str) -> Option<u32> {
        let rs = match self.by_host.get(host) {
            Some(rs) => rs,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let prefix = |i: &u32| self.routes[*i as usize].prefix.as_str();
        if rs.len() <= MAX_LINEAR_SEARCH {
            return rs.iter().copied().find(|i| path.starts_with(prefix(i)));
        }
        // a host may have thousands of routes, a path has few slashes
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        ends.map(|(n, _)| &path[..=n])
            .find_map(|p| rs.binary_search_by(|i| order(prefix(i), p)).ok())
            .map(|n| rs[n])
    }

    /// The index of a service.
    pub fn service(&self, name: &str) -> Option<u16> {
        let i = self.services.iter().position(|s| s.name == name);
        i.map(|i| i as u16)
    }
}

/// Prefixes in the order they are tried: longer ones first.
pub(super) fn order(a: &str, b: &str) -> std::cmp::Ordering {
    b.len().cmp(&a.len()).then_with(|| a.cmp(b))
}
