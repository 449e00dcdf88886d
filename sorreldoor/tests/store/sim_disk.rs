//! An in-memory disk that can lose or tear unsynced writes, run out of space and
//! fail operations.

use sorreldoor::store::Disk;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};

/// A seeded pseudorandom generator (xorshift).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % bound.max(1)
    }

    pub fn chance(&mut self, one_in: usize) -> bool {
        self.below(one_in) == 0
    }
}

#[derive(Clone, Debug)]
enum Unsynced {
    Write {
        offset: usize,
        bytes: Vec<u8>,
        /// Set when a sync of it failed: later syncs do not write it.
        dropped: bool,
    },
    Length(usize),
}

#[derive(Clone, Debug, Default)]
struct SimFile {
    durable: Vec<u8>,
    /// The content that processes read while the machine has power.
    visible: Vec<u8>,
    unsynced: Vec<Unsynced>,
    name_synced: bool,
}

fn overwrite(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}

impl SimFile {
    fn sync(&mut self) {
        for change in self.unsynced.drain(..) {
            match change {
                Unsynced::Write { dropped: true, .. } => {}
                Unsynced::Write { offset, bytes, .. } => {
                    overwrite(&mut self.durable, offset, &bytes);
                }
                Unsynced::Length(length) => self.durable.resize(length, 0),
            }
        }
    }

    fn lose_power(&mut self, loss: Loss, random: &mut Random) {
        for change in std::mem::take(&mut self.unsynced) {
            let fate = match loss {
                Loss::All => 0,
                Loss::Nothing => 1,
                Loss::Independent => random.below(4),
            };
            match (change, fate) {
                (_, 0) => {}
                (Unsynced::Length(length), _) => self.durable.resize(length, 0),
                (Unsynced::Write { offset, bytes, .. }, 1) => {
                    overwrite(&mut self.durable, offset, &bytes);
                }
                (Unsynced::Write { offset, bytes, .. }, 2) => {
                    let written = random.below(bytes.len() + 1);
                    overwrite(&mut self.durable, offset, &bytes[..written]);
                }
                (Unsynced::Write { offset, bytes, .. }, _) => {
                    for (sector, part) in bytes.chunks(64).enumerate() {
                        if random.chance(2) {
                            overwrite(&mut self.durable, offset + sector * 64, part);
                        }
                    }
                }
            }
        }
        self.visible = self.durable.clone();
    }
}

/// How much of the unsynced data a power loss discards.
#[derive(Clone, Copy, Debug)]
enum Loss {
    All,
    Nothing,
    Independent,
}

#[derive(Debug)]
pub struct State {
    files: BTreeMap<String, SimFile>,
    random: Random,
    /// Operations until the process is killed.
    operations_left: usize,
    /// Every change fails for lack of space.
    pub full: bool,
    /// One in this many changes or syncs fails; 0 means none.
    pub fails_one_in: usize,
    /// Every sync fails, but no other operation.
    pub syncs_fail: bool,
    pub operations: usize,
    pub writes: usize,
    pub bytes: usize,
    pub syncs: usize,
}

/// A handle to a disk. Clones share the disk, so that it outlives its store.
#[derive(Clone, Debug)]
pub struct SimDisk(Arc<Mutex<State>>);

impl SimDisk {
    pub fn new(seed: u64) -> SimDisk {
        SimDisk(Arc::new(Mutex::new(State {
            files: BTreeMap::new(),
            random: Random::new(seed),
            operations_left: usize::MAX,
            full: false,
            fails_one_in: 0,
            syncs_fail: false,
            operations: 0,
            writes: 0,
            bytes: 0,
            syncs: 0,
        })))
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Kills the process after this many more operations.
    pub fn kill_after(&self, operations: usize) {
        self.state().operations_left = operations;
    }

    pub fn revive(&self) {
        self.state().operations_left = usize::MAX;
    }

    pub fn lose_power(&self) {
        let mut state = self.state();
        let State { files, random, .. } = &mut *state;
        let loss = [
            Loss::All,
            Loss::Nothing,
            Loss::Independent,
            Loss::Independent,
        ];
        let loss = loss[random.below(loss.len())];
        files.retain(|_, f| f.name_synced || random.chance(2));
        for file in files.values_mut() {
            file.name_synced = true;
            file.lose_power(loss, random);
        }
    }

    /// Passes the durable bytes of a file to `act`, which may change them; returns
    /// its result.
    pub fn with_bytes<T>(&self, name: &str, act: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let mut state = self.state();
        let file = state.files.entry(name.to_string()).or_default();
        let result = act(&mut file.durable);
        file.visible = file.durable.clone();
        result
    }
}

impl State {
    fn count_operation(&mut self) -> io::Result<()> {
        if self.operations_left == 0 {
            return Err(io::Error::other("the process was killed"));
        }
        self.operations_left = self.operations_left.saturating_sub(1);
        self.operations += 1;
        Ok(())
    }

    fn begin_change(&mut self) -> io::Result<()> {
        self.count_operation()?;
        if self.full {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn fails(&mut self) -> bool {
        self.fails_one_in > 0 && self.random.chance(self.fails_one_in)
    }

    fn file(&mut self, name: &str) -> io::Result<&mut SimFile> {
        self.files
            .get_mut(name)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for SimDisk {
    fn create(&mut self, name: &str) -> io::Result<bool> {
        let mut state = self.state();
        state.count_operation()?;
        if state.files.contains_key(name) {
            return Ok(false);
        }
        if state.full {
            return Err(ErrorKind::StorageFull.into());
        }
        state.files.insert(name.to_string(), SimFile::default());
        Ok(true)
    }

    fn length(&mut self, name: &str) -> io::Result<u64> {
        Ok(self.state().file(name)?.visible.len() as u64)
    }

    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.begin_change()?;
        let file = state.file(name)?;
        file.visible.resize(length as usize, 0);
        file.unsynced.push(Unsynced::Length(length as usize));
        Ok(())
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        let file = state.file(name)?;
        let bytes = file.visible.get(offset as usize..offset as usize + length);
        bytes
            .map(<[u8]>::to_vec)
            .ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.begin_change()?;
        state.writes += 1;
        state.bytes += bytes.len();
        // a failed write may have written some of its bytes
        let failed = state.fails();
        let written = match failed {
            true => state.random.below(bytes.len() + 1),
            false => bytes.len(),
        };
        let offset = offset as usize;
        let bytes = bytes[..written].to_vec();
        let file = state.file(name)?;
        overwrite(&mut file.visible, offset, &bytes);
        let dropped = false;
        file.unsynced.push(Unsynced::Write {
            offset,
            bytes,
            dropped,
        });
        match failed {
            true => Err(ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.begin_change()?;
        state.syncs += 1;
        let failed = state.syncs_fail || state.fails();
        if !failed {
            state.file(name)?.sync();
            return Ok(());
        }
        let State { files, random, .. } = &mut *state;
        let file = files.get_mut(name).ok_or(ErrorKind::NotFound)?;
        for change in &mut file.unsynced {
            if let Unsynced::Write { dropped, .. } = change {
                *dropped |= random.chance(2);
            }
        }
        Err(io::Error::other("sync failed"))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let files = state.files.values_mut();
        files.for_each(|file| file.name_synced = true);
        Ok(())
    }
}
