//! A node of the product with faults injected into its clock and its store, through the
//! `Clock` and `Store` traits. A JSON file sets the faults and is read again as it
//! changes.

use crate::sync::lock;
use simd_json::prelude::*;
use sorreldoor::consensus::Save;
use sorreldoor::json::{self, Value};
use sorreldoor::runtime::{Clock, Now, SystemClock};
use sorreldoor::settings::{Overrides, Role, Settings};
use sorreldoor::store::Store;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The faults in the file: `wall_ms` is added to the wall clock, `slow_ms` to
/// every write; with `stuck` writes block, and with `full` they fail.
#[derive(Clone)]
pub struct NodeFaults {
    file: PathBuf,
    /// When the file was last read, and its content.
    cached: Arc<Mutex<(Option<Instant>, Value)>>,
}

impl NodeFaults {
    pub fn new(file: &Path) -> NodeFaults {
        NodeFaults {
            file: file.to_path_buf(),
            cached: Arc::new(Mutex::new((None, Value::default()))),
        }
    }

    fn get(&self, key: &str) -> Option<Value> {
        let mut cached = lock(&self.cached);
        if cached
            .0
            .is_none_or(|t| t.elapsed() > Duration::from_millis(30))
        {
            let text = std::fs::read(&self.file).unwrap_or_default();
            // a partly written file does not parse: keep the last content
            if let Ok(v) = json::parse(&text, 4096) {
                cached.1 = v;
            }
            cached.0 = Some(Instant::now());
        }
        cached.1.get(key).cloned()
    }

    fn number(&self, key: &str) -> i64 {
        self.get(key).and_then(|v| v.as_i64()).unwrap_or(0)
    }

    fn flag(&self, key: &str) -> bool {
        self.get(key).and_then(|v| v.as_bool()) == Some(true)
    }
}

struct FaultyClock(SystemClock, NodeFaults);

impl Clock for FaultyClock {
    fn now(&self) -> Now {
        let n = self.0.now();
        Now {
            wall: n.wall + self.1.number("wall_ms"),
            ..n
        }
    }
}

struct FaultyStore<S>(S, NodeFaults);

impl<S> FaultyStore<S> {
    /// Delays, blocks or fails a write as the file says.
    fn inject_fault(&self) -> io::Result<()> {
        while self.1.flag("stuck") {
            thread::sleep(Duration::from_millis(20));
        }
        let slow = self.1.number("slow_ms").max(0) as u64;
        thread::sleep(Duration::from_millis(slow));
        if self.1.flag("full") {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl<S: Store> Store for FaultyStore<S> {
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()> {
        self.inject_fault()?;
        self.0.save(batch)
    }

    fn put(&mut self, name: &str, value: &[u8]) -> io::Result<()> {
        self.inject_fault()?;
        self.0.put(name, value)
    }
}

/// Runs one node until it ends.
///
/// # Errors
/// The settings are invalid, or the node fails.
pub fn run(role: &str, settings: &Path, faults: &Path) -> Result<(), String> {
    let faults = NodeFaults::new(faults);
    let clock = FaultyClock(SystemClock::default(), faults.clone());
    let role = if role == "core" {
        Role::Core
    } else {
        Role::Edge
    };
    let set = Settings::load(settings, &Overrides::default(), role).map_err(|f| f.join("; "))?;
    match role {
        Role::Core => {
            sorreldoor::control_plane::run_with_store(set, clock, |s| FaultyStore(s, faults))
                .map_err(|e| e.to_string())
        }
        Role::Edge => sorreldoor::gateway::run_with(set, clock).map_err(|e| e.to_string()),
    }
}
