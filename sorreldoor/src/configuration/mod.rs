//! The operator's setup: one whole document, read once, names made dense.

pub mod hosted;
pub mod hosted_change;
mod hosted_parse;
mod parse;

pub use parse::{parse, MAX_BYTES};

use std::collections::BTreeMap;
use std::sync::Arc;

/// Names of the site's regions and zones, in order; indices are dense.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Site {
    pub regions: Vec<String>,
    pub zones: Vec<(String, u8)>,
}

impl Site {
    pub fn region(&self, name: &str) -> Option<u8> {
        self.regions.iter().position(|r| r == name).map(|i| i as u8)
    }
    pub fn zone(&self, name: &str) -> Option<u16> {
        self.zones
            .iter()
            .position(|(z, _)| z == name)
            .map(|i| i as u16)
    }
    pub fn zone_name(&self, z: u16) -> &str {
        self.zones.get(z as usize).map_or("?", |(n, _)| n)
    }
    pub fn region_name(&self, r: u8) -> &str {
        self.regions.get(r as usize).map_or("?", |n| n)
    }
    pub fn region_of_zone(&self, z: u16) -> Option<u8> {
        self.zones.get(z as usize).map(|(_, r)| *r)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A large shared prefix and a private tail.
    Prefix,
    /// A short prompt and a long decode.
    Decode,
    /// A small fetch from a plain web worker.
    Fetch,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    pub name: String,
    pub model: bool,
    /// Errands a worker of this group runs at once.
    pub slots: u32,
    /// Errands that may wait at one edge for this group.
    pub queue: u32,
    pub warm: Warm,
}

/// How a cold worker is let in: `first` at once, then one more each time
/// `after` have finished, until warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warm {
    pub first: u32,
    pub after: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    pub groups: Vec<u16>,
    pub adapter: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    pub service: u16,
    pub weight: u32,
    pub least: u32,
    pub most: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub name: String,
    pub kind: Kind,
    pub repeatable: bool,
    pub streamed: bool,
    pub home: bool,
    pub cutoff_ms: u64,
    pub shares: Vec<Share>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub groups: Vec<Group>,
    pub services: Vec<Service>,
    pub routes: Vec<Route>,
    /// Most percent of a region's errands that may go to another.
    pub spill: BTreeMap<(u8, u8), u32>,
    /// Most retries in percent of first tries.
    pub retry_percent: u32,
    /// Routes told apart by host and path, if there are any.
    pub hosted: Option<Arc<hosted::Hosted>>,
}

impl Configuration {
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

    pub fn group(&self, name: &str) -> Option<u16> {
        self.groups
            .iter()
            .position(|g| g.name == name)
            .map(|i| i as u16)
    }
}
