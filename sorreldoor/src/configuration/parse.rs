//! Parsing and validation of a configuration document: the result is either
//! complete or a list of every fault.

use super::{hosted_parse, Configuration, Group, Kind, Route, Service, Share, Site, SlowStart};
use crate::json::{self, join, Faults, ObjectReader, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The largest document in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Parses a document; also returns its JSON value.
///
/// # Errors
/// Every fault, as `path: what is wrong`.
pub fn parse(text: &[u8], site: &Site) -> Result<(Configuration, Value), Vec<String>> {
    let v = json::parse(text, MAX_BYTES).map_err(|e| vec![format!("setup: {e}")])?;
    let mut faults = Faults::default();
    let s = configuration(&v, site, &mut faults);
    s.filter(|_| faults.is_empty())
        .map(|s| (s, v))
        .ok_or(faults.into_list())
}

fn configuration(v: &Value, site: &Site, faults: &mut Faults) -> Option<Configuration> {
    let keys = ["groups", "services", "routes", "spill", "retry", "hosted"];
    let o = faults.object(v, "", &keys)?;
    let hosted = o
        .get("hosted")
        .and_then(|h| hosted_parse::parse(h, site, faults));
    let has_hosted = o.get("hosted").is_some();
    for k in ["groups", "services", "routes"] {
        if o.get(k).is_none() && !has_hosted {
            faults.add(k, "is missing");
        }
    }
    let groups: Vec<Group> = faults
        .named(o.get("groups"), "groups")
        .into_iter()
        .filter_map(|(n, v)| group(n, v, faults))
        .collect();
    let services: Vec<Service> = faults
        .named(o.get("services"), "services")
        .into_iter()
        .filter_map(|(n, v)| service(n, v, &groups, faults))
        .collect();
    let routes: Vec<Route> = faults
        .named(o.get("routes"), "routes")
        .into_iter()
        .filter_map(|(n, v)| route(n, v, &services, &groups, faults))
        .collect();
    if routes.is_empty() && !has_hosted && faults.is_empty() {
        faults.add("routes", "must name at least one route");
    }
    let spill = spill(o.get("spill"), site, faults);
    let retry_percent = o
        .get("retry")
        .and_then(|r| faults.object(r, "retry", &["percent"]))
        .and_then(|r| r.integer("percent", 0, 20, faults))
        .unwrap_or(10) as u32;
    Some(Configuration {
        groups,
        services,
        routes,
        spill,
        retry_percent,
        hosted: hosted.map(Arc::new),
    })
}

fn group(n: &str, v: &Value, faults: &mut Faults) -> Option<Group> {
    let p = join("groups", n);
    let o = faults.object(v, &p, &["kind", "slots", "queue", "warmup"])?;
    let kind = o.required_text("kind", faults);
    let model = kind == Some("model");
    if kind.is_some_and(|k| k != "model" && k != "web") {
        faults.add(&o.at("kind"), "must be \"model\" or \"web\"");
    }
    let slots = o.integer("slots", 1, 1024, faults).unwrap_or(4) as u32;
    let queue = o.integer("queue", 0, 4096, faults).unwrap_or(64) as u32;
    let w = o
        .get("warmup")
        .and_then(|w| faults.object(w, &o.at("warmup"), &["first", "after"]));
    let slow_start = SlowStart {
        initial_limit: num_of(&w, "first", (1, 1024), slots, faults),
        requests_per_step: num_of(&w, "after", (1, 1024), 4, faults),
    };
    if slow_start.initial_limit > slots {
        faults.add(&o.at("warmup.first"), "must not be above slots");
    }
    Some(Group {
        name: n.to_string(),
        model,
        slots,
        queue,
        slow_start,
    })
}

fn num_of(o: &Option<ObjectReader>, k: &str, b: (u64, u64), or: u32, faults: &mut Faults) -> u32 {
    o.as_ref()
        .and_then(|o| o.integer(k, b.0, b.1, faults))
        .map_or(or, |n| n as u32)
}

fn service(n: &str, v: &Value, groups: &[Group], faults: &mut Faults) -> Option<Service> {
    let p = join("services", n);
    let o = faults.object(v, &p, &["groups", "adapter"])?;
    let names = o.texts("groups", faults);
    if names.is_empty() {
        faults.add(&o.at("groups"), "must name at least one group");
    }
    let mut gs = Vec::new();
    for g in names {
        let i = groups.iter().position(|x| x.name == g);
        match i {
            None => faults.add(&o.at("groups"), format!("there is no group {g:?}")),
            Some(i) if gs.contains(&(i as u16)) => {
                faults.add(&o.at("groups"), format!("names {g:?} twice"))
            }
            Some(i) => gs.push(i as u16),
        }
    }
    let adapter = o.text("adapter", faults).map(str::to_string);
    Some(Service {
        name: n.to_string(),
        groups: gs,
        adapter,
    })
}

fn route(
    n: &str,
    v: &Value,
    services: &[Service],
    groups: &[Group],
    faults: &mut Faults,
) -> Option<Route> {
    let p = join("routes", n);
    let keys = [
        "kind",
        "repeatable",
        "streamed",
        "home",
        "cutoff_ms",
        "shares",
    ];
    let o = faults.object(v, &p, &keys)?;
    let kind = match o.required_text("kind", faults) {
        Some("prefix") => Kind::Prefix,
        Some("decode") => Kind::Decode,
        Some("fetch") => Kind::Fetch,
        Some(_) => {
            faults.add(&o.at("kind"), "must be \"prefix\", \"decode\" or \"fetch\"");
            Kind::Fetch
        }
        None => Kind::Fetch,
    };
    let streamed = o.flag("streamed", faults).unwrap_or(kind != Kind::Fetch);
    let repeatable = o.flag("repeatable", faults).unwrap_or(false);
    let home = o.flag("home", faults).unwrap_or(false);
    let timeout_ms = o
        .integer("cutoff_ms", 50, 600_000, faults)
        .unwrap_or(30_000);
    let mut shares = Vec::new();
    for (s, v) in faults.named(o.get("shares"), &o.at("shares")) {
        let at = join(&o.at("shares"), s);
        let i = services.iter().position(|x| x.name == s);
        if i.is_none() {
            faults.add(&at, "there is no such service");
        }
        let sh = share(i.unwrap_or(0) as u16, v, &at, faults);
        let matches_kind = i.is_none_or(|i| {
            services[i]
                .groups
                .iter()
                .all(|g| groups[*g as usize].model == (kind != Kind::Fetch))
        });
        if !matches_kind {
            faults.add(&at, "its groups are of the wrong kind for this route");
        }
        shares.extend(sh);
    }
    if shares.iter().map(|s| u64::from(s.weight)).sum::<u64>() == 0 {
        faults.add(&o.at("shares"), "must give some service a weight above 0");
    }
    Some(Route {
        name: n.to_string(),
        kind,
        repeatable,
        streamed,
        home,
        timeout_ms,
        shares,
    })
}

fn share(service: u16, v: &Value, at: &str, faults: &mut Faults) -> Option<Share> {
    let o = faults.object(v, at, &["weight", "least", "most"])?;
    if o.get("weight").is_none() {
        faults.add(&o.at("weight"), "is missing");
    }
    let weight = o.integer("weight", 0, 1000, faults).unwrap_or(0) as u32;
    // without bounds of the operator's own, nothing may tune the weight
    let min_weight = o
        .integer("least", 0, 1000, faults)
        .map_or(weight, |n| n as u32);
    let max_weight = o
        .integer("most", 0, 1000, faults)
        .map_or(weight, |n| n as u32);
    if !(min_weight..=max_weight).contains(&weight) {
        faults.add(&o.at("weight"), "must lie within least and most");
    }
    Some(Share {
        service,
        weight,
        min_weight,
        max_weight,
    })
}

fn spill(v: Option<&Value>, site: &Site, faults: &mut Faults) -> BTreeMap<(u8, u8), u32> {
    let mut out = BTreeMap::new();
    for (a, row) in faults.named(v, "spill") {
        let p = join("spill", a);
        let i = site.region(a);
        if i.is_none() {
            faults.add(&p, "there is no such region");
        }
        let Some(o) = faults.object(
            row,
            &p,
            &site.regions.iter().map(|r| &r[..]).collect::<Vec<_>>(),
        ) else {
            continue;
        };
        for (j, b) in site.regions.iter().enumerate() {
            let n = o.integer(b, 0, 100, faults);
            if n.is_some() && i == Some(j as u8) {
                faults.add(&o.at(b), "a region does not spill to itself");
            }
            out.extend(i.zip(n).map(|(i, n)| ((i, j as u8), n as u32)));
        }
    }
    out
}
