//! The two files of a store, each a checkpoint followed by a write-ahead log.
//!
//! One file is active. It starts with a checkpoint (the complete state), and
//! each batch of changes is appended as a numbered record and synced. When a
//! checkpoint is due, it is written to the other file, which then becomes the
//! active one. The newest state is that of the file whose last complete record
//! has the higher number.

use super::disk::Disk;
use super::durable_state::{Change, DurableState};
use super::record::{rewrite, write_record, RecordKind, RecordTarget};
use super::recovery::{first_record, DamagedStore, RecoveredState, FIRST_NUMBER};
use super::FILES;
use crate::consensus::Save;
use std::io;

/// A checkpoint is due when the records after the last one exceed this size plus
/// twice the size of that checkpoint.
const MIN_LOG_BYTES: u64 = 256 * 1024;

/// The files of a store, open for writing.
pub(super) struct LogFiles<D> {
    disk: D,
    /// Number of the last record.
    number: u64,
    /// Index of the active file in `FILES`.
    active: usize,
    /// Offset of the next record in the active file.
    end: u64,
    /// Length of the checkpoint in the active file, in bytes.
    checkpoint_length: u64,
    /// A failed append may have left bytes after `end`.
    tail_dirty: bool,
    /// The inactive file may contain a failed checkpoint.
    inactive_dirty: bool,
}

impl<D: Disk> LogFiles<D> {
    /// Wraps a disk; `initialize`, `resume` or `skip_damaged` must follow.
    pub(super) fn new(disk: D) -> LogFiles<D> {
        LogFiles {
            disk,
            number: 0,
            active: 0,
            end: 0,
            checkpoint_length: 0,
            tail_dirty: false,
            inactive_dirty: false,
        }
    }

    /// Returns the disk, for tests that inspect its contents.
    pub(super) fn into_disk(self) -> D {
        self.disk
    }

    /// Truncates both files and writes the checkpoint of an empty state.
    pub(super) fn initialize(&mut self) -> io::Result<()> {
        let bytes = first_record();
        for file in FILES {
            self.disk.set_length(file, 0)?;
        }
        self.disk.write(FILES[self.active], 0, &bytes)?;
        for file in FILES {
            self.disk.sync(file)?;
        }
        self.number = FIRST_NUMBER;
        self.end = bytes.len() as u64;
        self.checkpoint_length = self.end;
        Ok(())
    }

    /// Continues after the last record of the previous process, and returns the
    /// recovered state. That record is rewritten and synced, because it may be
    /// readable but not durable, for instance after a failed sync; earlier ones
    /// were synced. The other file is truncated, so that no unsynced checkpoint
    /// in it can be recovered later.
    pub(super) fn resume(&mut self, recovered: RecoveredState) -> io::Result<DurableState> {
        self.number = recovered.number;
        self.active = recovered.file;
        self.end = recovered.end;
        self.checkpoint_length = recovered.checkpoint_length;
        let file = FILES[self.active];
        if recovered.torn {
            self.disk.set_length(file, self.end)?;
        }
        rewrite(&mut self.disk, file, recovered.last_record, self.end)?;
        self.disk.sync(file)?;
        self.inactive_dirty = true;
        self.clear_inactive()?;
        Ok(recovered.state)
    }

    /// Continues the numbering after the highest record of a damaged store. The
    /// file that shows the damage is kept until the next checkpoint is synced.
    pub(super) fn skip_damaged(&mut self, damaged: &DamagedStore) {
        self.number = damaged.highest_number;
        self.active = damaged.file;
    }

    /// Makes changes durable, by a checkpoint of `state`, which already includes
    /// them, or by an append to the log.
    pub(super) fn commit(&mut self, state: &DurableState, changes: &[Change]) -> io::Result<()> {
        self.clear_inactive()?;
        if self.checkpoint_due(changes) && self.checkpoint(state).is_ok() {
            return Ok(());
        }
        // on a nearly full disk an append may succeed where a checkpoint failed
        self.clear_inactive()?;
        self.append(changes)
    }

    fn checkpoint_due(&self, changes: &[Change]) -> bool {
        let is_snapshot = |change: &Change| match change {
            Change::Save(_, save) => matches!(**save, Save::Snapshot { .. }),
            Change::Put(..) => false,
        };
        let log_length = self.end - self.checkpoint_length;
        log_length > MIN_LOG_BYTES + 2 * self.checkpoint_length || changes.iter().any(is_snapshot)
    }

    fn inactive(&self) -> usize {
        1 - self.active
    }

    /// Truncates a failed checkpoint. It may be complete on the disk, and a
    /// recovery would prefer it to later records in the active file.
    fn clear_inactive(&mut self) -> io::Result<()> {
        if self.inactive_dirty {
            let inactive = FILES[self.inactive()];
            self.disk.set_length(inactive, 0)?;
            self.disk.sync(inactive)?;
            self.inactive_dirty = false;
        }
        Ok(())
    }

    /// Writes the complete state to the inactive file, which becomes active.
    pub(super) fn checkpoint(&mut self, state: &DurableState) -> io::Result<()> {
        let inactive = self.inactive();
        let target = RecordTarget {
            file: FILES[inactive],
            offset: 0,
            kind: RecordKind::Checkpoint,
            number: self.number + 1,
        };
        self.inactive_dirty = true;
        self.disk.set_length(target.file, 0)?;
        let length = write_record(&mut self.disk, &target, state)?;
        self.disk.sync(target.file)?;
        self.inactive_dirty = false;
        self.tail_dirty = false;
        self.number += 1;
        self.end = length;
        self.checkpoint_length = length;
        // only frees space: if the truncation is lost, its records are older
        let _ = self.disk.set_length(FILES[self.active], 0);
        self.active = inactive;
        Ok(())
    }

    fn append(&mut self, changes: &[Change]) -> io::Result<()> {
        let target = RecordTarget {
            file: FILES[self.active],
            offset: self.end,
            kind: RecordKind::Batch,
            number: self.number + 1,
        };
        if self.tail_dirty {
            self.disk.set_length(target.file, self.end)?;
        }
        self.tail_dirty = true;
        let length = write_record(&mut self.disk, &target, &changes)?;
        self.disk.sync(target.file)?;
        self.tail_dirty = false;
        self.number += 1;
        self.end += length;
        Ok(())
    }
}
