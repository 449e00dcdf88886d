//! Reading the two files of a store back, and telling a write that was never
//! finished from damage to what had been synced.

use super::disk::Disk;
use super::durable_state::{Change, DurableState};
use super::frame::{read_record, record_bytes, scan_headers, Kind};
use super::FILES;
use crate::replicated_state::decode;
use std::io;

/// Number of the very first record.
pub const FIRST_NUMBER: u64 = 1;

/// What the files hold.
pub enum Found {
    /// Nothing was ever kept here.
    Blank,
    State(Box<Recovered>),
    /// Synced bytes are gone; no number up to the one given may be used again.
    Damaged(Damage),
}

/// The newest state that was kept.
pub struct Recovered {
    pub state: DurableState,
    /// Number of the last record.
    pub number: u64,
    /// Index into `FILES`.
    pub file: usize,
    /// Where the last record starts, and where it ends.
    pub last_record: u64,
    pub end: u64,
    pub checkpoint_length: u64,
    /// An unfinished record stands behind the last one.
    pub torn: bool,
}

pub struct Damage {
    pub highest: u64,
    /// The file that shows the damage; it must stay until its successor is
    /// synced.
    pub file: usize,
    pub what: String,
}

/// One file, read up to its last whole record.
struct Replay {
    state: DurableState,
    checkpoint: u64,
    number: u64,
    last_record: u64,
    end: u64,
    checkpoint_length: u64,
}

/// # Errors
/// The disk cannot be read, or holds records of another release.
pub fn recover(disk: &mut impl Disk) -> io::Result<Found> {
    let mut replays = [replay(disk, FILES[0])?, replay(disk, FILES[1])?];
    // of two equal ones the newer checkpoint is the one that was synced
    let key = |r: &Option<Replay>| r.as_ref().map(|r| (r.number, r.checkpoint));
    let chosen = usize::from(key(&replays[1]) > key(&replays[0]));
    let Some(replay) = replays[chosen].take() else {
        return without_checkpoint(disk);
    };
    let behind = scan_headers(disk, FILES[chosen], replay.end)?;
    let beside = scan_headers(disk, FILES[1 - chosen], 0)?;
    // at most one record is ever written between two syncs
    let hole = behind
        .iter()
        .map(|h| h.number)
        .filter(|n| *n > replay.number + 1);
    // the first record behind a checkpoint is written once that is synced
    let newer = beside.iter().filter(|h| match h.kind {
        Kind::Checkpoint => h.number > replay.number + 1,
        Kind::Batch => h.number > replay.number,
    });
    let newer = newer.map(|h| h.number).max();
    let hole = hole.max();
    if let Some(highest) = hole.max(newer) {
        return Ok(Found::Damaged(Damage {
            highest,
            file: if newer > hole { 1 - chosen } else { chosen },
            what: format!("record {highest} is there but not {}", replay.number + 1),
        }));
    }
    Ok(Found::State(Box::new(Recovered {
        torn: disk.length(FILES[chosen])? > replay.end,
        state: replay.state,
        number: replay.number,
        file: chosen,
        last_record: replay.last_record,
        end: replay.end,
        checkpoint_length: replay.checkpoint_length,
    })))
}

fn replay(disk: &mut impl Disk, file: &str) -> io::Result<Option<Replay>> {
    let Some(first) = read_record(disk, file, 0)? else {
        return Ok(None);
    };
    if first.header.kind != Kind::Checkpoint {
        return Ok(None);
    }
    let mut replay = Replay {
        state: decode(&first.payload).ok_or_else(other_release)?,
        checkpoint: first.header.number,
        number: first.header.number,
        last_record: 0,
        end: first.span(),
        checkpoint_length: first.span(),
    };
    drop(first);
    while let Some(record) = read_record(disk, file, replay.end)? {
        if record.header.kind != Kind::Batch || record.header.number != replay.number + 1 {
            break;
        }
        let changes: Vec<Change<'static>> = decode(&record.payload).ok_or_else(other_release)?;
        changes.iter().for_each(|change| replay.state.apply(change));
        replay.number += 1;
        replay.last_record = replay.end;
        replay.end += record.span();
    }
    Ok(Some(replay))
}

fn other_release() -> io::Error {
    let what = "a record is whole but cannot be decoded: written by another release?";
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// No file starts with a whole checkpoint: the very first one was never
/// finished, or what was synced is damaged.
fn without_checkpoint(disk: &mut impl Disk) -> io::Result<Found> {
    let first = first_record();
    let mut blank = true;
    let mut shown = (0, 0);
    for (index, file) in FILES.iter().enumerate() {
        let length = disk.length(file)?;
        if length == 0 {
            continue;
        }
        let highest = scan_headers(disk, file, 0)?.iter().map(|h| h.number).max();
        shown = shown.max((highest.unwrap_or(0), index));
        blank &= length <= first.len() as u64 && {
            let bytes = disk.read(file, 0, length as usize)?;
            // lost bytes of a torn write are read as zero
            bytes.iter().zip(&first).all(|(b, f)| *b == 0 || b == f)
        };
    }
    if blank {
        return Ok(Found::Blank);
    }
    let (highest, file) = shown;
    Ok(Found::Damaged(Damage {
        highest,
        file,
        what: "no checkpoint can be read".to_string(),
    }))
}

/// The very first record of a folder: always these bytes.
pub fn first_record() -> Vec<u8> {
    record_bytes(Kind::Checkpoint, FIRST_NUMBER, &DurableState::default())
}
