//! Checks that a directory can be written to.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The name and the content of the file that is written.
const PROBE: &str = "probe";

/// Creates, syncs and removes a small file.
///
/// # Errors
/// The directory takes no files.
pub fn probe_directory(directory: &Path) -> io::Result<()> {
    let path = directory.join(PROBE);
    let mut file = File::create(&path)?;
    file.write_all(PROBE.as_bytes())?;
    file.sync_all()?;
    fs::remove_file(path)?;
    File::open(directory)?.sync_all()
}
