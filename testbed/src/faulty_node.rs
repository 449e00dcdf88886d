//! A node of the product whose clock and store show the faults that a small
//! file names, through the product's own traits. The file is read as it changes.

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
/// every write; `stuck` writes do not end, and a `full` disk fails them.
#[derive(Clone)]
pub struct NodeFaults {
    file: PathBuf,
    last: Arc<Mutex<(Option<Instant>, Value)>>,
}

impl NodeFaults {
    pub fn new(file: &Path) -> NodeFaults {
        NodeFaults {
            file: file.to_path_buf(),
            last: Arc::new(Mutex::new((None, Value::default()))),
        }
    }

    fn get(&self, key: &str) -> Option<Value> {
        let mut l = lock(&self.last);
        if l.0.is_none_or(|t| t.elapsed() > Duration::from_millis(30)) {
            let text = std::fs::read(&self.file).unwrap_or_default();
            // a file that is just being written does not parse: the last one holds
            if let Ok(v) = json::parse(&text, 4096) {
                l.1 = v;
            }
            l.0 = Some(Instant::now());
        }
        l.1.get(key).cloned()
    }

    fn num(&self, key: &str) -> i64 {
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
            wall: n.wall + self.1.num("wall_ms"),
            ..n
        }
    }
}

struct FaultyStore<S>(S, NodeFaults);

impl<S> FaultyStore<S> {
    /// Delays or fails a write as the file says.
    fn inject_fault(&self) -> io::Result<()> {
        while self.1.flag("stuck") {
            thread::sleep(Duration::from_millis(20));
        }
        let slow = self.1.num("slow_ms").max(0) as u64;
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
/// If its settings are invalid, or as the node itself.
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
