//! Parsing and validation of the `hosted` section of a configuration, which has
//! lists of named items. Unknown fields are ignored; the stored document keeps them.

use super::hosted::{Engine, Hosted, Kind, Limits, Route, Service};
use super::tenants::{ApiKey, SharedKey, Tenant, Tenants};
use super::Site;
use crate::json::{join, Faults, Value};
use simd_json::prelude::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// A JSON object and its path, under which its faults are reported.
pub(super) struct Item<'v> {
    value: &'v Value,
    path: String,
}

impl<'v> Item<'v> {
    pub(super) fn of(value: &'v Value, path: String, faults: &mut Faults) -> Option<Item<'v>> {
        if !value.is_object() {
            faults.add(&path, "must be an object");
            return None;
        }
        Some(Item { value, path })
    }

    pub(super) fn get(&self, key: &str) -> Option<&'v Value> {
        self.value.get(key).filter(|v| !v.is_null())
    }

    fn fault(&self, key: &str, what: impl std::fmt::Display, faults: &mut Faults) {
        faults.add(&join(&self.path, key), what);
    }

    fn text(&self, key: &str, faults: &mut Faults) -> Option<&'v str> {
        let value = self.get(key)?;
        let text = value.as_str();
        if text.is_none() {
            self.fault(key, "must be a string", faults);
        }
        text
    }

    pub(super) fn required_text(&self, key: &str, faults: &mut Faults) -> &'v str {
        if self.get(key).is_none() {
            self.fault(key, "is missing", faults);
        }
        let text = self.text(key, faults);
        if text == Some("") {
            self.fault(key, "is empty", faults);
        }
        text.unwrap_or("")
    }

    fn flag(&self, key: &str, faults: &mut Faults) -> bool {
        let value = self.get(key);
        let flag = value.and_then(|value| value.as_bool());
        if value.is_some() && flag.is_none() {
            self.fault(key, "must be true or false", faults);
        }
        flag.unwrap_or(false)
    }

    /// A number of at least 0 that may have a fraction.
    fn number(&self, key: &str, faults: &mut Faults) -> Option<f64> {
        let value = self.get(key)?;
        let number = value
            .cast_f64()
            .filter(|number| number.is_finite() && *number >= 0.0);
        if number.is_none() {
            self.fault(key, "must be a number, 0 or above", faults);
        }
        number
    }

    fn integer(&self, key: &str, default: u64, faults: &mut Faults) -> u64 {
        self.number(key, faults)
            .map_or(default, |n| n.round() as u64)
    }

    fn integer_u32(&self, key: &str, default: u32, faults: &mut Faults) -> u32 {
        self.integer(key, u64::from(default), faults)
            .min(u64::from(u32::MAX)) as u32
    }

    fn list(&self, key: &str, faults: &mut Faults) -> &'v [Value] {
        let Some(value) = self.get(key) else {
            return &[];
        };
        let items = value.as_array();
        if items.is_none() {
            self.fault(key, "must be a list", faults);
        }
        items.map_or(&[], |items| items.as_slice())
    }

    /// The items of a list of objects; a repeated name is a fault.
    fn items(&self, key: &str, faults: &mut Faults) -> Vec<Item<'v>> {
        let mut unique = HashSet::new();
        let mut items = Vec::new();
        for (index, value) in self.list(key, faults).iter().enumerate() {
            let path = join(&self.path, &format!("{key}[{index}]"));
            let Some(item) = Item::of(value, path, faults) else {
                continue;
            };
            let name = item.required_text("name", faults);
            if !name.is_empty() && !unique.insert(name) {
                item.fault("name", format!("{name:?} is given twice"), faults);
            }
            items.push(item);
        }
        items
    }
}

/// Parses the `hosted` section of a document; `None` if it is no object. The
/// result is valid only if no fault was added.
pub fn parse(value: &Value, site: &Site, faults: &mut Faults) -> Option<Hosted> {
    let section = Item::of(value, "hosted".into(), faults)?;
    let services: Vec<Service> = section
        .items("services", faults)
        .iter()
        .map(|i| service(i, faults))
        .collect();
    let index: HashMap<&str, u16> = services
        .iter()
        .enumerate()
        .map(|(i, s)| (s.name.as_str(), i.min(usize::from(u16::MAX)) as u16))
        .collect();
    let items = section.items("routes", faults);
    let routes = items.iter().map(|i| route(i, &index, site, faults));
    let routes: Vec<Arc<Route>> = routes.map(Arc::new).collect();
    let by_host = by_host(&routes, faults);
    let limits = section_limits(&section, faults);
    let items = section.items("tenants", faults);
    let tenants = items.iter().map(|i| tenant(i, site, faults));
    let tenants = tenants.map(Arc::new).collect();
    let tenants = index_tenants(tenants, section.get("tenants").is_some(), faults);
    Some(Hosted {
        routes,
        services,
        limits,
        tenants,
        by_host,
    })
}

/// The tenants, indexed by key. A key that two of them share is a fault, whose
/// text does not show the key.
pub(super) fn index_tenants(
    tenants: Vec<Arc<Tenant>>,
    required: bool,
    faults: &mut Faults,
) -> Tenants {
    let names: Vec<Arc<str>> = tenants.iter().map(|t| t.name.clone()).collect();
    Tenants::new(tenants, required).unwrap_or_else(|shared| {
        for SharedKey { first, second } in shared {
            faults.add(
                &format!("hosted.tenants[{second}].keys"),
                format!("{:?} holds one of these keys too", names[first]),
            );
        }
        Tenants::default()
    })
}

/// The limits of a `hosted` section, or the defaults.
pub(super) fn section_limits(section: &Item, faults: &mut Faults) -> Limits {
    section
        .get("limits")
        .and_then(|value| Item::of(value, "hosted.limits".into(), faults))
        .map_or(Limits::default(), |item| limits(&item, faults))
}

/// The indices of the routes of each host in matching order; a repeated prefix is
/// a fault.
pub(super) fn by_host(routes: &[Arc<Route>], faults: &mut Faults) -> HashMap<String, Vec<u32>> {
    let mut by_host: HashMap<String, Vec<u32>> = HashMap::new();
    let mut unique: HashSet<(&str, &str)> = HashSet::new();
    for (index, route) in routes.iter().enumerate() {
        if !unique.insert((&route.host, &route.prefix)) {
            let (host, prefix) = (&route.host, &route.prefix);
            faults.add(
                &format!("hosted.routes[{index}]"),
                format!("{host:?} has the prefix {prefix:?} twice"),
            );
        }
        by_host
            .entry(route.host.clone())
            .or_default()
            .push(index as u32);
    }
    let prefix_of = |index: &u32| &routes[*index as usize].prefix;
    for indices in by_host.values_mut() {
        indices.sort_by(|a, b| super::hosted::match_order(prefix_of(a), prefix_of(b)));
    }
    by_host
}

pub(super) fn service(item: &Item, faults: &mut Faults) -> Service {
    let engine = item
        .get("engine")
        .and_then(|value| Item::of(value, join(&item.path, "engine"), faults))
        .map(|engine| Engine {
            slots: engine.integer_u32("slots", 1, faults),
            kv_tokens: engine.integer("kv_tokens", 0, faults),
            stride: engine.integer_u32("stride", 1, faults).max(1),
        });
    Service {
        name: item.required_text("name", faults).to_string(),
        health: item
            .text("health", faults)
            .unwrap_or("/healthz")
            .to_string(),
        max_conns: item.integer_u32("max_conns", 64, faults).max(1),
        warmup_ms: item
            .number("warmup_s", faults)
            .map_or(0, |s| (s * 1000.0).ceil() as u64),
        warmup_per_s: item.number("warmup_per_s", faults).unwrap_or(0.0),
        engine,
    }
}

pub(super) fn route(
    item: &Item,
    services: &HashMap<&str, u16>,
    site: &Site,
    faults: &mut Faults,
) -> Route {
    let kind = match item.text("kind", faults) {
        Some("idempotent") => Kind::Idempotent,
        Some("stream") => Kind::Stream,
        Some("once") | None => Kind::Once,
        Some(_) => {
            item.fault(
                "kind",
                "must be \"idempotent\", \"once\" or \"stream\"",
                faults,
            );
            Kind::Once
        }
    };
    let prefix = item.required_text("prefix", faults).to_string();
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        item.fault("prefix", "must begin and end with a slash", faults);
    }
    let timeout = item.number("timeout_ms", faults).unwrap_or(0.0);
    if timeout <= 0.0 {
        item.fault("timeout_ms", "must be given, and above 0", faults);
    }
    Route {
        name: item.required_text("name", faults).to_string(),
        host: item.required_text("host", faults).to_ascii_lowercase(),
        prefix,
        kind,
        timeout_ms: (timeout.round() as u64).max(1),
        latency_target_ms: item.integer("aim_ms", 0, faults),
        priority: item.integer("priority", 0, faults).min(255) as u8,
        split: split(item, services, faults),
        attempts: item.integer_u32("attempts", 1, faults).max(1),
        prefix_affinity: item.flag("sticky", faults),
        resume: item.flag("resume", faults),
        gap_ms: item.integer("gap_ms", 0, faults),
        homes: homes(item, site, faults),
        public: item.flag("public", faults),
    }
}

pub(super) fn tenant(item: &Item, site: &Site, faults: &mut Faults) -> Tenant {
    let name = item.required_text("name", faults);
    // the name is sent to workers in a header
    if name.chars().any(char::is_control) {
        item.fault("name", "must not hold control characters", faults);
    }
    Tenant {
        name: name.into(),
        keys: api_keys(item, faults),
        priority: item.integer("priority", 0, faults).min(255) as u8,
        rate_per_s: item.number("rate_per_s", faults).unwrap_or(0.0),
        burst: item.number("burst", faults).unwrap_or(0.0),
        homes: homes(item, site, faults),
    }
}

fn api_keys(item: &Item, faults: &mut Faults) -> Vec<ApiKey> {
    let keys = item.list("keys", faults).iter().map(|key| key.as_str());
    let keys: Option<Vec<&str>> = keys.collect();
    let keys = keys.filter(|keys| keys.iter().all(|key| !key.is_empty()));
    if keys.is_none() {
        item.fault("keys", "must be a list of texts that are not empty", faults);
    }
    let keys = keys.unwrap_or_default().into_iter();
    keys.map(ApiKey::new).collect()
}

fn split(item: &Item, services: &HashMap<&str, u16>, faults: &mut Faults) -> Vec<(u16, u32)> {
    let service_index = |name: &str, owner: &Item, faults: &mut Faults| {
        let service = services.get(name).copied();
        if service.is_none() {
            owner.fault("service", format!("there is no service {name:?}"), faults);
        }
        service
    };
    if item.get("split").is_none() {
        let name = item.required_text("service", faults);
        return service_index(name, item, faults)
            .map(|service| (service, 1))
            .into_iter()
            .collect();
    }
    let mut parts: Vec<(u16, f64)> = Vec::new();
    for (index, value) in item.list("split", faults).iter().enumerate() {
        let path = join(&item.path, &format!("split[{index}]"));
        let Some(part) = Item::of(value, path, faults) else {
            continue;
        };
        let weight = part.number("weight", faults).unwrap_or(0.0);
        let name = part.required_text("service", faults);
        parts.extend(service_index(name, &part, faults).map(|service| (service, weight)));
    }
    if parts.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
        item.fault("split", "must give some service a weight above 0", faults);
    }
    // weights are stored as integers; fractional ones are scaled to keep their ratio
    let scale = if parts.iter().all(|(_, weight)| weight.fract() == 0.0) {
        1.0
    } else {
        1000.0
    };
    let scaled = |weight: f64| (weight * scale).ceil().min(1e9) as u32;
    parts
        .into_iter()
        .map(|(service, weight)| (service, scaled(weight)))
        .collect()
}

fn homes(item: &Item, site: &Site, faults: &mut Faults) -> Vec<u8> {
    let mut homes = Vec::new();
    for value in item.list("homes", faults) {
        let Some(name) = value.as_str() else {
            item.fault("homes", "must be a list of names of regions", faults);
            return homes;
        };
        // an unknown region is kept as an index that matches none: without it the
        // list could be empty, which allows every region
        homes.push(site.region(name).unwrap_or(u8::MAX));
    }
    homes
}

fn limits(item: &Item, faults: &mut Faults) -> Limits {
    let defaults = Limits::default();
    Limits {
        header_bytes: item.integer("header_bytes", defaults.header_bytes as u64, faults) as usize,
        body_bytes: item.integer("body_bytes", defaults.body_bytes as u64, faults) as usize,
        header_ms: item.integer("header_ms", defaults.header_ms, faults),
        idle_ms: item.integer("idle_ms", defaults.idle_ms, faults),
    }
}
