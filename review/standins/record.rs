//! The record of a run: what was sent, answered, run and done to processes, with times.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    /// Creates the file; the times in it count from now.
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            lines: Arc::default(),
        })
    }

    /// Time since the record was created.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes one line to the file and to standard output.
    pub fn write(&self, line: &str) {
        let line = format!("{:8.3} s  {line}", self.elapsed().as_secs_f64());
        println!("{line}");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{line}");
        self.lines().push(line);
    }

    /// Whether a line that holds `text` was written.
    pub fn contains(&self, text: &str) -> bool {
        self.lines().iter().any(|line| line.contains(text))
    }

    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
