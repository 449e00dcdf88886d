//! The operator's configuration: a JSON document that is parsed and validated as
//! a whole. Regions, zones, groups, services and routes are referred to by index.

pub mod hosted;
pub mod hosted_change;
mod hosted_parse;
mod parse;
pub mod tenants;

pub use parse::{parse, parse_accepted, MAX_BYTES};

use std::collections::BTreeMap;
use std::sync::Arc;

/// The regions and zones of a site. Everything else refers to them by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Each zone with the index of its region.
    pub zones: Vec<(String, u8)>,
}

impl Site {
    /// The index of the region with this name.
    pub fn region(&self, name: &str) -> Option<u8> {
        self.regions.iter().position(|r| r == name).map(|i| i as u8)
    }

    /// The index of the zone with this name.
    pub fn zone(&self, name: &str) -> Option<u16> {
        self.zones
            .iter()
            .position(|(zone, _)| zone == name)
            .map(|index| index as u16)
    }

    /// The indices of all zones.
    pub fn zone_indices(&self) -> impl Iterator<Item = u16> {
        0..self.zones.len() as u16
    }

    /// The name of a zone, `?` if there is none.
    pub fn zone_name(&self, zone: u16) -> &str {
        self.zones.get(zone as usize).map_or("?", |(name, _)| name)
    }

    /// The name of a region, `?` if there is none.
    pub fn region_name(&self, region: u8) -> &str {
        self.regions.get(region as usize).map_or("?", |name| name)
    }

    /// The index of the region that a zone belongs to.
    pub fn region_of_zone(&self, zone: u16) -> Option<u8> {
        self.zones.get(zone as usize).map(|(_, region)| *region)
    }
}

/// The workload of a route's requests, by which workers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Long prompts that share a prefix: the prefix cache of a worker matters.
    Prefix,
    /// Short prompts with long generated responses.
    Decode,
    /// Short requests to plain web workers.
    Fetch,
}

/// A group of workers of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The name by which services refer to the group.
    pub name: String,
    /// Whether its workers serve a model; else they are plain web workers.
    pub model: bool,
    /// Requests that a worker of this group runs at once.
    pub slots: u32,
    /// Requests for this group that one gateway queues at most.
    pub queue: u32,
    /// The slow start of its workers.
    pub slow_start: SlowStart,
}

/// The slow start of a worker with a cold cache: its concurrency limit begins at
/// `initial_limit` and rises by one for every `requests_per_step` finished
/// requests, up to the group's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// The concurrency limit of a worker that has finished no request.
    pub initial_limit: u32,
    /// Requests that must finish before the limit rises by one.
    pub requests_per_step: u32,
}

/// Groups of workers that can serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name by which routes refer to the service.
    pub name: String,
    /// Indices of its groups, the preferred ones first.
    pub groups: Vec<u16>,
    /// The model adapter for requests that name none; `None`: the base model.
    pub adapter: Option<String>,
}

/// The share of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Index of the service.
    pub service: u16,
    /// Relative to the weights of the route's other shares.
    pub weight: u32,
    /// The lower bound for weight tuning.
    pub min_weight: u32,
    /// The upper bound for weight tuning; if equal to the lower, the weight is
    /// fixed.
    pub max_weight: u32,
}

/// A route of the gateway: how requests that name it are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name that clients give in the path of a request.
    pub name: String,
    /// The workload of its requests.
    pub kind: Kind,
    /// Requests are idempotent and may be retried.
    pub repeatable: bool,
    /// Responses are streams of events.
    pub streamed: bool,
    /// Requests must be served in the caller's home region.
    pub home: bool,
    /// The request timeout in milliseconds.
    pub timeout_ms: u64,
    /// The services that share the route's requests.
    pub shares: Vec<Share>,
}

/// A complete, valid configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// All groups of workers.
    pub groups: Vec<Group>,
    /// All services.
    pub services: Vec<Service>,
    /// The gateway's routes, ordered by name.
    pub routes: Vec<Route>,
    /// The highest percentage of a region's requests that may spill over to
    /// another region, by (origin, destination).
    pub spill: BTreeMap<(u8, u8), u32>,
    /// The retry budget in percent of first attempts.
    pub retry_percent: u32,
    /// The `hosted` section: the proxy's routes by host and path.
    pub hosted: Option<Arc<hosted::Hosted>>,
}

impl Configuration {
    /// The index of the route with this name.
    pub fn route(&self, name: &str) -> Option<u16> {
        self.routes
            .iter()
            .position(|r| r.name == name)
            .map(|i| i as u16)
    }

    /// The share of a service on a route, both by index.
    pub fn share(&self, route: u16, service: u16) -> Option<&Share> {
        let route = self.routes.get(usize::from(route))?;
        route.shares.iter().find(|share| share.service == service)
    }

    /// The index of the group with this name.
    pub fn group(&self, name: &str) -> Option<u16> {
        self.groups
            .iter()
            .position(|g| g.name == name)
            .map(|i| i as u16)
    }
}
