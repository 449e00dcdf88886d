//! The store of a core: recovery at the start, then durable changes.

use super::damage::Damage;
use super::disk::{Directory, Disk};
use super::durable_state::{Change, DurableState};
use super::legacy::{self, LegacyState};
use super::log_files::LogFiles;
use super::recovery::{recover, Recovery};
use super::{Store, FILES};
use crate::consensus::{RecoveredState, Save};
use std::borrow::Cow;
use std::io;
use std::path::Path;

/// The value that marks a member that lost its state to damage.
const REJOINS: &str = "rejoins";

/// A state in memory that is stored on a disk.
pub struct DurableStore<D> {
    files: LogFiles<D>,
    state: DurableState,
    /// Sequence number of the last save of the previous process; those of
    /// this one are counted from there.
    first_seq: u64,
}

/// A store, and what its recovery found.
pub struct OpenedStore<D> {
    /// The store, ready for changes.
    pub store: DurableStore<D>,
    /// An unfinished record at the end was dropped.
    pub torn: bool,
    /// Synced bytes were lost, so the state was discarded.
    pub damage: Option<Damage>,
}

impl DurableStore<Directory> {
    /// Opens the store in a directory, and imports what the previous release
    /// stored there.
    ///
    /// # Errors
    /// The disk refuses; nothing that was synced has been changed.
    pub fn open_directory(path: &Path) -> io::Result<OpenedStore<Directory>> {
        let directory = Directory::new(path)?;
        let opened = DurableStore::open(directory, || legacy::read(path))?;
        legacy::remove(path)?;
        Ok(opened)
    }
}

impl<D: Disk> DurableStore<D> {
    /// Opens the store. `read_legacy` reads the state of the previous
    /// release; it is called only if nothing was ever stored here.
    ///
    /// # Errors
    /// The disk refuses; nothing that was synced has been changed.
    pub fn open(
        mut disk: D,
        read_legacy: impl FnOnce() -> io::Result<LegacyState>,
    ) -> io::Result<OpenedStore<D>> {
        for file in FILES {
            if disk.create(file)? {
                disk.sync(file)?;
            }
        }
        // names that an earlier start created may not be synced yet
        disk.sync_directory()?;
        let recovery = recover(&mut disk)?;
        let mut store = DurableStore {
            files: LogFiles::new(disk),
            state: DurableState::default(),
            first_seq: 0,
        };
        let (mut torn, mut damage) = (false, None);
        match recovery {
            Recovery::Empty => store.files.initialize()?,
            Recovery::State(recovered) => {
                torn = recovered.torn;
                store.state = store.files.resume(*recovered)?;
            }
            Recovery::Damaged(damaged) => {
                store.files.skip_damaged(&damaged);
                store.discard_state()?;
                damage = Some(damaged.damage);
            }
        }
        if store.state.is_empty() {
            damage = damage.or(store.import(read_legacy()?)?);
        }
        store.first_seq = store.state.seq;
        Ok(OpenedStore {
            store,
            torn,
            damage,
        })
    }

    /// The state from which consensus starts, if any was saved.
    pub fn consensus_state(&self) -> Option<RecoveredState> {
        (!self.state.has_no_saves()).then(|| self.state.to_consensus())
    }

    /// The complete state.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// The value stored under a name.
    pub fn value(&self, name: &str) -> Option<&[u8]> {
        self.state.values.get(name).map(Vec::as_slice)
    }

    /// Whether this member lost its state to damage, so that it may join a
    /// site but never found one.
    pub fn must_rejoin(&self) -> bool {
        self.state.values.contains_key(REJOINS)
    }

    /// Returns the disk, for tests of what is left on it.
    pub fn into_disk(self) -> D {
        self.files.into_disk()
    }

    /// Replaces a damaged state by an empty one in one step.
    fn discard_state(&mut self) -> io::Result<()> {
        self.state = DurableState::default();
        let mark = Change::Put(Cow::Borrowed(REJOINS), Cow::Borrowed(&[1]));
        self.state.apply(&mark);
        self.files.checkpoint(&self.state)
    }

    /// Stores the state of the previous release; returns its damage.
    fn import(&mut self, legacy: LegacyState) -> io::Result<Option<Damage>> {
        match legacy {
            LegacyState::Absent => Ok(None),
            LegacyState::Damaged(damage) => {
                self.discard_state()?;
                Ok(Some(damage))
            }
            LegacyState::State(state) => {
                self.state = *state;
                self.files.checkpoint(&self.state)?;
                Ok(None)
            }
        }
    }

    fn commit(&mut self, changes: &[Change]) -> io::Result<()> {
        changes.iter().for_each(|change| self.state.apply(change));
        self.files.commit(&self.state, changes)
    }
}

impl<D: Disk> Store for DurableStore<D> {
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()> {
        let first_seq = self.first_seq;
        let changes = batch.iter();
        let changes: Vec<Change> = changes
            .map(|(seq, save)| Change::Save(seq + first_seq, Cow::Borrowed(save)))
            .collect();
        self.commit(&changes)
    }

    fn put(&mut self, name: &str, value: &[u8]) -> io::Result<()> {
        self.commit(&[Change::Put(Cow::Borrowed(name), Cow::Borrowed(value))])
    }
}
