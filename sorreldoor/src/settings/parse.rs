//! Parsing and validation of settings.

use super::{Overrides, Role, Settings};
use crate::configuration::Site;
use crate::json::{self, Faults, ObjectReader, Value};
use crate::metrics::MetricsEndpoint;
use crate::pacing::{self, Pacing};
use simd_json::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LEASE_MS: RenamedKey = RenamedKey::new("lease_ms", "permit_ms");
const MAX_BODY: RenamedKey = RenamedKey::new("max_body", "most_body");
const MAX_CONNECTIONS: RenamedKey = RenamedKey::new("max_connections", "most_connections");
const MAX_CLAIMS: RenamedKey = RenamedKey::new("max_claims", "most_claims");

/// The keys without a deprecated name, except those of `pacing`.
const KEYS: [&str; 20] = [
    "metrics",
    "site",
    "regions",
    "node",
    "zone",
    "listen",
    "http",
    "seeds",
    "cores",
    "data",
    "platform",
    "reach",
    "ack_ms",
    "replace_ms",
    "drain_ms",
    "bootstrap",
    "grow",
    "tolerate_nodes",
    "tolerate_zones",
    "voting",
];

/// A key that is also accepted under a deprecated name.
struct RenamedKey {
    current: &'static str,
    deprecated: &'static str,
}

impl RenamedKey {
    const fn new(current: &'static str, deprecated: &'static str) -> RenamedKey {
        RenamedKey {
            current,
            deprecated,
        }
    }

    fn names(&self) -> [&'static str; 2] {
        [self.current, self.deprecated]
    }

    fn integer(
        &self,
        object: &ObjectReader,
        min: u64,
        max: u64,
        faults: &mut Faults,
    ) -> Option<u64> {
        if object.get(self.deprecated).is_none() {
            return object.integer(self.current, min, max, faults);
        }
        if object.get(self.current).is_some() {
            let fault = format!("is the old name of {}, which is given too", self.current);
            faults.add(self.deprecated, fault);
        }
        object.integer(self.deprecated, min, max, faults)
    }
}

fn all_keys() -> Vec<&'static str> {
    let renamed = [LEASE_MS, MAX_BODY, MAX_CONNECTIONS, MAX_CLAIMS];
    let renamed = renamed.iter().flat_map(RenamedKey::names);
    let keys = KEYS.into_iter().chain(renamed);
    keys.chain(pacing::KEYS).collect()
}

fn metrics_endpoint(object: &ObjectReader, faults: &mut Faults) -> Option<MetricsEndpoint> {
    let text = object.text("metrics", faults)?;
    match text.parse() {
        Ok(endpoint) => Some(endpoint),
        Err(error) => {
            faults.add("metrics", error);
            None
        }
    }
}

/// Parses all settings. The result is valid only if no fault was added.
pub(super) fn settings(
    value: &Value,
    overrides: &Overrides,
    role: Role,
    faults: &mut Faults,
) -> Option<Settings> {
    let object = faults.object(value, "", &all_keys())?;
    let site = site_name(&object, faults);
    let names = Arc::new(site_layout(&object, faults));
    let node = name(&overrides.node, &object, "node", faults);
    let zone = zone_index(&overrides.zone, &object, &names, faults);
    let region = names.region_of_zone(zone).unwrap_or(0);
    let listen = match role {
        Role::Core => required_address(&overrides.listen, &object, "listen", faults),
        Role::Edge => address(&overrides.listen, &object, "listen", faults),
    };
    let http = required_address(&overrides.http, &object, "http", faults);
    let seeds = seeds(overrides, &object, faults);
    let data_dir = data_dir(&overrides.data, &object, role, faults);
    let platform = address(&overrides.platform, &object, "platform", faults);
    let address_overrides = address_overrides(&object, faults);
    if listen.is_some() && listen == http {
        faults.add("http", "is the same address as listen");
    }
    let grow = object.flag("grow", faults).unwrap_or(false);
    let cores = cores(&object, grow, seeds.len(), faults);
    let mut integer = |key: &str, min, max| object.integer(key, min, max, faults);
    let ack_ms = integer("ack_ms", 200, 60_000).unwrap_or(2000);
    let lease_ms = LEASE_MS.integer(&object, 500, 2500, faults).unwrap_or(2000);
    let mut integer = |key: &str, min, max| object.integer(key, min, max, faults);
    let replace_ms = integer("replace_ms", 1000, 86_400_000).unwrap_or(10_000);
    let drain_ms = integer("drain_ms", 0, 600_000).unwrap_or(10_000);
    let max_body = MAX_BODY.integer(&object, 1024, 64 << 20, faults);
    let max_claims = MAX_CLAIMS.integer(&object, 1000, 10_000_000, faults);
    let max_connections = MAX_CONNECTIONS.integer(&object, 1, 65_536, faults);
    let bootstrap = object.flag("bootstrap", faults).unwrap_or(true);
    let tolerate_nodes = object.integer("tolerate_nodes", 0, 4, faults);
    let tolerate_zones = object.integer("tolerate_zones", 0, 1, faults);
    let voting = object.flag("voting", faults).unwrap_or(true);
    Some(Settings {
        site,
        names,
        node,
        zone,
        region,
        listen,
        http: http.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
        cores,
        seeds,
        seed_source: None,
        peers: Vec::new(),
        data_dir,
        platform,
        address_overrides,
        ack_ms,
        lease_ms,
        replace_ms,
        drain_ms,
        max_body: max_body.unwrap_or(1 << 20) as usize,
        max_claims: max_claims.unwrap_or(200_000) as usize,
        max_connections: max_connections.unwrap_or(2048) as usize,
        bootstrap,
        grow,
        tolerate_nodes: tolerate_nodes.map(|nodes| nodes as usize),
        tolerate_zones: tolerate_zones.unwrap_or(1) as usize,
        voting,
        metrics: metrics_endpoint(&object, faults),
        pacing: Pacing::read(&object, faults),
    })
}

fn site_name(object: &ObjectReader, faults: &mut Faults) -> String {
    let site = object.required_text("site", faults).unwrap_or("");
    if !site.is_empty() && !json::is_valid_name(site) {
        faults.add("site", "must be a plain name");
    }
    site.to_string()
}

/// A name from the flag, else from the file.
fn name(flag: &Option<String>, object: &ObjectReader, key: &str, faults: &mut Faults) -> String {
    let name = match flag {
        Some(name) => name.clone(),
        None => object.required_text(key, faults).unwrap_or("").to_string(),
    };
    if !name.is_empty() && !json::is_valid_name(&name) {
        faults.add(key, "must be a plain name");
    }
    name
}

fn zone_index(
    flag: &Option<String>,
    object: &ObjectReader,
    names: &Site,
    faults: &mut Faults,
) -> u16 {
    let zone = name(flag, object, "zone", faults);
    let index = names.zone(&zone);
    if index.is_none() && !zone.is_empty() {
        faults.add("zone", format!("{zone:?} is in no region"));
    }
    index.unwrap_or(0)
}

fn cores(object: &ObjectReader, grow: bool, seeds: usize, faults: &mut Faults) -> usize {
    let cores = object.integer("cores", 1, 9, faults);
    // a site that grows is founded by all its seeds
    let default = if grow { seeds.clamp(1, 9) } else { 3 };
    cores.map_or(default, |cores| cores as usize)
}

/// The regions with their zones, sorted by name, so that all nodes agree on the
/// indices.
fn site_layout(object: &ObjectReader, faults: &mut Faults) -> Site {
    let mut site = Site::default();
    if object.get("regions").is_none() {
        faults.add("regions", "is missing");
    }
    for (region, zones) in faults.named(object.get("regions"), "regions") {
        let index = site.regions.len() as u8;
        site.regions.push(region.to_string());
        let path = json::join("regions", region);
        for zone in zone_names(zones, &path, faults) {
            if site.zones.iter().any(|(name, _)| *name == zone) {
                faults.add(&path, format!("zone {zone:?} is named twice"));
            }
            site.zones.push((zone, index));
        }
    }
    site.zones.sort();
    site
}

fn zone_names(value: &Value, path: &str, faults: &mut Faults) -> Vec<String> {
    let items = value.as_array();
    let zones: Option<Vec<String>> = items.and_then(|items| {
        let names = items.iter().map(|item| item.as_str().map(str::to_string));
        names.collect()
    });
    let zones = zones.unwrap_or_default();
    if zones.is_empty() || !zones.iter().all(|zone| json::is_valid_name(zone)) {
        faults.add(path, "must be a list of zone names");
    }
    zones
}

fn parse_address(text: &str, path: &str, faults: &mut Faults) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        faults.add(path, format!("{text:?} is not IP:PORT"));
    }
    address
}

/// An address from the flag, else from the file.
fn address(
    flag: &Option<String>,
    object: &ObjectReader,
    key: &str,
    faults: &mut Faults,
) -> Option<SocketAddr> {
    let text = flag.as_deref().or_else(|| object.text(key, faults))?;
    parse_address(text, key, faults)
}

/// Like [`address`], but absence is a fault.
fn required_address(
    flag: &Option<String>,
    object: &ObjectReader,
    key: &str,
    faults: &mut Faults,
) -> Option<SocketAddr> {
    if flag.is_none() && object.get(key).is_none() {
        faults.add(key, "is missing");
    }
    address(flag, object, key, faults)
}

fn seeds(overrides: &Overrides, object: &ObjectReader, faults: &mut Faults) -> Vec<SocketAddr> {
    let flags: Vec<&str> = overrides.seeds.iter().map(String::as_str).collect();
    let texts = match flags.is_empty() {
        true => object.texts("seeds", faults),
        false => flags,
    };
    if texts.is_empty() {
        faults.add("seeds", "must name at least one address");
    }
    let mut unique = BTreeSet::new();
    let mut seeds = Vec::new();
    for (index, text) in texts.into_iter().enumerate() {
        let path = format!("seeds[{index}]");
        let seed = parse_address(text, &path, faults);
        if seed.is_some_and(|seed| !unique.insert(seed)) {
            faults.add(&path, format!("{text:?} is named twice"));
        }
        seeds.extend(seed);
    }
    seeds
}

fn data_dir(
    flag: &Option<String>,
    object: &ObjectReader,
    role: Role,
    faults: &mut Faults,
) -> Option<PathBuf> {
    let text = flag.as_deref();
    // the type of the file's value is checked even if a flag replaces it
    let from_file = object.text("data", faults);
    let folder = text.or(from_file).map(PathBuf::from);
    if role == Role::Core {
        check_writable(folder.as_deref(), faults);
    }
    folder
}

fn check_writable(folder: Option<&Path>, faults: &mut Faults) {
    let Some(folder) = folder else {
        faults.add("data", "is missing");
        return;
    };
    let probed =
        std::fs::create_dir_all(folder).and_then(|()| crate::store::probe_directory(folder));
    if let Err(error) = probed {
        let folder = folder.display();
        faults.add("data", format!("{folder} is not writable: {error}"));
    }
}

fn address_overrides(
    object: &ObjectReader,
    faults: &mut Faults,
) -> BTreeMap<SocketAddr, SocketAddr> {
    let mut overrides = BTreeMap::new();
    let Some(value) = object.get("reach") else {
        return overrides;
    };
    let Some(members) = value.as_object() else {
        faults.add("reach", "must map IP:PORT to IP:PORT");
        return overrides;
    };
    for (from, to) in members.iter() {
        let path = json::join("reach", from);
        let from = parse_address(from, &path, faults);
        let text = to.as_str();
        let to = text.and_then(|text| parse_address(text, &path, faults));
        if text.is_none() {
            faults.add(&path, "must be a string");
        }
        overrides.extend(from.zip(to));
    }
    overrides
}
