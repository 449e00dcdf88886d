//! Service discovery: the platform's list of workers, and the load reports of
//! workers.

use crate::configuration::Site;
use crate::json::{self, Faults, Value};
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use std::net::SocketAddr;

/// A worker, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Unique name; load reports carry it too.
    pub name: String,
    /// Address of its HTTP listener.
    pub addr: SocketAddr,
    /// Name of its group in the configuration.
    pub group: String,
    /// Index of its zone in the site.
    pub zone: u16,
    /// Index of its region in the site.
    pub region: u8,
    /// It is draining: it finishes its requests and gets no new ones.
    pub leaving: bool,
    /// Requests that it serves at once; 0 if the list does not state it.
    #[serde(default)]
    pub slots: u32,
    /// Remaining milliseconds of its slow start.
    #[serde(default)]
    pub cold_ms: u64,
    /// Milliseconds until it is removed, if known.
    #[serde(default)]
    pub leaves_ms: Option<u64>,
    /// Version of its software; empty if the list does not state it.
    #[serde(default)]
    #[serde(rename = "version")]
    pub software_version: String,
}

impl Worker {
    /// A worker with all fields empty, for sources that fill in some of them.
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

    /// The worker `ms` milliseconds later: its remaining times are reduced.
    fn aged(&self, ms: u64) -> Worker {
        Worker {
            cold_ms: self.cold_ms.saturating_sub(ms),
            leaves_ms: self.leaves_ms.map(|remaining| remaining.saturating_sub(ms)),
            ..self.clone()
        }
    }

    /// Whether `later`, listed `ms` milliseconds later, differs only by the time that
    /// has passed, within [`TIME_TOLERANCE_MS`].
    fn is_unchanged_in(&self, later: &Worker, ms: u64) -> bool {
        let expected = self.aged(ms);
        let ends_by = |a: u64, b: u64| a <= b + TIME_TOLERANCE_MS;
        let with_later_times = Worker {
            cold_ms: later.cold_ms,
            leaves_ms: later.leaves_ms,
            ..self.clone()
        };
        let same_removal = match (expected.leaves_ms, later.leaves_ms) {
            (Some(a), Some(b)) => a.abs_diff(b) <= TIME_TOLERANCE_MS,
            (a, b) => a == b,
        };
        with_later_times == *later && ends_by(later.cold_ms, expected.cold_ms) && same_removal
    }
}

/// Difference up to which the times of two listings count as equal.
const TIME_TOLERANCE_MS: u64 = 1000;

/// The platform's list of workers, with its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerRegistry {
    /// The platform's serial number of the list, which only rises.
    #[serde(rename = "serial")]
    pub version: u64,
    /// All workers.
    pub workers: Vec<Worker>,
}

/// The load report of one worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Name of the worker, as in the registry.
    pub name: String,
    /// Requests in progress.
    pub running: u32,
    /// Requests in its queue.
    pub queued: u32,
    /// Requests that it serves at once; 0 if the report does not state it.
    pub slots: u32,
    /// Requests finished since its cache was empty.
    pub finished: u64,
    /// Names of the loaded model adapters.
    pub adapters: Vec<String>,
    /// Version of the loaded model weights; empty if the report does not state it.
    pub weights: String,
    /// It answered the last poll with a valid report; if not, all fields but the name
    /// are empty.
    pub live: bool,
}

/// Load reports of all workers, collected by the holder of the singleton role.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Fencing epoch of the singleton role.
    pub epoch: u64,
    /// Rises with each poll.
    #[serde(rename = "serial")]
    pub version: u64,
    /// One report for each polled worker.
    pub rows: Vec<Load>,
}

impl Loads {
    /// Orders collections of reports: a newer one compares greater.
    pub fn epoch_and_version(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }

    /// The report of the worker with this name.
    pub fn of(&self, name: &str) -> Option<&Load> {
        self.rows.iter().find(|l| l.name == name)
    }
}

impl WorkerRegistry {
    /// The list `ms` milliseconds later: remaining times are reduced.
    pub fn aged(&self, ms: u64) -> WorkerRegistry {
        WorkerRegistry {
            version: self.version,
            workers: self.workers.iter().map(|w| w.aged(ms)).collect(),
        }
    }

    /// Whether `later`, read `ms` milliseconds later, differs only by the time that has
    /// passed.
    pub fn is_unchanged_in(&self, later: &[Worker], ms: u64) -> bool {
        let pairs = || self.workers.iter().zip(later);
        self.workers.len() == later.len() && pairs().all(|(a, b)| a.is_unchanged_in(b, ms))
    }
}

/// The largest list or report.
const MAX_BYTES: usize = 1 << 20;

/// Parses the platform's list of workers from JSON.
///
/// # Errors
/// All faults of the list in one text. A list with a fault is rejected as a whole,
/// since a partial list would look as if workers had been removed.
pub fn read_registry(text: &[u8], site: &Site) -> Result<WorkerRegistry, String> {
    let value = json::parse(text, MAX_BYTES).map_err(|error| error.to_string())?;
    let mut faults = Faults::default();
    let version = value.get("serial").and_then(|serial| serial.as_u64());
    if version.is_none() {
        faults.add("serial", "must be a whole number");
    }
    let rows = value.get("workers").and_then(|list| list.as_array());
    if rows.is_none() {
        faults.add("workers", "must be a list");
    }
    let workers = rows
        .into_iter()
        .flatten()
        .enumerate()
        .filter_map(|(index, entry)| worker(entry, &format!("workers[{index}]"), site, &mut faults))
        .collect();
    let registry = WorkerRegistry {
        version: version.unwrap_or(0),
        workers,
    };
    // workers that are missing from a partial list would seem to be gone
    Some(registry)
        .filter(|_| faults.is_empty())
        .ok_or(faults.into_list().join("; "))
}

fn worker(value: &Value, path: &str, site: &Site, faults: &mut Faults) -> Option<Worker> {
    let object = faults.object(value, path, &["name", "addr", "group", "zone", "state"])?;
    let name = object.required_text("name", faults)?;
    let addr = object
        .required_text("addr", faults)?
        .parse::<SocketAddr>()
        .ok();
    if addr.is_none() {
        faults.add(&object.at("addr"), "is not IP:PORT");
    }
    let group = object.required_text("group", faults)?;
    let zone = site.zone(object.required_text("zone", faults)?);
    if zone.is_none() {
        faults.add(&object.at("zone"), "there is no such zone");
    }
    let state = object.text("state", faults).unwrap_or("up");
    if state != "up" && state != "leaving" {
        faults.add(&object.at("state"), "must be \"up\" or \"leaving\"");
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

/// Parses the load report of the worker `name` from JSON.
///
/// # Errors
/// All faults of the report in one text; the name of another worker is one.
pub fn read_load(text: &[u8], name: &str) -> Result<Load, String> {
    let value = json::parse(text, MAX_BYTES).map_err(|error| error.to_string())?;
    let mut faults = Faults::default();
    let keys = [
        "worker", "running", "queued", "slots", "finished", "adapters", "weights",
    ];
    let object = faults
        .object(&value, "", &keys)
        .ok_or("load: must be an object".to_string())?;
    let reported_name = object.required_text("worker", &mut faults).unwrap_or("");
    if reported_name != name {
        faults.add("worker", format!("is {reported_name:?}, not {name:?}"));
    }
    let limit = u64::from(u32::MAX);
    let mut integer = |key: &str| object.integer(key, 0, limit, &mut faults).unwrap_or(0);
    let (running, queued, slots) = (integer("running"), integer("queued"), integer("slots"));
    let finished = integer("finished");
    let adapters = object.texts("adapters", &mut faults);
    let weights = object
        .text("weights", &mut faults)
        .unwrap_or("")
        .to_string();
    let load = Load {
        name: name.to_string(),
        running: running as u32,
        queued: queued as u32,
        slots: slots as u32,
        finished,
        adapters: adapters.into_iter().map(str::to_string).collect(),
        weights,
        live: true,
    };
    Some(load)
        .filter(|_| faults.is_empty())
        .ok_or(faults.into_list().join("; "))
}
