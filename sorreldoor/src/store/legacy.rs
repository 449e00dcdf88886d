//! Read-only: what the release before kept, an image and a log of `okaywal`
//! beside small files.

use super::DurableState;
use crate::consensus::Save;
use crate::replicated_state::decode;
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

/// Starts every batch, so that one can be found behind damage.
const MAGIC: &[u8; 8] = b"SDbatch1";
const IMAGE: &str = "image";
const LOG: &str = "log";
/// Small files, each of which is a value of the same name today.
const VALUES: [&str; 3] = ["identity", "promise", "sure"];

/// What the release before left in a folder.
pub enum Before {
    Nothing,
    State(Box<DurableState>),
    Damaged(String),
}

/// # Errors
/// The disk refuses to be read.
pub fn read(folder: &Path) -> io::Result<Before> {
    let mut values = Vec::new();
    for name in VALUES {
        values.extend(read_file(folder, name)?.map(|bytes| (name.to_string(), bytes)));
    }
    let image = read_file(folder, IMAGE)?;
    let logs = folder.join(LOG);
    if values.is_empty() && image.is_none() && !logs.try_exists()? {
        return Ok(Before::Nothing);
    }
    let (batch, state) = match image.map(|bytes| decode::<(u64, DurableState)>(&bytes)) {
        None => (0, DurableState::default()),
        Some(Some(image)) => image,
        Some(None) => return Ok(Before::Damaged("the image cannot be read".to_string())),
    };
    Ok(match replay(&logs, batch, state)? {
        Ok(mut state) => {
            state.values.extend(values);
            Before::State(Box::new(state))
        }
        Err(what) => Before::Damaged(what),
    })
}

/// Removes what was taken over, for good.
///
/// # Errors
/// The disk refuses.
pub fn remove(folder: &Path) -> io::Result<()> {
    let mut removed = false;
    for name in VALUES.iter().chain([&IMAGE]) {
        removed |= gone(fs::remove_file(folder.join(name)))?;
    }
    removed |= gone(fs::remove_dir_all(folder.join(LOG)))?;
    if removed {
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}

fn gone(result: io::Result<()>) -> io::Result<bool> {
    match result {
        Ok(()) => Ok(true),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(e) => Err(e),
    }
}

fn read_file(folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(name)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// What was found while reading the log back.
#[derive(Debug, Default)]
struct Replay {
    state: DurableState,
    /// Number of the last good batch.
    batch: u64,
    wrong: Option<String>,
}

#[derive(Debug)]
struct Reader(Arc<Mutex<Replay>>);

impl LogManager for Reader {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        let chunks = entry.read_all_chunks().ok().flatten();
        let first = chunks.and_then(|chunks| chunks.into_iter().next());
        // whether this is a torn end or a hole shows in what follows
        let Some((number, saves)) = first.and_then(|bytes| batch_of(&bytes)) else {
            return Ok(());
        };
        let mut replay = lock(&self.0);
        if number <= replay.batch {
            return Ok(());
        }
        if number != replay.batch + 1 {
            let what = format!("batch {number} follows batch {}", replay.batch);
            replay.wrong.get_or_insert(what);
        }
        replay.batch = number;
        for (seq, save) in saves {
            replay.state.take(seq, &save);
        }
        Ok(())
    }

    fn checkpoint_to(
        &mut self,
        _last: EntryId,
        _entries: &mut SegmentReader,
        _log: &WriteAheadLog,
    ) -> io::Result<()> {
        Err(io::Error::other("this log is only read"))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn batch_of(bytes: &[u8]) -> Option<(u64, Vec<(u64, Save)>)> {
    let body = bytes.strip_prefix(MAGIC)?;
    let number = u64::from_le_bytes(body.get(..8)?.try_into().ok()?);
    decode(&body[8..]).map(|saves| (number, saves))
}

fn replay(
    logs: &Path,
    batch: u64,
    state: DurableState,
) -> io::Result<Result<DurableState, String>> {
    if !logs.try_exists()? {
        return Ok(Ok(state));
    }
    drop_unused_segments(logs)?;
    let highest = highest_batch(logs)?;
    let replay = Arc::new(Mutex::new(Replay {
        state,
        batch,
        wrong: None,
    }));
    let log = match Configuration::default_for(logs).open(Reader(replay.clone())) {
        Ok(log) => log,
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(Err(e.to_string())),
        Err(e) if e.kind() == io::ErrorKind::InvalidData => return Ok(Err(e.to_string())),
        Err(e) => return Err(e),
    };
    drop(log);
    let mut replay = lock(&replay);
    // the last batch may be unfinished, one before it may not
    let hole = highest > replay.batch + 1;
    let wrong = replay.wrong.take();
    let wrong = wrong.or(hole.then(|| format!("batch {} cannot be read", replay.batch + 1)));
    Ok(wrong.map_or_else(|| Ok(std::mem::take(&mut replay.state)), Err))
}

/// A segment is made before its first batch is synced: a loss of power may
/// leave one without even a header, which `okaywal` refuses to open.
fn drop_unused_segments(logs: &Path) -> io::Result<()> {
    for file in fs::read_dir(logs)? {
        let path = file?.path();
        let bytes = fs::read(&path)?;
        if !bytes.starts_with(b"okw\0") && find(&bytes, MAGIC).is_none() {
            fs::remove_file(path)?;
        }
    }
    Ok(())
}

/// The highest batch number that stands anywhere in the logs in use.
fn highest_batch(logs: &Path) -> io::Result<u64> {
    let mut high = 0;
    for file in fs::read_dir(logs)? {
        let path = file?.path();
        if path.extension().is_some() || path.to_string_lossy().ends_with("-cp") {
            continue;
        }
        let bytes = fs::read(&path)?;
        let mut at = 0;
        while let Some(found) = find(&bytes[at..], MAGIC) {
            at += found + MAGIC.len();
            let number = bytes.get(at..at + 8).and_then(|b| b.try_into().ok());
            high = high.max(number.map_or(0, u64::from_le_bytes));
        }
    }
    Ok(high)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
