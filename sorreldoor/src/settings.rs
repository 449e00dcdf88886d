//! A process's own settings: one JSON file, flags over it, checked whole.

use crate::configuration::Site;
use crate::control_plane::membership::Policy;
use crate::json::{self, Faults, ObjectReader, Value};
use crate::pacing::{self, Pacing};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct Settings {
    pub site: String,
    pub names: Arc<Site>,
    pub node: String,
    pub zone: u16,
    pub region: u8,
    /// For frames from other nodes; cores only.
    pub listen: Option<SocketAddr>,
    pub http: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub cores: usize,
    pub data: Option<PathBuf>,
    pub platform: Option<SocketAddr>,
    /// Where to dial for an address that is not reached directly.
    pub reach: BTreeMap<SocketAddr, SocketAddr>,
    pub ack_ms: u64,
    pub lease_ms: u64,
    pub replace_ms: u64,
    pub drain_ms: u64,
    pub most_body: usize,
    pub most_connections: usize,
    pub most_claims: usize,
    /// A blank core may found a site with the others; else it only joins one.
    pub bootstrap: bool,
    /// The site is founded by its seeds, and further cores join it.
    pub grow: bool,
    /// Cores that may be lost at once; none: as many as `cores` bear.
    pub tolerate_nodes: Option<usize>,
    /// Zones that may be lost at once.
    pub tolerate_zones: usize,
    /// This core may vote; else it only holds a copy.
    pub voting: bool,
    pub pacing: Pacing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Core,
    Edge,
}

const KEYS: &[&str] = &[
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
    "permit_ms",
    "replace_ms",
    "drain_ms",
    "most_body",
    "most_connections",
    "most_claims",
    "bootstrap",
    "grow",
    "tolerate_nodes",
    "tolerate_zones",
    "voting",
];

/// Values given as flags; each replaces the file's.
#[derive(Clone, Debug, Default)]
pub struct Over {
    pub node: Option<String>,
    pub zone: Option<String>,
    pub listen: Option<String>,
    pub http: Option<String>,
    pub data: Option<String>,
    pub platform: Option<String>,
    pub seeds: Vec<String>,
}

impl Settings {
    pub fn load(file: &Path, over: &Over, role: Role) -> Result<Settings, Vec<String>> {
        let text = std::fs::read(file)
            .map_err(|e| vec![format!("settings: cannot read {}: {e}", file.display())])?;
        Settings::read(&text, over, role)
    }

    pub fn read(text: &[u8], over: &Over, role: Role) -> Result<Settings, Vec<String>> {
        let v = json::parse(text, 1 << 20).map_err(|e| vec![format!("settings: {e}")])?;
        let mut f = Faults::default();
        let s = whole(&v, over, role, &mut f);
        s.filter(|_| f.none()).ok_or(f.0)
    }

    pub fn reached(&self, a: SocketAddr) -> SocketAddr {
        self.reach.get(&a).copied().unwrap_or(a)
    }

    /// How many voters there should be, and how they are spread.
    pub fn members(&self) -> Policy {
        let (zones, silent_ms) = (self.tolerate_zones, self.replace_ms);
        let Some(nodes) = self.tolerate_nodes else {
            let voters = self.cores;
            return Policy {
                voters,
                zones,
                silent_ms,
            };
        };
        Policy::tolerating(nodes, zones, silent_ms)
    }

    /// Equal on all nodes of one site, or they must not talk.
    pub fn site_mark(&self) -> String {
        let zones: Vec<String> = self
            .names
            .zones
            .iter()
            .map(|(z, r)| format!("{z}@{r}"))
            .collect();
        format!(
            "{}/{}/{}",
            self.site,
            self.names.regions.join(","),
            zones.join(",")
        )
    }
}

fn whole(v: &Value, over: &Over, role: Role, f: &mut Faults) -> Option<Settings> {
    let o = f.object(v, "", &[KEYS, &pacing::KEYS].concat())?;
    let site = o.required_text("site", f).unwrap_or("").to_string();
    if !site.is_empty() && !json::is_valid_name(&site) {
        f.add("site", "must be a plain name");
    }
    let names = Arc::new(names(&o, f));
    let node = text(&over.node, &o, "node", f);
    let zone = text(&over.zone, &o, "zone", f);
    let z = names.zone(&zone);
    if z.is_none() && !zone.is_empty() {
        f.add("zone", format!("{zone:?} is in no region"));
    }
    let zone = z.unwrap_or(0);
    let region = names.region_of_zone(zone).unwrap_or(0);
    let listen = addr(&over.listen, &o, "listen", role == Role::Core, f);
    let http = addr(&over.http, &o, "http", true, f);
    let seeds = seeds(over, &o, f);
    let data = over
        .data
        .clone()
        .or(o.text("data", f).map(str::to_string))
        .map(PathBuf::from);
    if role == Role::Core {
        folder(data.as_deref(), f);
    }
    let platform = addr(&over.platform, &o, "platform", false, f);
    let reach = reach(&o, f);
    if listen.is_some() && listen == http {
        f.add("http", "is the same address as listen");
    }
    let grow = o.flag("grow", f).unwrap_or(false);
    Some(Settings {
        site,
        names,
        node,
        zone,
        region,
        listen,
        http: http.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
        cores: cores(&o, grow, seeds.len(), f),
        seeds,
        data,
        platform,
        reach,
        ack_ms: o.num("ack_ms", 200, 60_000, f).unwrap_or(2000),
        lease_ms: o.num("permit_ms", 500, 2500, f).unwrap_or(2000),
        replace_ms: o.num("replace_ms", 1000, 86_400_000, f).unwrap_or(10_000),
        drain_ms: o.num("drain_ms", 0, 600_000, f).unwrap_or(10_000),
        most_body: o.num("most_body", 1024, 64 << 20, f).unwrap_or(1 << 20) as usize,
        most_claims: o.num("most_claims", 1000, 10_000_000, f).unwrap_or(200_000) as usize,
        most_connections: o.num("most_connections", 1, 65_536, f).unwrap_or(2048) as usize,
        bootstrap: o.flag("bootstrap", f).unwrap_or(true),
        grow,
        tolerate_nodes: o.num("tolerate_nodes", 0, 4, f).map(|n| n as usize),
        tolerate_zones: o.num("tolerate_zones", 0, 1, f).unwrap_or(1) as usize,
        voting: o.flag("voting", f).unwrap_or(true),
        pacing: Pacing::read(&o, f),
    })
}

fn cores(o: &ObjectReader, grow: bool, seeds: usize, f: &mut Faults) -> usize {
    let n = o.num("cores", 1, 9, f).map(|n| n as usize);
    // a site that grows is founded by its seeds, however many there are
    n.unwrap_or(if grow { seeds.clamp(1, 9) } else { 3 })
}

fn text(over: &Option<String>, o: &ObjectReader, k: &str, f: &mut Faults) -> String {
    let got = over
        .clone()
        .or_else(|| o.required_text(k, f).map(str::to_string));
    let s = got.unwrap_or_default();
    if !s.is_empty() && !json::is_valid_name(&s) {
        f.add(k, "must be a plain name");
    }
    s
}

fn names(o: &ObjectReader, f: &mut Faults) -> Site {
    let mut s = Site::default();
    if o.get("regions").is_none() {
        f.add("regions", "is missing");
    }
    for (r, zs) in f.named(o.get("regions"), "regions") {
        let i = s.regions.len() as u8;
        s.regions.push(r.to_string());
        let at = json::join("regions", r);
        let wrap = std::iter::once((r, zs)).collect::<BTreeMap<_, _>>();
        for z in zones(wrap[r], &at, f) {
            if s.zones.iter().any(|(n, _)| *n == z) {
                f.add(&at, format!("zone {z:?} is named twice"));
            }
            s.zones.push((z, i));
        }
    }
    s.zones.sort();
    s
}

fn zones(v: &Value, at: &str, f: &mut Faults) -> Vec<String> {
    use simd_json::prelude::*;
    let all: Option<Vec<String>> = v
        .as_array()
        .and_then(|a| a.iter().map(|x| x.as_str().map(str::to_string)).collect());
    let all = all.unwrap_or_default();
    if all.is_empty() || !all.iter().all(|z| json::is_valid_name(z)) {
        f.add(at, "must be a list of zone names");
    }
    all
}

fn parse_addr(s: &str, at: &str, f: &mut Faults) -> Option<SocketAddr> {
    let a = s.parse::<SocketAddr>().ok();
    if a.is_none() {
        f.add(at, format!("{s:?} is not IP:PORT"));
    }
    a
}

fn addr(
    over: &Option<String>,
    o: &ObjectReader,
    k: &str,
    must: bool,
    f: &mut Faults,
) -> Option<SocketAddr> {
    let s = over.clone().or_else(|| {
        let t = if must {
            o.required_text(k, f)
        } else {
            o.text(k, f)
        };
        t.map(str::to_string)
    });
    s.and_then(|s| parse_addr(&s, k, f))
}

fn seeds(over: &Over, o: &ObjectReader, f: &mut Faults) -> Vec<SocketAddr> {
    let texts: Vec<String> = if over.seeds.is_empty() {
        o.texts("seeds", f)
            .into_iter()
            .map(str::to_string)
            .collect()
    } else {
        over.seeds.clone()
    };
    if texts.is_empty() {
        f.add("seeds", "must name at least one address");
    }
    let mut seen = BTreeSet::new();
    let mut out = Vec::new();
    for (i, t) in texts.iter().enumerate() {
        let at = format!("seeds[{i}]");
        let a = parse_addr(t, &at, f);
        if a.is_some_and(|a| !seen.insert(a)) {
            f.add(&at, format!("{t:?} is named twice"));
        }
        out.extend(a);
    }
    out
}

fn folder(data: Option<&Path>, f: &mut Faults) {
    let Some(d) = data else {
        f.add("data", "is missing");
        return;
    };
    let tried = std::fs::create_dir_all(d).and_then(|_| crate::store::probe_folder(d));
    if let Err(e) = tried {
        f.add("data", format!("{} is not writable: {e}", d.display()));
    }
}

fn reach(o: &ObjectReader, f: &mut Faults) -> BTreeMap<SocketAddr, SocketAddr> {
    use simd_json::prelude::*;
    let mut out = BTreeMap::new();
    let Some(v) = o.get("reach") else { return out };
    let Some(m) = v.as_object() else {
        f.add("reach", "must map IP:PORT to IP:PORT");
        return out;
    };
    for (k, v) in m.iter() {
        let at = json::join("reach", k);
        let a = parse_addr(k, &at, f);
        let b = v.as_str().and_then(|s| parse_addr(s, &at, f));
        if v.as_str().is_none() {
            f.add(&at, "must be a string");
        }
        out.extend(a.zip(b));
    }
    out
}
