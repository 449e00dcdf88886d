//! Reading and checking the `hosted` part of a setup: lists of named items.
//! Fields that are not known stay in the document and mean nothing here.

use super::hosted::{Engine, Hosted, Kind, Limits, Route, Service};
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
    pub(super) fn of(v: &'v Value, at: String, f: &mut Faults) -> Option<Item<'v>> {
        if !v.is_object() {
            f.add(&at, "must be an object");
            return None;
        }
        Some(Item { v, at })
    }

    pub(super) fn get(&self, k: &str) -> Option<&'v Value> {
        self.v.get(k).filter(|v| !v.is_null())
    }

    fn fault(&self, k: &str, what: impl std::fmt::Display, f: &mut Faults) {
        f.add(&join(&self.at, k), what);
    }

    fn text(&self, k: &str, f: &mut Faults) -> Option<&'v str> {
        let v = self.get(k)?;
        let s = v.as_str();
        if s.is_none() {
            self.fault(k, "must be a string", f);
        }
        s
    }

    pub(super) fn required_text(&self, k: &str, f: &mut Faults) -> &'v str {
        if self.get(k).is_none() {
            self.fault(k, "is missing", f);
        }
        let s = self.text(k, f);
        if s == Some("") {
            self.fault(k, "is empty", f);
        }
        s.unwrap_or("")
    }

    fn flag(&self, k: &str, f: &mut Faults) -> bool {
        let v = self.get(k);
        let b = v.and_then(|v| v.as_bool());
        if v.is_some() && b.is_none() {
            self.fault(k, "must be true or false", f);
        }
        b.unwrap_or(false)
    }

    /// A number, whole or not, that is not below 0.
    fn num(&self, k: &str, f: &mut Faults) -> Option<f64> {
        let v = self.get(k)?;
        let n = v.cast_f64().filter(|n| n.is_finite() && *n >= 0.0);
        if n.is_none() {
            self.fault(k, "must be a number, 0 or above", f);
        }
        n
    }

    fn whole(&self, k: &str, or: u64, f: &mut Faults) -> u64 {
        self.num(k, f).map_or(or, |n| n.round() as u64)
    }

    fn small(&self, k: &str, or: u32, f: &mut Faults) -> u32 {
        self.whole(k, u64::from(or), f).min(u64::from(u32::MAX)) as u32
    }

    fn list(&self, k: &str, f: &mut Faults) -> &'v [Value] {
        let Some(v) = self.get(k) else { return &[] };
        let a = v.as_array();
        if a.is_none() {
            self.fault(k, "must be a list", f);
        }
        a.map_or(&[], |a| a.as_slice())
    }

    /// The items of a list, no two of one name.
    fn items(&self, k: &str, f: &mut Faults) -> Vec<Item<'v>> {
        let mut seen = HashSet::new();
        let mut out = Vec::new();
        for (i, v) in self.list(k, f).iter().enumerate() {
            let at = join(&self.at, &format!("{k}[{i}]"));
            let Some(it) = Item::of(v, at, f) else {
                continue;
            };
            let name = it.required_text("name", f);
            if !name.is_empty() && !seen.insert(name) {
                it.fault("name", format!("{name:?} is given twice"), f);
            }
            out.push(it);
        }
        out
    }
}

/// Reads the `hosted` part of a document; faults are added under their path.
pub fn parse(v: &Value, site: &Site, f: &mut Faults) -> Option<Hosted> {
    let top = Item::of(v, "hosted".into(), f)?;
    let services: Vec<Service> = top
        .items("services", f)
        .iter()
        .map(|i| service(i, f))
        .collect();
    let index: HashMap<&str, u16> = services
        .iter()
        .enumerate()
        .map(|(i, s)| (s.name.as_str(), i.min(usize::from(u16::MAX)) as u16))
        .collect();
    let items = top.items("routes", f);
    let routes = items.iter().map(|i| route(i, &index, site, f));
    let routes: Vec<Arc<Route>> = routes.map(Arc::new).collect();
    let by_host = by_host(&routes, f);
    let limits = limits_of(&top, f);
    Some(Hosted {
        routes,
        services,
        limits,
        by_host,
    })
}

/// The limits of a `hosted` part, or those that hold without any.
pub(super) fn limits_of(top: &Item, f: &mut Faults) -> Limits {
    top.get("limits")
        .and_then(|v| Item::of(v, "hosted.limits".into(), f))
        .map_or(Limits::default(), |i| limits(&i, f))
}

/// Routes by host, in the order they are tried; no two of one prefix.
pub(super) fn by_host(routes: &[Arc<Route>], f: &mut Faults) -> HashMap<String, Vec<u32>> {
    let mut out: HashMap<String, Vec<u32>> = HashMap::new();
    let mut seen: HashSet<(&str, &str)> = HashSet::new();
    for (i, r) in routes.iter().enumerate() {
        if !seen.insert((&r.host, &r.prefix)) {
            let (h, p) = (&r.host, &r.prefix);
            f.add(
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

pub(super) fn service(i: &Item, f: &mut Faults) -> Service {
    let engine = i
        .get("engine")
        .and_then(|v| Item::of(v, join(&i.at, "engine"), f))
        .map(|e| Engine {
            slots: e.small("slots", 1, f),
            kv_tokens: e.whole("kv_tokens", 0, f),
            stride: e.small("stride", 1, f).max(1),
        });
    Service {
        name: i.required_text("name", f).to_string(),
        health: i.text("health", f).unwrap_or("/healthz").to_string(),
        max_conns: i.small("max_conns", 64, f).max(1),
        warmup_ms: i
            .num("warmup_s", f)
            .map_or(0, |s| (s * 1000.0).ceil() as u64),
        warmup_per_s: i.num("warmup_per_s", f).unwrap_or(0.0),
        engine,
    }
}

pub(super) fn route(i: &Item, services: &HashMap<&str, u16>, site: &Site, f: &mut Faults) -> Route {
    let kind = match i.text("kind", f) {
        Some("idempotent") => Kind::Idempotent,
        Some("stream") => Kind::Stream,
        Some("once") | None => Kind::Once,
        Some(_) => {
            i.fault("kind", "must be \"idempotent\", \"once\" or \"stream\"", f);
            Kind::Once
        }
    };
    let prefix = i.required_text("prefix", f).to_string();
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        i.fault("prefix", "must begin and end with a slash", f);
    }
    let timeout = i.num("timeout_ms", f).unwrap_or(0.0);
    if timeout <= 0.0 {
        i.fault("timeout_ms", "must be given, and above 0", f);
    }
    Route {
        name: i.required_text("name", f).to_string(),
        host: i.required_text("host", f).to_ascii_lowercase(),
        prefix,
        kind,
        timeout_ms: (timeout.round() as u64).max(1),
        aim_ms: i.whole("aim_ms", 0, f),
        priority: i.whole("priority", 0, f).min(255) as u8,
        split: split(i, services, f),
        attempts: i.small("attempts", 1, f).max(1),
        sticky: i.flag("sticky", f),
        resume: i.flag("resume", f),
        gap_ms: i.whole("gap_ms", 0, f),
        homes: homes(i, site, f),
    }
}

fn split(i: &Item, services: &HashMap<&str, u16>, f: &mut Faults) -> Vec<(u16, u32)> {
    let named = |name: &str, at: &Item, f: &mut Faults| {
        let s = services.get(name).copied();
        if s.is_none() {
            at.fault("service", format!("there is no service {name:?}"), f);
        }
        s
    };
    if i.get("split").is_none() {
        let name = i.required_text("service", f);
        return named(name, i, f).map(|s| (s, 1)).into_iter().collect();
    }
    let mut all: Vec<(u16, f64)> = Vec::new();
    for (n, v) in i.list("split", f).iter().enumerate() {
        let at = join(&i.at, &format!("split[{n}]"));
        let Some(it) = Item::of(v, at, f) else {
            continue;
        };
        let w = it.num("weight", f).unwrap_or(0.0);
        let name = it.required_text("service", f);
        all.extend(named(name, &it, f).map(|s| (s, w)));
    }
    if all.iter().map(|(_, w)| w).sum::<f64>() <= 0.0 {
        i.fault("split", "must give some service a weight above 0", f);
    }
    // weights are whole inside, and fractions must keep their shares
    let by = if all.iter().all(|(_, w)| w.fract() == 0.0) {
        1.0
    } else {
        1000.0
    };
    let whole = |w: f64| (w * by).ceil().min(1e9) as u32;
    all.into_iter().map(|(s, w)| (s, whole(w))).collect()
}

fn homes(i: &Item, site: &Site, f: &mut Faults) -> Vec<u8> {
    let mut out = Vec::new();
    for v in i.list("homes", f) {
        let Some(name) = v.as_str() else {
            i.fault("homes", "must be a list of names of regions", f);
            return out;
        };
        // a home that this site does not have must not come to mean
        // that every region may serve
        out.push(site.region(name).unwrap_or(u8::MAX));
    }
    out
}

fn limits(i: &Item, f: &mut Faults) -> Limits {
    let d = Limits::default();
    Limits {
        header_bytes: i.whole("header_bytes", d.header_bytes as u64, f) as usize,
        body_bytes: i.whole("body_bytes", d.body_bytes as u64, f) as usize,
        header_ms: i.whole("header_ms", d.header_ms, f),
        idle_ms: i.whole("idle_ms", d.idle_ms, f),
    }
}
