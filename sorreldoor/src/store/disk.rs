//! The file operations that the store needs, as a trait, so that tests can
//! run the real store on a simulated disk.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Named files in one directory. After a power loss, each write to a file since
/// its last `sync`, and each name created since the last `sync_directory`, may be
/// present, lost or torn independently of the others. Every operation fails with
/// the error of the file system.
pub trait Disk: Send {
    /// Opens a file and creates it if it is missing; returns whether it was
    /// created.
    fn create(&mut self, name: &str) -> io::Result<bool>;
    /// The length of a file in bytes.
    fn length(&mut self, name: &str) -> io::Result<u64>;
    /// Truncates a file, or extends it by zeros.
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Reads exactly `length` bytes from `offset` on.
    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;
    /// Writes all bytes from `offset` on.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names of created files durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory of the file system. It keeps its files open.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    files: BTreeMap<String, File>,
}

impl Directory {
    /// Opens a directory, and creates it if it is missing.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn new(path: &Path) -> io::Result<Directory> {
        fs::create_dir_all(path)?;
        Ok(Directory {
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

impl Disk for Directory {
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

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
