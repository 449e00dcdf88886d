//! Hosted routes: requests told apart by host and path, carried byte for byte
//! to workers of a service, under the operator's shares, bounds and homes.

use std::collections::HashMap;
use std::sync::Arc;

/// What may be done again with a request that may have run.
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

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub kind: Kind,
    /// The longest that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Within this an answer earns its full worth, in milliseconds; 0: not said.
    pub aim_ms: u64,
    /// 0 is served first.
    pub priority: u8,
    /// Services by index, with their weights.
    pub split: Vec<(u16, u32)>,
    /// Workers that one request may be sent to, at most.
    pub attempts: u32,
    /// Requests that share a prompt prefix are kept together.
    pub sticky: bool,
    /// A stream may be taken up by another worker where it broke.
    pub resume: bool,
    /// The longest pause between events that is still in time, in milliseconds; 0: not said.
    pub gap_ms: u64,
    /// Regions, by index, that alone may serve it; empty: all.
    pub homes: Vec<u8>,
}

impl Route {
    pub fn repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || (self.kind == Kind::Stream && self.resume)
    }
}

/// How the model workers of a service work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that a worker's memory holds.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream.
    pub stride: u32,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub name: String,
    /// The path of its workers' health.
    pub health: String,
    /// Connections that a worker takes from all callers together.
    pub max_conns: u32,
    /// How long a started worker stays cold, in milliseconds.
    pub warmup_ms: u64,
    /// Requests a second that a cold worker bears; 0: no bound.
    pub warmup_per_s: f64,
    pub engine: Option<Engine>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_ms: u64,
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

/// So few routes of a host are looked through one by one.
const FEW: usize = 16;

/// The `hosted` part of a setup; names are made dense.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosted {
    pub routes: Vec<Arc<Route>>,
    pub services: Vec<Service>,
    pub limits: Limits,
    /// Routes of a host, in lower case: those with the longest prefix first, then
    /// by the prefix.
    pub by_host: HashMap<String, Vec<u32>>,
}

impl Hosted {
    /// The route whose prefix begins the path and is longest; hosts are
    /// compared without regard to case.
    pub fn find(&self, host: &str, path: &str) -> Option<u32> {
        let rs = match self.by_host.get(host) {
            Some(rs) => rs,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let prefix = |i: &u32| self.routes[*i as usize].prefix.as_str();
        if rs.len() <= FEW {
            return rs.iter().copied().find(|i| path.starts_with(prefix(i)));
        }
        // a host may have thousands of routes, a path has few slashes
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        ends.map(|(n, _)| &path[..=n])
            .find_map(|p| rs.binary_search_by(|i| order(prefix(i), p)).ok())
            .map(|n| rs[n])
    }

    pub fn service(&self, name: &str) -> Option<u16> {
        let i = self.services.iter().position(|s| s.name == name);
        i.map(|i| i as u16)
    }
}

/// Prefixes in the order they are tried: longer ones first.
pub(super) fn order(a: &str, b: &str) -> std::cmp::Ordering {
    b.len().cmp(&a.len()).then_with(|| a.cmp(b))
}
