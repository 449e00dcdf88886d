//! The operator's configuration: a document that is parsed and validated as a
//! whole. Names become dense indices.

pub mod hosted;
pub mod hosted_change;
mod hosted_parse;
mod parse;
pub mod tenants;

pub use parse::{parse, MAX_BYTES};

use std::collections::BTreeMap;
use std::sync::Arc;

/// The layout of a site: names of regions and zones. Everything else refers to
/// them by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Site {
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Each zone with the index of its region.
    pub zones: Vec<(String, u8)>,
}

impl Site {
    /// The index of a region.
    pub fn region(&self, name: &str) -> Option<u8> {
        self.regions.iter().position(|r| r == name).map(|i| i as u8)
    }

    /// The index of a zone.
    pub fn zone(&self, name: &str) -> Option<u16> {
        self.zones
            .iter()
            .position(|(z, _)| z == name)
            .map(|i| i as u16)
    }

    /// The name of a zone, `?` if there is none.
    pub fn zone_name(&self, z: u16) -> &str {
        self.zones.get(z as usize).map_or("?", |(n, _)| n)
    }

    /// The name of a region, `?` if there is none.
    pub fn region_name(&self, r: u8) -> &str {
        self.regions.get(r as usize).map_or("?", |n| n)
    }

    /// The index of the region that a zone belongs to.
    pub fn region_of_zone(&self, z: u16) -> Option<u8> {
        self.zones.get(z as usize).map(|(_, r)| *r)
    }
}

/// The shape of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A large shared prefix and a private tail.
    Prefix,
    /// A short prompt and a long decode.
    Decode,
    /// A small fetch from a plain web worker.
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
    /// Requests that may be queued at one gateway for this group.
    pub queue: u32,
    /// How a cold worker's share of the slots grows.
    pub slow_start: SlowStart,
}

/// The slow start of a cold worker: `initial_limit` requests at once, then one more
/// each time `requests_per_step` have finished, up to the group's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// Requests that a cold worker runs at once.
    pub initial_limit: u32,
    /// Requests that must finish before the limit rises by one.
    pub requests_per_step: u32,
}

/// Groups of workers that serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name by which routes refer to the service.
    pub name: String,
    /// Indices of its groups, the preferred ones first.
    pub groups: Vec<u16>,
    /// The model adapter that workers are told to use, unless the request names
    /// its own; `None`: the base model.
    pub adapter: Option<String>,
}

/// The share of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Index of the service.
    pub service: u16,
    /// Relative to the weights of the route's other shares.
    pub weight: u32,
    /// The lowest weight that may be tuned.
    pub min_weight: u32,
    /// The highest weight that may be tuned.
    pub max_weight: u32,
}

/// How requests of one name are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name that clients give in the path of a request.
    pub name: String,
    /// The shape of its requests, by which workers are chosen.
    pub kind: Kind,
    /// Requests are idempotent, so that they may be retried.
    pub repeatable: bool,
    /// Responses are streams of events.
    pub streamed: bool,
    /// Requests stay in the caller's region.
    pub home: bool,
    /// The request timeout in milliseconds.
    pub timeout_ms: u64,
    /// The services that share the route's requests.
    pub shares: Vec<Share>,
}

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// All groups of workers; elsewhere they are referred to by index.
    pub groups: Vec<Group>,
    /// All services; elsewhere they are referred to by index.
    pub services: Vec<Service>,
    /// The gateway's routes by name; tuned weights refer to them by index.
    pub routes: Vec<Route>,
    /// The highest percentage of a region's requests that may spill over to
    /// another, by both regions.
    pub spill: BTreeMap<(u8, u8), u32>,
    /// The retry budget in percent of first attempts.
    pub retry_percent: u32,
    /// Routes by host and path, if there are any.
    pub hosted: Option<Arc<hosted::Hosted>>,
}

impl Configuration {
    /// The index of a route.
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

    /// The index of a group.
    pub fn group(&self, name: &str) -> Option<u16> {
        self.groups
            .iter()
            .position(|g| g.name == name)
            .map(|i| i as u16)
    }
}
