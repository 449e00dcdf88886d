//! A check that a directory is writable.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Name and content of the file that the check writes.
const PROBE: &str = "probe";

/// Creates, syncs and removes a small file in the directory.
///
/// # Errors
/// One of these steps fails.
pub fn probe_directory(directory: &Path) -> io::Result<()> {
    let path = directory.join(PROBE);
    let mut file = File::create(&path)?;
    file.write_all(PROBE.as_bytes())?;
    file.sync_all()?;
    fs::remove_file(path)?;
    File::open(directory)?.sync_all()
}
