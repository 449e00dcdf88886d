//! The `hosted` section of a configuration: routes that the proxy matches by host
//! and path prefix, the services behind them, and limits on clients' requests.

use super::tenants::Tenants;
use std::collections::HashMap;
use std::sync::Arc;

/// Whether a route's requests may run more than once, and how they are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    #[default]
    Once,
    /// A request runs at most once, and its response is a stream of events.
    Stream,
}

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Unique among the routes of the section.
    pub name: String,
    /// The `Host` that it matches, in lower case.
    pub host: String,
    /// The path prefix that it matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: Kind,
    /// The request timeout in milliseconds.
    pub timeout_ms: u64,
    /// The target for the latency of a response in milliseconds; 0: none.
    pub latency_target_ms: u64,
    /// The priority class; 0 is served first.
    pub priority: u8,
    /// Indices of services with their traffic weights.
    pub split: Vec<(u16, u32)>,
    /// The maximum number of attempts of one request.
    pub attempts: u32,
    /// Prefix affinity: requests that share a prompt prefix go to one worker.
    pub prefix_affinity: bool,
    /// A stream that breaks off may be resumed on another worker.
    pub resume: bool,
    /// The target for the longest gap between events, in milliseconds; 0: none.
    pub gap_ms: u64,
    /// Indices of the regions that may serve it; empty: all.
    pub homes: Vec<u8>,
    /// Its requests need no API key.
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
    /// The largest batch, in requests.
    pub slots: u32,
    /// Capacity of a worker's KV cache in tokens.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream.
    pub stride: u32,
}

/// A set of workers that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Unique among the services of the section.
    pub name: String,
    /// The path of its workers' health check.
    pub health: String,
    /// The largest number of connections that a worker accepts, over all its
    /// clients.
    pub max_conns: u32,
    /// The slow-start period after a worker's start, in milliseconds.
    pub warmup_ms: u64,
    /// Requests per second that a worker takes during slow start; 0: no limit.
    pub warmup_per_s: f64,
    /// `None`: plain web workers without a model.
    pub engine: Option<Engine>,
}

/// Limits on requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head in bytes; a larger one is rejected with 431.
    pub header_bytes: usize,
    /// The largest request body in bytes; a larger one is rejected with 413.
    pub body_bytes: usize,
    /// Milliseconds from the first byte of a request to the end of its head; a
    /// slower one is rejected with 408.
    pub header_ms: u64,
    /// Milliseconds after which an idle connection is closed. A body must arrive
    /// within this or `header_ms`, whichever is longer.
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

/// The routes of a host are searched linearly up to this number.
const MAX_LINEAR_SEARCH: usize = 16;

/// The `hosted` section of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosted {
    /// All routes in the operator's order.
    pub routes: Vec<Arc<Route>>,
    /// All services in the operator's order.
    pub services: Vec<Service>,
    /// Limits for all routes.
    pub limits: Limits,
    /// The tenants that may send requests.
    pub tenants: Tenants,
    /// Indices of the routes of each host (in lower case), sorted by
    /// `match_order`.
    pub by_host: HashMap<String, Vec<u32>>,
}

impl Hosted {
    /// The index of the route whose prefix is the longest that `path` begins
    /// with; hosts are compared without regard to case.
    pub fn find(&self, host: &str, path: &str) -> Option<u32> {
        let indices = match self.by_host.get(host) {
            Some(indices) => indices,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let prefix = |i: &u32| self.routes[*i as usize].prefix.as_str();
        if indices.len() <= MAX_LINEAR_SEARCH {
            return indices
                .iter()
                .copied()
                .find(|i| path.starts_with(prefix(i)));
        }
        // a host may have thousands of routes, but a path has few slashes
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        ends.map(|(n, _)| &path[..=n])
            .find_map(|p| indices.binary_search_by(|i| match_order(prefix(i), p)).ok())
            .map(|n| indices[n])
    }

    /// The index of the service with this name.
    pub fn service(&self, name: &str) -> Option<u16> {
        let i = self.services.iter().position(|s| s.name == name);
        i.map(|i| i as u16)
    }
}

/// Orders prefixes as they are matched: longer ones first, then by text.
pub(super) fn match_order(a: &str, b: &str) -> std::cmp::Ordering {
    b.len().cmp(&a.len()).then_with(|| a.cmp(b))
}
