//! Recovery from the two files of a store. It distinguishes an unfinished write
//! (a torn record) from damage to synced records.

use super::damage::Damage;
use super::disk::Disk;
use super::durable_state::{Change, DurableState};
use super::record::{read_record, record_bytes, scan_headers, Header, RecordKind};
use super::FILES;
use crate::replicated_state::decode;
use std::io;

/// Number of the first record of a store.
pub(super) const FIRST_NUMBER: u64 = 1;

/// The result of a recovery.
pub(super) enum Recovery {
    /// Nothing was ever stored.
    Empty,
    /// An intact state.
    State(Box<RecoveredState>),
    /// Synced records are damaged.
    Damaged(DamagedStore),
}

/// The newest state that was stored.
pub(super) struct RecoveredState {
    pub(super) state: DurableState,
    /// Number of the last complete record.
    pub(super) number: u64,
    /// Index of the file in `FILES`.
    pub(super) file: usize,
    /// Offset at which the last record starts.
    pub(super) last_record: u64,
    /// Offset at which the last record ends.
    pub(super) end: u64,
    /// Length of the checkpoint in bytes.
    pub(super) checkpoint_length: u64,
    /// Whether an unfinished record follows the last complete one.
    pub(super) torn: bool,
}

/// The result of reading a damaged store.
pub(super) struct DamagedStore {
    /// The highest record number found; new records need higher ones.
    pub(super) highest_number: u64,
    /// Index of the file that shows the damage. It must be kept until the next
    /// checkpoint is synced.
    pub(super) file: usize,
    pub(super) damage: Damage,
}

/// One file, read up to its last complete record.
struct Replay {
    state: DurableState,
    /// Number of the checkpoint.
    checkpoint: u64,
    /// Number of the last complete record.
    number: u64,
    last_record: u64,
    end: u64,
    checkpoint_length: u64,
}

/// Reads both files and chooses the newest state.
///
/// # Errors
/// The disk cannot be read, or an intact record cannot be decoded.
pub(super) fn recover(disk: &mut impl Disk) -> io::Result<Recovery> {
    let mut replays = [replay(disk, FILES[0])?, replay(disk, FILES[1])?];
    // if both end with the same number, the newer checkpoint is the synced record
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

/// Detects damage by record headers that must not exist if `number` is the last
/// record: `following` are the headers after it in the chosen file, `other` those
/// in the other file.
fn find_damage(
    chosen: usize,
    number: u64,
    following: &[Header],
    other: &[Header],
) -> Option<DamagedStore> {
    // each record is synced before the next is written, so only one can be torn
    let following = following.iter().map(|header| header.number);
    let gap = following.filter(|n| *n > number + 1).max();
    // a checkpoint is synced before a batch is appended to it, so a batch that is
    // newer proves that a synced checkpoint was lost
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
        state: decode(&first.payload).ok_or_else(undecodable_record)?,
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
        let changes: Vec<Change<'static>> =
            decode(&record.payload).ok_or_else(undecodable_record)?;
        changes.iter().for_each(|change| replay.state.apply(change));
        replay.number += 1;
        replay.last_record = replay.end;
        replay.end += record.length();
    }
    Ok(Some(replay))
}

fn undecodable_record() -> io::Error {
    let reason = "an intact record cannot be decoded; it may be from another release";
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Handles files of which none starts with a complete checkpoint: either the
/// first checkpoint was never finished, or synced data is damaged.
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

/// Whether `bytes` can result from an unfinished write of `record`, in which
/// lost bytes read as zero.
fn is_torn(bytes: &[u8], record: &[u8]) -> bool {
    let mut pairs = bytes.iter().zip(record);
    pairs.all(|(byte, expected)| *byte == 0 || byte == expected)
}

/// The bytes of the first record of every store: a checkpoint of an empty state.
pub(super) fn first_record() -> Vec<u8> {
    record_bytes(
        RecordKind::Checkpoint,
        FIRST_NUMBER,
        &DurableState::default(),
    )
}
