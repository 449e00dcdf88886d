//! Reader for the storage of the previous release: an image, an `okaywal` log
//! and small files. Nothing is written in this format.

use super::damage::{Damage, LegacyBatchSnafu, LegacyGapSnafu, LegacyImageSnafu, LegacyLogSnafu};
use super::DurableState;
use crate::consensus::Save;
use crate::replicated_state::decode;
use crate::sync::lock;
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Starts every batch, so that batches after a damaged one can be found.
const MAGIC: &[u8; 8] = b"SDbatch1";
const IMAGE: &str = "image";
const LOG: &str = "log";
/// Small files, each of which is now a value of the same name.
const VALUES: [&str; 3] = ["identity", "promise", "sure"];

/// What the previous release left in a directory.
pub enum LegacyState {
    /// Nothing.
    Absent,
    /// Its complete state.
    State(Box<DurableState>),
    /// A state that is damaged and must be discarded.
    Damaged(Damage),
}

/// Reads the state of the previous release.
///
/// # Errors
/// The disk cannot be read.
pub(super) fn read(directory: &Path) -> io::Result<LegacyState> {
    let mut values = Vec::new();
    for name in VALUES {
        values.extend(read_file(directory, name)?.map(|bytes| (name.to_string(), bytes)));
    }
    let image = read_file(directory, IMAGE)?;
    let logs = directory.join(LOG);
    if values.is_empty() && image.is_none() && !logs.try_exists()? {
        return Ok(LegacyState::Absent);
    }
    let (batch, state) = match image.map(|bytes| decode::<(u64, DurableState)>(&bytes)) {
        None => (0, DurableState::default()),
        Some(Some(image)) => image,
        Some(None) => return Ok(LegacyState::Damaged(LegacyImageSnafu.build())),
    };
    Ok(match replay(&logs, batch, state)? {
        Ok(mut state) => {
            state.values.extend(values);
            LegacyState::State(Box::new(state))
        }
        Err(damage) => LegacyState::Damaged(damage),
    })
}

/// Removes the files of the previous release.
///
/// # Errors
/// A file cannot be removed, or the directory cannot be synced.
pub(super) fn remove(directory: &Path) -> io::Result<()> {
    let mut removed = false;
    for name in VALUES.iter().chain([&IMAGE]) {
        removed |= existed(fs::remove_file(directory.join(name)))?;
    }
    removed |= existed(fs::remove_dir_all(directory.join(LOG)))?;
    if removed {
        File::open(directory)?.sync_all()?;
    }
    Ok(())
}

/// Whether a removal found something to remove.
fn existed(result: io::Result<()>) -> io::Result<bool> {
    match result {
        Ok(()) => Ok(true),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(e) => Err(e),
    }
}

fn read_file(directory: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match fs::read(directory.join(name)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// The progress of replaying the log.
#[derive(Debug, Default)]
struct Replay {
    state: DurableState,
    /// Number of the last batch that was read.
    batch: u64,
    damage: Option<Damage>,
}

#[derive(Debug)]
struct ReplayManager(Arc<Mutex<Replay>>);

impl LogManager for ReplayManager {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        let chunks = entry.read_all_chunks().ok().flatten();
        let first = chunks.and_then(|chunks| chunks.into_iter().next());
        // a later batch, if there is one, shows that this is not the torn end
        let Some((number, saves)) = first.and_then(|bytes| decode_batch(&bytes)) else {
            return Ok(());
        };
        let mut replay = lock(&self.0);
        if number <= replay.batch {
            return Ok(());
        }
        if number != replay.batch + 1 {
            let damage = LegacyGapSnafu {
                batch: number,
                previous: replay.batch,
            };
            replay.damage.get_or_insert(damage.build());
        }
        replay.batch = number;
        for (seq, save) in saves {
            replay.state.apply_save(seq, &save);
        }
        Ok(())
    }

    fn checkpoint_to(
        &mut self,
        _last: EntryId,
        _entries: &mut SegmentReader,
        _log: &WriteAheadLog,
    ) -> io::Result<()> {
        Err(io::Error::other(
            "the log of the previous release is read-only",
        ))
    }
}

/// The number of a batch and its saves.
fn decode_batch(bytes: &[u8]) -> Option<(u64, Vec<(u64, Save)>)> {
    let body = bytes.strip_prefix(MAGIC)?;
    let number = u64::from_le_bytes(body.get(..8)?.try_into().ok()?);
    decode(&body[8..]).map(|saves| (number, saves))
}

/// Replays the log on the state of the image, which includes all batches up
/// to `batch`.
fn replay(
    logs: &Path,
    batch: u64,
    state: DurableState,
) -> io::Result<Result<DurableState, Damage>> {
    if !logs.try_exists()? {
        return Ok(Ok(state));
    }
    remove_headerless_segments(logs)?;
    let highest = highest_batch(logs)?;
    let replay = Arc::new(Mutex::new(Replay {
        state,
        batch,
        damage: None,
    }));
    let log = match Configuration::default_for(logs).open(ReplayManager(replay.clone())) {
        Ok(log) => log,
        Err(error) if is_damage(&error) => {
            let reason = error.to_string();
            return Ok(LegacyLogSnafu { reason }.fail());
        }
        Err(error) => return Err(error),
    };
    drop(log);
    let mut replay = lock(&replay);
    // only the last batch may be unfinished
    let next = replay.batch + 1;
    let unreadable = (highest > next).then(|| LegacyBatchSnafu { batch: next }.build());
    let damage = replay.damage.take().or(unreadable);
    Ok(damage.map_or_else(|| Ok(std::mem::take(&mut replay.state)), Err))
}

fn is_damage(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, UnexpectedEof};
    matches!(error.kind(), UnexpectedEof | InvalidData)
}

/// Removes segments without a header, which `okaywal` cannot open. A segment is
/// created before its first batch is synced, so a power loss can leave one.
fn remove_headerless_segments(logs: &Path) -> io::Result<()> {
    for file in fs::read_dir(logs)? {
        let path = file?.path();
        let bytes = fs::read(&path)?;
        if !bytes.starts_with(b"okw\0") && find(&bytes, MAGIC).is_none() {
            fs::remove_file(path)?;
        }
    }
    Ok(())
}

/// The highest batch number in any segment, including damaged ones.
fn highest_batch(logs: &Path) -> io::Result<u64> {
    let mut highest = 0;
    for file in fs::read_dir(logs)? {
        let path = file?.path();
        if path.extension().is_some() || path.to_string_lossy().ends_with("-cp") {
            continue;
        }
        let bytes = fs::read(&path)?;
        let mut offset = 0;
        while let Some(found) = find(&bytes[offset..], MAGIC) {
            offset += found + MAGIC.len();
            let number = bytes
                .get(offset..offset + 8)
                .and_then(|b| b.try_into().ok());
            highest = highest.max(number.map_or(0, u64::from_le_bytes));
        }
    }
    Ok(highest)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
