//! The platform's list of workers, and the load that workers report.

use crate::configuration::Site;
use crate::json::{self, Faults, Value};
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use std::net::SocketAddr;

/// A worker as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker, by which it also reports its load.
    pub name: String,
    /// Address at which it serves HTTP.
    pub addr: SocketAddr,
    /// Name of its group, as configurations use it.
    pub group: String,
    /// Index of its zone in the settings of the site.
    pub zone: u16,
    /// Index of its region in the settings of the site.
    pub region: u8,
    /// Whether it is draining: it finishes its requests and gets no new ones.
    pub leaving: bool,
    /// Requests that it works on at once, where the list says so; else 0.
    #[serde(default)]
    pub slots: u32,
    /// Milliseconds for which its slow start goes on, counted from now.
    #[serde(default)]
    pub cold_ms: u64,
    /// Milliseconds after which it is removed, counted from now, where that is
    /// known.
    #[serde(default)]
    pub leaves_ms: Option<u64>,
    /// Version of its software; empty where the list does not say.
    #[serde(default)]
    #[serde(rename = "version")]
    pub software_version: String,
}

impl Worker {
    /// A worker with nothing set, for sources that fill in a part.
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

    /// The same worker after `ms` milliseconds: its times are that much
    /// shorter.
    fn aged(&self, ms: u64) -> Worker {
        Worker {
            cold_ms: self.cold_ms.saturating_sub(ms),
            leaves_ms: self.leaves_ms.map(|l| l.saturating_sub(ms)),
            ..self.clone()
        }
    }

    /// Whether a listing `ms` milliseconds later says the same of it, apart
    /// from the time that has passed.
    fn is_unchanged_in(&self, later: &Worker, ms: u64) -> bool {
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

/// Milliseconds by which the times of two listings may differ and still mean
/// the same.
const SLACK_MS: u64 = 1000;

/// The platform's list of workers under its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerRegistry {
    /// The platform's own serial number of the list, which only grows.
    #[serde(rename = "serial")]
    pub version: u64,
    /// All workers.
    pub workers: Vec<Worker>,
}

/// What a worker reports of its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the worker, as in the registry.
    pub name: String,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// Requests that it can work on at once; 0 if it does not say.
    pub slots: u32,
    /// Requests that it has finished since its cache was cold.
    pub finished: u64,
    /// Names of the adapters that it has loaded.
    pub adapters: Vec<String>,
    /// Version of the model weights that it has loaded; empty if it does not
    /// say.
    pub weights: String,
    /// Whether it answered the last poll with a valid report; if not, all but
    /// the name is empty.
    pub live: bool,
}

/// Load reports of all workers, gathered by the holder of the singleton role
/// under its epoch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Epoch of the singleton role: the fencing token of its holder.
    pub epoch: u64,
    /// Rises with each poll.
    #[serde(rename = "serial")]
    pub version: u64,
    /// One report for each worker that was polled.
    pub rows: Vec<Load>,
}

impl Loads {
    /// Epoch and version, by which newer reports compare greater.
    pub fn epoch_and_version(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }
    /// The report of a worker, if there is one.
    pub fn of(&self, name: &str) -> Option<&Load> {
        self.rows.iter().find(|l| l.name == name)
    }
}

impl WorkerRegistry {
    /// The same list after `ms` milliseconds.
    pub fn aged(&self, ms: u64) -> WorkerRegistry {
        WorkerRegistry {
            version: self.version,
            workers: self.workers.iter().map(|w| w.aged(ms)).collect(),
        }
    }

    /// Whether another list, read `ms` milliseconds later, says nothing new.
    pub fn is_unchanged_in(&self, later: &[Worker], ms: u64) -> bool {
        let pairs = || self.workers.iter().zip(later);
        self.workers.len() == later.len() && pairs().all(|(a, b)| a.is_unchanged_in(b, ms))
    }
}

/// Bytes of a list or report, at most.
const MOST: usize = 1 << 20;

/// Parses the platform's list of workers, in JSON.
///
/// # Errors
/// All faults of the list in one text: a partial list would look as if workers
/// had been removed.
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

/// Parses the load report, in JSON, of the worker called `name`.
///
/// # Errors
/// All faults of the report in one text, also if it names another worker.
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
