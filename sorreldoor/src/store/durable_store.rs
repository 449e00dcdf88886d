//! The store of a core: two files that are made once and never renamed.
//!
//! One file is active: it starts with a checkpoint, the whole state, and each
//! batch of changes is appended as a numbered record and synced. Now and then
//! a checkpoint starts the other file, which is active from then on. The
//! newest state is the one whose last whole record has the highest number.

use super::disk::{Disk, Folder};
use super::durable_state::{Change, DurableState};
use super::frame::{rewrite, write_record, Kind};
use super::legacy;
use super::recovery::{first_record, recover, Found, Recovered, FIRST_NUMBER};
use super::{Store, FILES};
use crate::consensus::{RecoveredState, Save};
use std::borrow::Cow;
use std::io;
use std::path::Path;

/// A checkpoint is due when the records behind the last one take this much
/// and twice the space of that checkpoint.
const LOG_BYTES: u64 = 256 * 1024;
/// The value that marks a member that lost its state to damage.
const REJOINS: &str = "rejoins";

pub struct DurableStore<D> {
    disk: D,
    state: DurableState,
    /// Number of the last record.
    number: u64,
    /// Index into `FILES`.
    active: usize,
    /// Where the next record of the active file starts.
    end: u64,
    checkpoint_length: u64,
    /// A failed append may have left bytes behind `end`.
    tail_unclear: bool,
    /// A failed checkpoint may stand in the other file.
    spare_unclear: bool,
    first_seq: u64,
}

/// A store, and what its recovery found.
pub struct Opened<D> {
    pub store: DurableStore<D>,
    /// An unfinished record at the end was dropped.
    pub torn: bool,
    /// Synced bytes were lost, so all was given up.
    pub damage: Option<String>,
}

impl DurableStore<Folder> {
    /// Opens the store in a folder, and takes over what the release before
    /// kept there.
    ///
    /// # Errors
    /// The disk refuses; nothing that was synced has been touched.
    pub fn open_folder(path: &Path) -> io::Result<Opened<Folder>> {
        let folder = Folder::new(path)?;
        let opened = DurableStore::open(folder, || legacy::read(path))?;
        legacy::remove(path)?;
        Ok(opened)
    }
}

impl<D: Disk> DurableStore<D> {
    /// Opens the store; `before` reads what the release before kept, and is
    /// asked only where this store has never kept anything.
    ///
    /// # Errors
    /// The disk refuses; nothing that was synced has been touched.
    pub fn open(
        mut disk: D,
        before: impl FnOnce() -> io::Result<legacy::Before>,
    ) -> io::Result<Opened<D>> {
        for file in FILES {
            if disk.create(file)? {
                disk.sync(file)?;
            }
        }
        // names that an earlier start made may not be synced yet
        disk.sync_folder()?;
        let found = recover(&mut disk)?;
        let mut store = DurableStore {
            disk,
            state: DurableState::default(),
            number: 0,
            active: 0,
            end: 0,
            checkpoint_length: 0,
            tail_unclear: false,
            spare_unclear: false,
            first_seq: 0,
        };
        let (mut torn, mut damage) = (false, None);
        match found {
            Found::Blank => store.write_first_record()?,
            Found::State(recovered) => {
                torn = recovered.torn;
                store.resume(*recovered)?;
            }
            Found::Damaged(found) => {
                store.number = found.highest;
                store.active = found.file;
                store.give_up()?;
                damage = Some(found.what);
            }
        }
        if store.state.untouched() {
            damage = damage.or(store.take_over(before()?)?);
        }
        store.first_seq = store.state.seq;
        Ok(Opened {
            store,
            torn,
            damage,
        })
    }

    /// What a core starts from, if it has kept anything.
    pub fn kept(&self) -> Option<RecoveredState> {
        (!self.state.blank()).then(|| self.state.kept())
    }

    pub fn state(&self) -> &DurableState {
        &self.state
    }

    pub fn value(&self, name: &str) -> Option<&[u8]> {
        self.state.values.get(name).map(Vec::as_slice)
    }

    /// This member lost its state to damage and may only join, never found.
    pub fn rejoins(&self) -> bool {
        self.state.values.contains_key(REJOINS)
    }

    /// Hands back the disk, for tests of what is left on it.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn spare(&self) -> usize {
        1 - self.active
    }

    fn write_first_record(&mut self) -> io::Result<()> {
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

    /// Goes on where the process before ended. What it left may not be
    /// synced, and a sync that failed may have dropped bytes that can still
    /// be read: the last record, the only one that this may concern, is
    /// written again as it stands. The other file is emptied for good, so
    /// that nothing unsynced of it can come to count later.
    fn resume(&mut self, recovered: Recovered) -> io::Result<()> {
        self.state = recovered.state;
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
        self.spare_unclear = true;
        self.clear_spare()
    }

    /// Replaces a damaged state by an empty one, in one step.
    fn give_up(&mut self) -> io::Result<()> {
        self.state = DurableState::default();
        let mark = Change::Put(Cow::Borrowed(REJOINS), Cow::Borrowed(&[1]));
        self.state.apply(&mark);
        self.checkpoint()
    }

    fn take_over(&mut self, before: legacy::Before) -> io::Result<Option<String>> {
        match before {
            legacy::Before::Nothing => return Ok(None),
            legacy::Before::Damaged(what) => {
                self.give_up()?;
                return Ok(Some(what));
            }
            legacy::Before::State(state) => self.state = *state,
        }
        self.checkpoint()?;
        Ok(None)
    }

    fn commit(&mut self, changes: &[Change]) -> io::Result<()> {
        changes.iter().for_each(|change| self.state.apply(change));
        self.clear_spare()?;
        if self.checkpoint_due(changes) && self.checkpoint().is_ok() {
            return Ok(());
        }
        // a disk that is nearly full may still take the change alone
        self.clear_spare()?;
        self.append(changes)
    }

    fn checkpoint_due(&self, changes: &[Change]) -> bool {
        let snapshot = |change: &Change| match change {
            Change::Save(_, save) => matches!(**save, Save::Snapshot { .. }),
            Change::Put(..) => false,
        };
        let log = self.end - self.checkpoint_length;
        log > LOG_BYTES + 2 * self.checkpoint_length || changes.iter().any(snapshot)
    }

    /// A checkpoint that failed may be whole on the disk, and would be taken
    /// for newer than what is appended to the active file from now on.
    fn clear_spare(&mut self) -> io::Result<()> {
        if self.spare_unclear {
            let spare = FILES[self.spare()];
            self.disk.set_length(spare, 0)?;
            self.disk.sync(spare)?;
            self.spare_unclear = false;
        }
        Ok(())
    }

    fn checkpoint(&mut self) -> io::Result<()> {
        let spare = self.spare();
        let file = FILES[spare];
        let name = (Kind::Checkpoint, self.number + 1);
        self.spare_unclear = true;
        self.disk.set_length(file, 0)?;
        let length = write_record(&mut self.disk, file, 0, name, &self.state)?;
        self.disk.sync(file)?;
        self.spare_unclear = false;
        self.tail_unclear = false;
        self.number += 1;
        self.end = length;
        self.checkpoint_length = length;
        // only to free its space: whatever comes back of it is older
        let _ = self.disk.set_length(FILES[self.active], 0);
        self.active = spare;
        Ok(())
    }

    fn append(&mut self, changes: &[Change]) -> io::Result<()> {
        let file = FILES[self.active];
        if self.tail_unclear {
            self.disk.set_length(file, self.end)?;
        }
        self.tail_unclear = true;
        let name = (Kind::Batch, self.number + 1);
        let length = write_record(&mut self.disk, file, self.end, name, &changes)?;
        self.disk.sync(file)?;
        self.tail_unclear = false;
        self.number += 1;
        self.end += length;
        Ok(())
    }
}

impl<D: Disk> Store for DurableStore<D> {
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()> {
        let first_seq = self.first_seq;
        let change = |(seq, save)| Change::Save(seq + first_seq, Cow::Borrowed(save));
        let changes: Vec<Change> = batch.iter().map(|(s, v)| (*s, v)).map(change).collect();
        self.commit(&changes)
    }

    fn put(&mut self, name: &str, value: &[u8]) -> io::Result<()> {
        self.commit(&[Change::Put(Cow::Borrowed(name), Cow::Borrowed(value))])
    }
}
