//! The few file operations that the store needs, as a trait, so that tests
//! can put a simulated disk below the real store.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Named files in one folder. After a loss of power, what was written to a
/// file since its last `sync`, and names made since the last `sync_folder`,
/// may be there, lost, or torn, each by itself.
pub trait Disk: Send {
    /// Makes the file unless it is there; true if it was made.
    fn create(&mut self, name: &str) -> io::Result<bool>;
    fn length(&mut self, name: &str) -> io::Result<u64>;
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Reads exactly `length` bytes from `offset` on.
    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system. Files stay open.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    files: BTreeMap<String, File>,
}

impl Folder {
    /// # Errors
    /// The folder cannot be made.
    pub fn new(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder {
            path: path.to_path_buf(),
            files: BTreeMap::new(),
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        self.files
            .get_mut(name)
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Disk for Folder {
    fn create(&mut self, name: &str) -> io::Result<bool> {
        let path = self.path.join(name);
        let missing = !path.try_exists()?;
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        self.files.insert(name.to_string(), file);
        Ok(missing)
    }

    fn length(&mut self, name: &str) -> io::Result<u64> {
        self.file(name)?.seek(SeekFrom::End(0))
    }

    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        let mut bytes = vec![0; length];
        file.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
