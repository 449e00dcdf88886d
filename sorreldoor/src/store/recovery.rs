//! Recovery from the two files of a store. It tells a write that was never
//! finished (a torn record) from damage to what had been synced.

use super::damage::Damage;
use super::disk::Disk;
use super::durable_state::{Change, DurableState};
use super::record::{read_record, record_bytes, scan_headers, Header, RecordKind};
use super::FILES;
use crate::replicated_state::decode;
use std::io;

/// Number of the very first record.
pub(super) const FIRST_NUMBER: u64 = 1;

/// The result of a recovery.
pub(super) enum Recovery {
    /// Nothing was ever stored.
    Empty,
    State(Box<RecoveredState>),
    /// Synced bytes were lost.
    Damaged(DamagedStore),
}

/// The newest state that was stored.
pub(super) struct RecoveredState {
    pub(super) state: DurableState,
    /// Number of the last record.
    pub(super) number: u64,
    /// Index into `FILES`.
    pub(super) file: usize,
    /// Offset at which the last record starts.
    pub(super) last_record: u64,
    /// Offset at which the last record ends.
    pub(super) end: u64,
    pub(super) checkpoint_length: u64,
    /// An unfinished record stands behind the last one.
    pub(super) torn: bool,
}

/// What is known of a damaged store.
pub(super) struct DamagedStore {
    /// No number up to this one may be used again.
    pub(super) highest_number: u64,
    /// The file that shows the damage; it must stay until its successor is
    /// synced.
    pub(super) file: usize,
    pub(super) damage: Damage,
}

/// One file, read up to its last complete record.
struct Replay {
    state: DurableState,
    checkpoint: u64,
    number: u64,
    last_record: u64,
    end: u64,
    checkpoint_length: u64,
}

/// Reads both files and chooses the newest state.
///
/// # Errors
/// The disk cannot be read, or holds records of another release.
pub(super) fn recover(disk: &mut impl Disk) -> io::Result<Recovery> {
    let mut replays = [replay(disk, FILES[0])?, replay(disk, FILES[1])?];
    // of two equal ones the newer checkpoint is the one that was synced
    let key = |replay: &Option<Replay>| replay.as_ref().map(|r| (r.number, r.checkpoint));
    let chosen = usize::from(key(&replays[1]) > key(&replays[0]));
    let Some(replay) = replays[chosen].take() else {
        return recover_without_checkpoint(disk);
    };
    let following = scan_headers(disk, FILES[chosen], replay.end)?;
    let other = scan_headers(disk, FILES[1 - chosen], 0)?;
    if let Some(damaged) = find_damage(chosen, replay.number, &following, &other) {
        return Ok(Recovery::Damaged(damaged));
    }
    Ok(Recovery::State(Box::new(RecoveredState {
        torn: disk.length(FILES[chosen])? > replay.end,
        state: replay.state,
        number: replay.number,
        file: chosen,
        last_record: replay.last_record,
        end: replay.end,
        checkpoint_length: replay.checkpoint_length,
    })))
}

/// Damage that shows in record headers after the last complete record
/// `number`: those behind it in the chosen file, and those in the other file.
fn find_damage(
    chosen: usize,
    number: u64,
    following: &[Header],
    other: &[Header],
) -> Option<DamagedStore> {
    // at most one record is ever written between two syncs
    let following = following.iter().map(|header| header.number);
    let gap = following.filter(|n| *n > number + 1).max();
    // the first record behind a checkpoint is written once that is synced
    let newer = other.iter().filter(|header| match header.kind {
        RecordKind::Checkpoint => header.number > number + 1,
        RecordKind::Batch => header.number > number,
    });
    let newer = newer.map(|header| header.number).max();
    let highest = gap.max(newer)?;
    Some(DamagedStore {
        highest_number: highest,
        file: if newer > gap { 1 - chosen } else { chosen },
        damage: Damage::MissingRecord {
            highest,
            missing: number + 1,
        },
    })
}

/// Replays the checkpoint and the batches of a file; `None` if it does not
/// start with a complete checkpoint.
fn replay(disk: &mut impl Disk, file: &str) -> io::Result<Option<Replay>> {
    let Some(first) = read_record(disk, file, 0)? else {
        return Ok(None);
    };
    if first.header.kind != RecordKind::Checkpoint {
        return Ok(None);
    }
    let mut replay = Replay {
        state: decode(&first.payload).ok_or_else(other_release)?,
        checkpoint: first.header.number,
        number: first.header.number,
        last_record: 0,
        end: first.length(),
        checkpoint_length: first.length(),
    };
    drop(first);
    while let Some(record) = read_record(disk, file, replay.end)? {
        if record.header.kind != RecordKind::Batch || record.header.number != replay.number + 1 {
            break;
        }
        let changes: Vec<Change<'static>> = decode(&record.payload).ok_or_else(other_release)?;
        changes.iter().for_each(|change| replay.state.apply(change));
        replay.number += 1;
        replay.last_record = replay.end;
        replay.end += record.length();
    }
    Ok(Some(replay))
}

fn other_release() -> io::Error {
    let reason = "a record is whole but cannot be decoded: written by another release?";
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// No file starts with a complete checkpoint: the very first one was never
/// finished, or what was synced is damaged.
fn recover_without_checkpoint(disk: &mut impl Disk) -> io::Result<Recovery> {
    let first = first_record();
    let mut empty = true;
    let mut newest = (0, 0);
    for (index, file) in FILES.iter().enumerate() {
        let length = disk.length(file)?;
        if length == 0 {
            continue;
        }
        let numbers = scan_headers(disk, file, 0)?.into_iter().map(|h| h.number);
        newest = newest.max((numbers.max().unwrap_or(0), index));
        empty &= length <= first.len() as u64 && {
            let bytes = disk.read(file, 0, length as usize)?;
            is_torn(&bytes, &first)
        };
    }
    if empty {
        return Ok(Recovery::Empty);
    }
    let (highest_number, file) = newest;
    Ok(Recovery::Damaged(DamagedStore {
        highest_number,
        file,
        damage: Damage::MissingCheckpoint,
    }))
}

/// Whether `bytes` may be left of an unfinished write of `record`: lost bytes
/// of a torn write are read as zero.
fn is_torn(bytes: &[u8], record: &[u8]) -> bool {
    let mut pairs = bytes.iter().zip(record);
    pairs.all(|(byte, expected)| *byte == 0 || byte == expected)
}

/// The very first record of a store: always these bytes.
pub(super) fn first_record() -> Vec<u8> {
    record_bytes(
        RecordKind::Checkpoint,
        FIRST_NUMBER,
        &DurableState::default(),
    )
}
