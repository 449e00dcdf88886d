//! Parsing and validation of the `hosted` section of a configuration: lists of
//! named items. Unknown fields remain in the document and are ignored.

use super::hosted::{Engine, Hosted, Kind, Limits, Route, Service};
use super::tenants::{ApiKey, SharedKey, Tenant, Tenants};
use super::Site;
use crate::json::{join, Faults, Value};
use simd_json::prelude::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// One item of a list, under its path.
pub(super) struct Item<'v> {
    v: &'v Value,
    at: String,
}

impl<'v> Item<'v> {
    pub(super) fn of(v: &'v Value, at: String, faults: &mut Faults) -> Option<Item<'v>> {
        if !v.is_object() {
            faults.add(&at, "must be an object");
            return None;
        }
        Some(Item { v, at })
    }

    pub(super) fn get(&self, k: &str) -> Option<&'v Value> {
        self.v.get(k).filter(|v| !v.is_null())
    }

    fn fault(&self, k: &str, what: impl std::fmt::Display, faults: &mut Faults) {
        faults.add(&join(&self.at, k), what);
    }

    fn text(&self, k: &str, faults: &mut Faults) -> Option<&'v str> {
        let v = self.get(k)?;
        let s = v.as_str();
        if s.is_none() {
            self.fault(k, "must be a string", faults);
        }
        s
    }

    pub(super) fn required_text(&self, k: &str, faults: &mut Faults) -> &'v str {
        if self.get(k).is_none() {
            self.fault(k, "is missing", faults);
        }
        let s = self.text(k, faults);
        if s == Some("") {
            self.fault(k, "is empty", faults);
        }
        s.unwrap_or("")
    }

    fn flag(&self, k: &str, faults: &mut Faults) -> bool {
        let v = self.get(k);
        let b = v.and_then(|v| v.as_bool());
        if v.is_some() && b.is_none() {
            self.fault(k, "must be true or false", faults);
        }
        b.unwrap_or(false)
    }

    /// A number, whole or not, that is not below 0.
    fn num(&self, k: &str, faults: &mut Faults) -> Option<f64> {
        let v = self.get(k)?;
        let n = v.cast_f64().filter(|n| n.is_finite() && *n >= 0.0);
        if n.is_none() {
            self.fault(k, "must be a number, 0 or above", faults);
        }
        n
    }

    fn integer(&self, k: &str, or: u64, faults: &mut Faults) -> u64 {
        self.num(k, faults).map_or(or, |n| n.round() as u64)
    }

    fn integer_u32(&self, k: &str, or: u32, faults: &mut Faults) -> u32 {
        self.integer(k, u64::from(or), faults)
            .min(u64::from(u32::MAX)) as u32
    }

    fn list(&self, k: &str, faults: &mut Faults) -> &'v [Value] {
        let Some(v) = self.get(k) else { return &[] };
        let a = v.as_array();
        if a.is_none() {
            self.fault(k, "must be a list", faults);
        }
        a.map_or(&[], |a| a.as_slice())
    }

    /// The items of a list, no two of one name.
    fn items(&self, k: &str, faults: &mut Faults) -> Vec<Item<'v>> {
        let mut unique = HashSet::new();
        let mut out = Vec::new();
        for (i, v) in self.list(k, faults).iter().enumerate() {
            let at = join(&self.at, &format!("{k}[{i}]"));
            let Some(it) = Item::of(v, at, faults) else {
                continue;
            };
            let name = it.required_text("name", faults);
            if !name.is_empty() && !unique.insert(name) {
                it.fault("name", format!("{name:?} is given twice"), faults);
            }
            out.push(it);
        }
        out
    }
}

/// Parses the `hosted` section of a document; faults are added under their
/// path.
pub fn parse(v: &Value, site: &Site, faults: &mut Faults) -> Option<Hosted> {
    let top = Item::of(v, "hosted".into(), faults)?;
    let services: Vec<Service> = top
        .items("services", faults)
        .iter()
        .map(|i| service(i, faults))
        .collect();
    let index: HashMap<&str, u16> = services
        .iter()
        .enumerate()
        .map(|(i, s)| (s.name.as_str(), i.min(usize::from(u16::MAX)) as u16))
        .collect();
    let items = top.items("routes", faults);
    let routes = items.iter().map(|i| route(i, &index, site, faults));
    let routes: Vec<Arc<Route>> = routes.map(Arc::new).collect();
    let by_host = by_host(&routes, faults);
    let limits = limits_of(&top, faults);
    let items = top.items("tenants", faults);
    let tenants = items.iter().map(|i| tenant(i, site, faults));
    let tenants = tenants.map(Arc::new).collect();
    let tenants = tenants_of(tenants, top.get("tenants").is_some(), faults);
    Some(Hosted {
        routes,
        services,
        limits,
        tenants,
        by_host,
    })
}

/// The tenants with their keys; a key that two of them hold is a fault, which
/// does not show it.
pub(super) fn tenants_of(
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
pub(super) fn limits_of(top: &Item, faults: &mut Faults) -> Limits {
    top.get("limits")
        .and_then(|v| Item::of(v, "hosted.limits".into(), faults))
        .map_or(Limits::default(), |i| limits(&i, faults))
}

/// Routes by host in the order of matching; a repeated prefix is a fault.
pub(super) fn by_host(routes: &[Arc<Route>], faults: &mut Faults) -> HashMap<String, Vec<u32>> {
    let mut out: HashMap<String, Vec<u32>> = HashMap::new();
    let mut unique: HashSet<(&str, &str)> = HashSet::new();
    for (i, r) in routes.iter().enumerate() {
        if !unique.insert((&r.host, &r.prefix)) {
            let (h, p) = (&r.host, &r.prefix);
            faults.add(
                &format!("hosted.routes[{i}]"),
                format!("{h:?} has the prefix {p:?} twice"),
            );
        }
        out.entry(r.host.clone()).or_default().push(i as u32);
    }
    let prefix = |i: &u32| &routes[*i as usize].prefix;
    for v in out.values_mut() {
        v.sort_by(|a, b| super::hosted::order(prefix(a), prefix(b)));
    }
    out
}

pub(super) fn service(i: &Item, faults: &mut Faults) -> Service {
    let engine = i
        .get("engine")
        .and_then(|v| Item::of(v, join(&i.at, "engine"), faults))
        .map(|e| Engine {
            slots: e.integer_u32("slots", 1, faults),
            kv_tokens: e.integer("kv_tokens", 0, faults),
            stride: e.integer_u32("stride", 1, faults).max(1),
        });
    Service {
        name: i.required_text("name", faults).to_string(),
        health: i.text("health", faults).unwrap_or("/healthz").to_string(),
        max_conns: i.integer_u32("max_conns", 64, faults).max(1),
        warmup_ms: i
            .num("warmup_s", faults)
            .map_or(0, |s| (s * 1000.0).ceil() as u64),
        warmup_per_s: i.num("warmup_per_s", faults).unwrap_or(0.0),
        engine,
    }
}

pub(super) fn route(
    i: &Item,
    services: &HashMap<&str, u16>,
    site: &Site,
    faults: &mut Faults,
) -> Route {
    let kind = match i.text("kind", faults) {
        Some("idempotent") => Kind::Idempotent,
        Some("stream") => Kind::Stream,
        Some("once") | None => Kind::Once,
        Some(_) => {
            i.fault(
                "kind",
                "must be \"idempotent\", \"once\" or \"stream\"",
                faults,
            );
            Kind::Once
        }
    };
    let prefix = i.required_text("prefix", faults).to_string();
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        i.fault("prefix", "must begin and end with a slash", faults);
    }
    let timeout = i.num("timeout_ms", faults).unwrap_or(0.0);
    if timeout <= 0.0 {
        i.fault("timeout_ms", "must be given, and above 0", faults);
    }
    Route {
        name: i.required_text("name", faults).to_string(),
        host: i.required_text("host", faults).to_ascii_lowercase(),
        prefix,
        kind,
        timeout_ms: (timeout.round() as u64).max(1),
        latency_target_ms: i.integer("aim_ms", 0, faults),
        priority: i.integer("priority", 0, faults).min(255) as u8,
        split: split(i, services, faults),
        attempts: i.integer_u32("attempts", 1, faults).max(1),
        prefix_affinity: i.flag("sticky", faults),
        resume: i.flag("resume", faults),
        gap_ms: i.integer("gap_ms", 0, faults),
        homes: homes(i, site, faults),
        public: i.flag("public", faults),
    }
}

pub(super) fn tenant(i: &Item, site: &Site, faults: &mut Faults) -> Tenant {
    let name = i.required_text("name", faults);
    // workers are told the name in a header
    if name.chars().any(char::is_control) {
        i.fault("name", "must not hold control characters", faults);
    }
    Tenant {
        name: name.into(),
        keys: api_keys(i, faults),
        priority: i.integer("priority", 0, faults).min(255) as u8,
        rate_per_s: i.num("rate_per_s", faults).unwrap_or(0.0),
        burst: i.num("burst", faults).unwrap_or(0.0),
        homes: homes(i, site, faults),
    }
}

fn api_keys(i: &Item, faults: &mut Faults) -> Vec<ApiKey> {
    let keys = i.list("keys", faults).iter().map(|key| key.as_str());
    let keys: Option<Vec<&str>> = keys.collect();
    let keys = keys.filter(|keys| keys.iter().all(|key| !key.is_empty()));
    if keys.is_none() {
        i.fault("keys", "must be a list of texts that are not empty", faults);
    }
    let keys = keys.unwrap_or_default().into_iter();
    keys.map(ApiKey::new).collect()
}

fn split(i: &Item, services: &HashMap<&str, u16>, faults: &mut Faults) -> Vec<(u16, u32)> {
    let named = |name: &str, at: &Item, faults: &mut Faults| {
        let s = services.get(name).copied();
        if s.is_none() {
            at.fault("service", format!("there is no service {name:?}"), faults);
        }
        s
    };
    if i.get("split").is_none() {
        let name = i.required_text("service", faults);
        return named(name, i, faults).map(|s| (s, 1)).into_iter().collect();
    }
    let mut all: Vec<(u16, f64)> = Vec::new();
    for (n, v) in i.list("split", faults).iter().enumerate() {
        let at = join(&i.at, &format!("split[{n}]"));
        let Some(it) = Item::of(v, at, faults) else {
            continue;
        };
        let w = it.num("weight", faults).unwrap_or(0.0);
        let name = it.required_text("service", faults);
        all.extend(named(name, &it, faults).map(|s| (s, w)));
    }
    if all.iter().map(|(_, w)| w).sum::<f64>() <= 0.0 {
        i.fault("split", "must give some service a weight above 0", faults);
    }
    // weights are whole inside, and fractions must keep their shares
    let by = if all.iter().all(|(_, w)| w.fract() == 0.0) {
        1.0
    } else {
        1000.0
    };
    let scaled = |w: f64| (w * by).ceil().min(1e9) as u32;
    all.into_iter().map(|(s, w)| (s, scaled(w))).collect()
}

fn homes(i: &Item, site: &Site, faults: &mut Faults) -> Vec<u8> {
    let mut out = Vec::new();
    for v in i.list("homes", faults) {
        let Some(name) = v.as_str() else {
            i.fault("homes", "must be a list of names of regions", faults);
            return out;
        };
        // a home that this site does not have must not come to mean
        // that every region may serve
        out.push(site.region(name).unwrap_or(u8::MAX));
    }
    out
}

fn limits(i: &Item, faults: &mut Faults) -> Limits {
    let d = Limits::default();
    Limits {
        header_bytes: i.integer("header_bytes", d.header_bytes as u64, faults) as usize,
        body_bytes: i.integer("body_bytes", d.body_bytes as u64, faults) as usize,
        header_ms: i.integer("header_ms", d.header_ms, faults),
        idle_ms: i.integer("idle_ms", d.idle_ms, faults),
    }
}
