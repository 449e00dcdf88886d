//! The store of a core: it recovers the state on opening, then makes each change
//! durable before it returns.

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

/// Name of the value that marks a member whose state was discarded as damaged.
const MUST_REJOIN_NAME: &str = "rejoins";

/// The state of a core, held in memory and stored on a disk.
pub struct DurableStore<D> {
    files: LogFiles<D>,
    state: DurableState,
    /// Sequence number of the last save of the previous process. Callers number
    /// their saves from 1; this is added to them.
    first_seq: u64,
}

/// A store, and what its recovery found.
pub struct OpenedStore<D> {
    /// The store, ready for changes.
    pub store: DurableStore<D>,
    /// Whether an unfinished record at the end of the log was dropped.
    pub torn: bool,
    /// The damage for which the stored state was discarded, if any.
    pub damage: Option<Damage>,
}

impl DurableStore<Directory> {
    /// Opens the store in a directory, and imports what the previous release
    /// stored there.
    ///
    /// # Errors
    /// A disk operation fails; the synced state is unchanged.
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
    /// A disk operation fails; the synced state is unchanged.
    pub fn open(
        mut disk: D,
        read_legacy: impl FnOnce() -> io::Result<LegacyState>,
    ) -> io::Result<OpenedStore<D>> {
        for file in FILES {
            if disk.create(file)? {
                disk.sync(file)?;
            }
        }
        // an earlier start may have created names without syncing them
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

    /// Whether this member's state was discarded as damaged. Such a member may
    /// join a site but must not bootstrap one.
    pub fn must_rejoin(&self) -> bool {
        self.state.values.contains_key(MUST_REJOIN_NAME)
    }

    /// Returns the disk, for tests that inspect its contents.
    pub fn into_disk(self) -> D {
        self.files.into_disk()
    }

    /// Atomically replaces a damaged state by an empty one with the rejoin mark.
    fn discard_state(&mut self) -> io::Result<()> {
        self.state = DurableState::default();
        let mark = Change::Put(Cow::Borrowed(MUST_REJOIN_NAME), Cow::Borrowed(&[1]));
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
