//! Whether a folder can be written to.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Makes, syncs and removes a small file.
///
/// # Errors
/// The folder takes no files.
pub fn probe_folder(folder: &Path) -> io::Result<()> {
    let path = folder.join("probe");
    let mut file = File::create(&path)?;
    file.write_all(b"probe")?;
    file.sync_all()?;
    fs::remove_file(path)?;
    File::open(folder)?.sync_all()
}
