//! Parsing and validation of a configuration document. The result is the complete
//! configuration, or a list of all faults.

use super::{hosted_parse, Configuration, Group, Kind, Route, Service, Share, Site, SlowStart};
use crate::invariants::{is_disabled, Invariant};
use crate::json::{self, join, Faults, ObjectReader, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The largest document that an operator may send, and the largest content of one that
/// edits may make, in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Parses a document that an operator sends, of at most [`MAX_BYTES`]; returns the
/// configuration and the document's JSON value.
///
/// # Errors
/// Every fault of the document, as `path: what is wrong`.
pub fn parse(text: &[u8], site: &Site) -> Result<(Configuration, Value), Vec<String>> {
    let value = json::parse(text, MAX_BYTES).map_err(|error| vec![format!("setup: {error}")])?;
    validate(value, site)
}

/// Parses a document that the cores have accepted, as the replicated state writes it. Edits
/// may have made it larger and nested deeper than [`parse`] allows.
///
/// # Errors
/// As for [`parse`].
pub fn parse_accepted(text: &str, site: &Site) -> Result<(Configuration, Value), Vec<String>> {
    if is_disabled(Invariant::AcceptedIsReadable) {
        return parse(text.as_bytes(), site);
    }
    validate(json::parse_canonical(text), site)
}

fn validate(value: Value, site: &Site) -> Result<(Configuration, Value), Vec<String>> {
    let mut faults = Faults::default();
    let parsed = configuration(&value, site, &mut faults);
    parsed
        .filter(|_| faults.is_empty())
        .map(|configuration| (configuration, value))
        .ok_or(faults.into_list())
}

fn configuration(value: &Value, site: &Site, faults: &mut Faults) -> Option<Configuration> {
    let keys = ["groups", "services", "routes", "spill", "retry", "hosted"];
    let object = faults.object(value, "", &keys)?;
    let hosted = object
        .get("hosted")
        .and_then(|hosted| hosted_parse::parse(hosted, site, faults));
    let has_hosted = object.get("hosted").is_some();
    for key in ["groups", "services", "routes"] {
        if object.get(key).is_none() && !has_hosted {
            faults.add(key, "is missing");
        }
    }
    let groups: Vec<Group> = faults
        .named(object.get("groups"), "groups")
        .into_iter()
        .filter_map(|(name, value)| group(name, value, faults))
        .collect();
    let services: Vec<Service> = faults
        .named(object.get("services"), "services")
        .into_iter()
        .filter_map(|(name, value)| service(name, value, &groups, faults))
        .collect();
    let routes: Vec<Route> = faults
        .named(object.get("routes"), "routes")
        .into_iter()
        .filter_map(|(name, value)| route(name, value, &services, &groups, faults))
        .collect();
    if routes.is_empty() && !has_hosted && faults.is_empty() {
        faults.add("routes", "must name at least one route");
    }
    let spill = spill(object.get("spill"), site, faults);
    let retry_percent = object
        .get("retry")
        .and_then(|retry| faults.object(retry, "retry", &["percent"]))
        .and_then(|retry| retry.integer("percent", 0, 20, faults))
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

fn group(name: &str, value: &Value, faults: &mut Faults) -> Option<Group> {
    let path = join("groups", name);
    let object = faults.object(value, &path, &["kind", "slots", "queue", "warmup"])?;
    let kind = object.required_text("kind", faults);
    let model = kind == Some("model");
    if kind.is_some_and(|kind| kind != "model" && kind != "web") {
        faults.add(&object.at("kind"), "must be \"model\" or \"web\"");
    }
    let slots = object.integer("slots", 1, 1024, faults).unwrap_or(4) as u32;
    let queue = object.integer("queue", 0, 4096, faults).unwrap_or(64) as u32;
    let warmup = object
        .get("warmup")
        .and_then(|warmup| faults.object(warmup, &object.at("warmup"), &["first", "after"]));
    let slow_start = SlowStart {
        initial_limit: integer_or(&warmup, "first", (1, 1024), slots, faults),
        requests_per_step: integer_or(&warmup, "after", (1, 1024), 4, faults),
    };
    if slow_start.initial_limit > slots {
        faults.add(&object.at("warmup.first"), "must not be above slots");
    }
    Some(Group {
        name: name.to_string(),
        model,
        slots,
        queue,
        slow_start,
    })
}

fn integer_or(
    object: &Option<ObjectReader>,
    key: &str,
    bounds: (u64, u64),
    default: u32,
    faults: &mut Faults,
) -> u32 {
    object
        .as_ref()
        .and_then(|object| object.integer(key, bounds.0, bounds.1, faults))
        .map_or(default, |number| number as u32)
}

fn service(name: &str, value: &Value, groups: &[Group], faults: &mut Faults) -> Option<Service> {
    let path = join("services", name);
    let object = faults.object(value, &path, &["groups", "adapter"])?;
    let names = object.texts("groups", faults);
    if names.is_empty() {
        faults.add(&object.at("groups"), "must name at least one group");
    }
    let mut group_indices = Vec::new();
    for group in names {
        let index = groups.iter().position(|known| known.name == group);
        match index {
            None => faults.add(&object.at("groups"), format!("there is no group {group:?}")),
            Some(index) if group_indices.contains(&(index as u16)) => {
                faults.add(&object.at("groups"), format!("names {group:?} twice"))
            }
            Some(index) => group_indices.push(index as u16),
        }
    }
    let adapter = object.text("adapter", faults).map(str::to_string);
    Some(Service {
        name: name.to_string(),
        groups: group_indices,
        adapter,
    })
}

fn route(
    name: &str,
    value: &Value,
    services: &[Service],
    groups: &[Group],
    faults: &mut Faults,
) -> Option<Route> {
    let path = join("routes", name);
    let keys = [
        "kind",
        "repeatable",
        "streamed",
        "home",
        "cutoff_ms",
        "shares",
    ];
    let object = faults.object(value, &path, &keys)?;
    let kind = match object.required_text("kind", faults) {
        Some("prefix") => Kind::Prefix,
        Some("decode") => Kind::Decode,
        Some("fetch") => Kind::Fetch,
        Some(_) => {
            faults.add(
                &object.at("kind"),
                "must be \"prefix\", \"decode\" or \"fetch\"",
            );
            Kind::Fetch
        }
        None => Kind::Fetch,
    };
    let streamed = object
        .flag("streamed", faults)
        .unwrap_or(kind != Kind::Fetch);
    let repeatable = object.flag("repeatable", faults).unwrap_or(false);
    let home = object.flag("home", faults).unwrap_or(false);
    let timeout_ms = object
        .integer("cutoff_ms", 50, 600_000, faults)
        .unwrap_or(30_000);
    let mut shares = Vec::new();
    for (service, value) in faults.named(object.get("shares"), &object.at("shares")) {
        let share_path = join(&object.at("shares"), service);
        let index = services.iter().position(|known| known.name == service);
        if index.is_none() {
            faults.add(&share_path, "there is no such service");
        }
        let share = share(index.unwrap_or(0) as u16, value, &share_path, faults);
        let matches_kind = index.is_none_or(|index| {
            services[index]
                .groups
                .iter()
                .all(|group| groups[*group as usize].model == (kind != Kind::Fetch))
        });
        if !matches_kind {
            faults.add(
                &share_path,
                "its groups are of the wrong kind for this route",
            );
        }
        shares.extend(share);
    }
    if shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum::<u64>()
        == 0
    {
        faults.add(
            &object.at("shares"),
            "must give some service a weight above 0",
        );
    }
    Some(Route {
        name: name.to_string(),
        kind,
        repeatable,
        streamed,
        home,
        timeout_ms,
        shares,
    })
}

fn share(service: u16, value: &Value, path: &str, faults: &mut Faults) -> Option<Share> {
    let object = faults.object(value, path, &["weight", "least", "most"])?;
    if object.get("weight").is_none() {
        faults.add(&object.at("weight"), "is missing");
    }
    let weight = object.integer("weight", 0, 1000, faults).unwrap_or(0) as u32;
    // an absent bound is the weight itself, so that weight tuning cannot pass it
    let min_weight = object
        .integer("least", 0, 1000, faults)
        .map_or(weight, |bound| bound as u32);
    let max_weight = object
        .integer("most", 0, 1000, faults)
        .map_or(weight, |bound| bound as u32);
    if !(min_weight..=max_weight).contains(&weight) {
        faults.add(&object.at("weight"), "must lie within least and most");
    }
    Some(Share {
        service,
        weight,
        min_weight,
        max_weight,
    })
}

fn spill(value: Option<&Value>, site: &Site, faults: &mut Faults) -> BTreeMap<(u8, u8), u32> {
    let mut spill = BTreeMap::new();
    for (origin, row) in faults.named(value, "spill") {
        let path = join("spill", origin);
        let origin_index = site.region(origin);
        if origin_index.is_none() {
            faults.add(&path, "there is no such region");
        }
        let Some(object) = faults.object(
            row,
            &path,
            &site
                .regions
                .iter()
                .map(|region| &region[..])
                .collect::<Vec<_>>(),
        ) else {
            continue;
        };
        for (destination_index, destination) in site.regions.iter().enumerate() {
            let percent = object.integer(destination, 0, 100, faults);
            if percent.is_some() && origin_index == Some(destination_index as u8) {
                faults.add(&object.at(destination), "a region does not spill to itself");
            }
            spill.extend(origin_index.zip(percent).map(|(origin_index, percent)| {
                ((origin_index, destination_index as u8), percent as u32)
            }));
        }
    }
    spill
}
