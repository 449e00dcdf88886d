//! A node of the product with a clock and a store that misbehave as a small
//! file says, through the product's own seams. Read anew as it changes.

use crate::stand::locked;
use simd_json::prelude::*;
use sorreldoor::consensus::Save;
use sorreldoor::json::{self, Value};
use sorreldoor::runtime::{Clock, Now, SystemClock};
use sorreldoor::settings::{Over, Role, Settings};
use sorreldoor::store::Store;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the file says: `wall_ms` onto the wall clock, `slow_ms` onto every
/// save, `stuck` saves that do not end, `full` a disk that takes no more.
#[derive(Clone)]
pub struct Tricks {
    file: PathBuf,
    last: Arc<Mutex<(Option<Instant>, Value)>>,
}

impl Tricks {
    pub fn new(file: &Path) -> Tricks {
        Tricks {
            file: file.to_path_buf(),
            last: Arc::new(Mutex::new((None, Value::default()))),
        }
    }

    fn get(&self, key: &str) -> Option<Value> {
        let mut l = locked(&self.last);
        if l.0.is_none_or(|t| t.elapsed() > Duration::from_millis(30)) {
            let text = std::fs::read(&self.file).unwrap_or_default();
            // half a file, just being written, says what the last one said
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

struct TrickClock(SystemClock, Tricks);

impl Clock for TrickClock {
    fn now(&self) -> Now {
        let n = self.0.now();
        Now {
            wall: n.wall + self.1.num("wall_ms"),
            ..n
        }
    }
}

struct TrickStore<S>(S, Tricks);

impl<S> TrickStore<S> {
    /// Waits and refuses as the file says.
    fn trouble(&self) -> io::Result<()> {
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

impl<S: Store> Store for TrickStore<S> {
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()> {
        self.trouble()?;
        self.0.save(batch)
    }

    fn put(&mut self, name: &str, value: &[u8]) -> io::Result<()> {
        self.trouble()?;
        self.0.put(name, value)
    }
}

/// Run one node; what it ends with.
pub fn node(role: &str, settings: &Path, tricks: &Path) -> Result<(), String> {
    let t = Tricks::new(tricks);
    let clock = TrickClock(SystemClock::default(), t.clone());
    let role = if role == "core" {
        Role::Core
    } else {
        Role::Edge
    };
    let set = Settings::load(settings, &Over::default(), role).map_err(|f| f.join("; "))?;
    match role {
        Role::Core => sorreldoor::control_plane::run_by(set, clock, |s| TrickStore(s, t))
            .map_err(|e| e.to_string()),
        Role::Edge => sorreldoor::gateway::run_with(set, clock),
    }
}
