//! The platform's list of workers, and what workers report of their load.

use crate::configuration::Site;
use crate::json::{self, Faults, Value};
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub group: String,
    pub zone: u16,
    pub region: u8,
    pub leaving: bool,
    /// Requests it works on at once, where the list says so; else 0.
    #[serde(default)]
    pub slots: u32,
    /// How much longer it stays cold as of now, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// In how many milliseconds it is gone, where that is known.
    #[serde(default)]
    pub leaves_ms: Option<u64>,
    /// Of its software; empty where the list does not say.
    #[serde(default)]
    #[serde(rename = "version")]
    pub software_version: String,
}

impl Worker {
    /// A worker of which nothing is known yet; for stand-ins.
    pub fn blank() -> Worker {
        Worker {
            name: String::new(),
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            group: String::new(),
            zone: 0,
            region: 0,
            leaving: false,
            slots: 0,
            cold_ms: 0,
            leaves_ms: None,
            software_version: String::new(),
        }
    }

    /// The same, so many milliseconds later.
    fn aged(&self, ms: u64) -> Worker {
        Worker {
            cold_ms: self.cold_ms.saturating_sub(ms),
            leaves_ms: self.leaves_ms.map(|l| l.saturating_sub(ms)),
            ..self.clone()
        }
    }

    /// Whether another listing says the same of it, apart from time gone by:
    /// what was to end in `ms` now ends so much sooner.
    fn same(&self, later: &Worker, ms: u64) -> bool {
        let a = self.aged(ms);
        let sooner = |x: u64, y: u64| x <= y + SLACK_MS;
        let still = Worker {
            cold_ms: later.cold_ms,
            leaves_ms: later.leaves_ms,
            ..self.clone()
        };
        let ends = match (a.leaves_ms, later.leaves_ms) {
            (Some(x), Some(y)) => x.abs_diff(y) <= SLACK_MS,
            (x, y) => x == y,
        };
        still == *later && sooner(later.cold_ms, a.cold_ms) && ends
    }
}

/// Times told by two listings may differ by so much and still mean the same.
const SLACK_MS: u64 = 1000;

/// The list as of one of the platform's own serials, which only grow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerRegistry {
    #[serde(rename = "serial")]
    pub version: u64,
    pub workers: Vec<Worker>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub name: String,
    pub running: u32,
    pub queued: u32,
    pub slots: u32,
    /// Errands finished since the worker's cache was cold.
    pub finished: u64,
    pub adapters: Vec<String>,
    pub weights: String,
    /// It answered the last time it was asked.
    pub live: bool,
}

/// Load reports, gathered by the duty's holder under its epoch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    pub epoch: u64,
    #[serde(rename = "serial")]
    pub version: u64,
    pub rows: Vec<Load>,
}

impl Loads {
    pub fn mark(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }
    pub fn of(&self, name: &str) -> Option<&Load> {
        self.rows.iter().find(|l| l.name == name)
    }
}

impl WorkerRegistry {
    /// The same, so many milliseconds later.
    pub fn aged(&self, ms: u64) -> WorkerRegistry {
        WorkerRegistry {
            version: self.version,
            workers: self.workers.iter().map(|w| w.aged(ms)).collect(),
        }
    }

    /// Whether another list, read `ms` later, says nothing new.
    pub fn same(&self, later: &[Worker], ms: u64) -> bool {
        let pairs = || self.workers.iter().zip(later);
        self.workers.len() == later.len() && pairs().all(|(a, b)| a.same(b, ms))
    }
}

const MOST: usize = 1 << 20;

pub fn read_registry(text: &[u8], site: &Site) -> Result<WorkerRegistry, String> {
    let v = json::parse(text, MOST).map_err(|error| error.to_string())?;
    let mut f = Faults::default();
    let version = v.get("serial").and_then(|s| s.as_u64());
    if version.is_none() {
        f.add("serial", "must be a whole number");
    }
    let rows = v.get("workers").and_then(|w| w.as_array());
    if rows.is_none() {
        f.add("workers", "must be a list");
    }
    let workers = rows
        .into_iter()
        .flatten()
        .enumerate()
        .filter_map(|(i, w)| worker(w, &format!("workers[{i}]"), site, &mut f))
        .collect();
    let r = WorkerRegistry {
        version: version.unwrap_or(0),
        workers,
    };
    // half a list would look like workers gone
    Some(r)
        .filter(|_| f.is_empty())
        .ok_or(f.into_list().join("; "))
}

fn worker(v: &Value, at: &str, site: &Site, f: &mut Faults) -> Option<Worker> {
    let o = f.object(v, at, &["name", "addr", "group", "zone", "state"])?;
    let name = o.required_text("name", f)?;
    let addr = o.required_text("addr", f)?.parse::<SocketAddr>().ok();
    if addr.is_none() {
        f.add(&o.at("addr"), "is not IP:PORT");
    }
    let group = o.required_text("group", f)?;
    let zone = site.zone(o.required_text("zone", f)?);
    if zone.is_none() {
        f.add(&o.at("zone"), "there is no such zone");
    }
    let state = o.text("state", f).unwrap_or("up");
    if state != "up" && state != "leaving" {
        f.add(&o.at("state"), "must be \"up\" or \"leaving\"");
    }
    let zone = zone?;
    Some(Worker {
        name: name.to_string(),
        addr: addr?,
        group: group.to_string(),
        zone,
        region: site.region_of_zone(zone)?,
        leaving: state == "leaving",
        slots: 0,
        cold_ms: 0,
        leaves_ms: None,
        software_version: String::new(),
    })
}

/// A worker's own report; it must name itself as the registry does.
pub fn read_load(text: &[u8], name: &str) -> Result<Load, String> {
    let v = json::parse(text, MOST).map_err(|error| error.to_string())?;
    let mut f = Faults::default();
    let keys = [
        "worker", "running", "queued", "slots", "finished", "adapters", "weights",
    ];
    let o = f
        .object(&v, "", &keys)
        .ok_or("load: must be an object".to_string())?;
    let who = o.required_text("worker", &mut f).unwrap_or("");
    if who != name {
        f.add("worker", format!("is {who:?}, not {name:?}"));
    }
    let top = u64::from(u32::MAX);
    let mut num = |k: &str| o.integer(k, 0, top, &mut f).unwrap_or(0);
    let (running, queued, slots) = (num("running"), num("queued"), num("slots"));
    let finished = num("finished");
    let adapters = o.texts("adapters", &mut f);
    let weights = o.text("weights", &mut f).unwrap_or("").to_string();
    let l = Load {
        name: name.to_string(),
        running: running as u32,
        queued: queued as u32,
        slots: slots as u32,
        finished,
        adapters: adapters.into_iter().map(str::to_string).collect(),
        weights,
        live: true,
    };
    Some(l)
        .filter(|_| f.is_empty())
        .ok_or(f.into_list().join("; "))
}
