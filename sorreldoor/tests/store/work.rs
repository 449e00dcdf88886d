//! Random work on a store, and what may be found of it after a crash.

use super::sim_disk::{Random, SimDisk};
use sorreldoor::consensus::{Body, ClaimRecord, Entry, HardState, LogPosition, Save, Snapshot};
use sorreldoor::replicated_state::encode;
use sorreldoor::store::{Change, DurableState, DurableStore, LegacyState, OpenedStore, Store};
use std::borrow::Cow;
use std::io;
use std::sync::Arc;

pub fn open(disk: &SimDisk) -> io::Result<OpenedStore<SimDisk>> {
    DurableStore::open(disk.clone(), || Ok(LegacyState::Absent))
}

pub fn entry(term: u64, length: usize) -> Entry {
    Entry {
        term,
        proposal_id: u128::from(term),
        origin: 1,
        body: Body::Data(Arc::new(vec![term as u8; length])),
    }
}

pub fn append(index: u64, length: usize) -> Save {
    Save::Append {
        from: index,
        entries: vec![entry(index, length)],
        commit: 0,
    }
}

pub fn snapshot(index: u64, length: usize) -> Save {
    let snapshot = Snapshot {
        last: LogPosition { term: index, index },
        members: Vec::new(),
        image: Arc::new(vec![index as u8; length]),
    };
    Save::Snapshot {
        snapshot,
        discard_log: false,
    }
}

/// One call of the store.
#[derive(Clone, Debug)]
pub enum Call {
    Save(Vec<Save>),
    Put(&'static str, Vec<u8>),
}

/// Makes calls, and knows what the store must hold after each.
pub struct Work {
    random: Random,
    /// What was acknowledged.
    pub kept: DurableState,
    /// Calls that failed and were not made again yet.
    pending: Vec<Call>,
    /// The number that the consensus of this life gave last.
    given: u64,
    first_seq: u64,
}

impl Work {
    pub fn new(seed: u64) -> Work {
        Work {
            random: Random::new(seed ^ 0xABCD),
            kept: DurableState::default(),
            pending: Vec::new(),
            given: 0,
            first_seq: 0,
        }
    }

    /// A process starts on what was found, which must be what was
    /// acknowledged, with any of the calls that were not.
    pub fn restart(&mut self, found: &DurableState) {
        let choices = 1 << self.pending.len();
        let fits = (0..choices).any(|choice| encode(&self.possible(choice)) == encode(found));
        assert!(
            fits,
            "found up to save {}, kept up to {}, {} calls pending",
            found.seq,
            self.kept.seq,
            self.pending.len()
        );
        self.kept = found.clone();
        self.pending.clear();
        self.given = 0;
        self.first_seq = found.seq;
    }

    /// What is kept if the pending calls of this choice are in.
    fn possible(&self, choice: usize) -> DurableState {
        let mut state = self.kept.clone();
        for (index, call) in self.pending.iter().enumerate() {
            if choice & (1 << index) != 0 {
                self.apply(&mut state, call);
            }
        }
        state
    }

    fn apply(&self, state: &mut DurableState, call: &Call) {
        match call {
            Call::Save(saves) => {
                // a pending batch is the last one given
                let before = self.given - saves.len() as u64;
                for (nth, save) in saves.iter().enumerate() {
                    state.apply_save(self.first_seq + before + nth as u64 + 1, save);
                }
            }
            Call::Put(name, value) => {
                let change = Change::Put(Cow::Borrowed(*name), Cow::Borrowed(&value[..]));
                state.apply(&change);
            }
        }
    }

    /// Makes one call, at times a put beside a save that has failed; false
    /// where the store refuses it.
    pub fn step(&mut self, store: &mut impl Store) -> bool {
        let beside = self.pending.len() == 1 && matches!(self.pending[0], Call::Save(_));
        let call = match self.pending.last() {
            None => self.next(),
            Some(_) if beside && self.random.chance(3) => self.put(),
            Some(_) => self.pending.pop().unwrap(),
        };
        let done = match &call {
            Call::Save(saves) => {
                let before = self.given - saves.len() as u64;
                let batch: Vec<(u64, Save)> = (before + 1..).zip(saves.iter().cloned()).collect();
                store.save(&batch)
            }
            Call::Put(name, value) => store.put(name, value),
        };
        if done.is_err() {
            self.pending.push(call);
            return false;
        }
        let mut kept = std::mem::take(&mut self.kept);
        self.apply(&mut kept, &call);
        self.kept = kept;
        // a checkpoint holds the save that failed before as well, and the
        // next life may find it: it stays pending until it is acknowledged
        true
    }

    fn put(&mut self) -> Call {
        let names = ["identity", "promise", "sure"];
        let name = names[self.random.below(3)];
        Call::Put(
            name,
            vec![self.random.below(256) as u8; self.random.below(40)],
        )
    }

    fn next(&mut self) -> Call {
        if self.random.chance(8) {
            return self.put();
        }
        let count = 1 + self.random.below(3);
        let mut state = self.kept.clone();
        let saves: Vec<Save> = (0..count)
            .map(|_| {
                let save = self.any_save(&state);
                state.apply_save(state.seq + 1, &save);
                save
            })
            .collect();
        self.given += count as u64;
        Call::Save(saves)
    }

    fn any_save(&mut self, state: &DurableState) -> Save {
        let base = state.snapshot.as_ref().map_or(0, |s| s.last.index);
        let last = base + state.entries.len() as u64;
        match self.random.below(12) {
            0 => Save::HardState(HardState {
                term: state.hard.term + 1,
                ..state.hard.clone()
            }),
            1 => Save::ClaimRecord(vec![ClaimRecord {
                id: format!("id{}", self.random.below(5)),
                claimant: 1,
                retention_ms: 9,
            }]),
            2 => Save::ReleasedClaims(vec![format!("id{}", self.random.below(5))]),
            3 if last > base => {
                let size = if self.random.chance(20) { 150_000 } else { 900 };
                let at = base + 1 + self.random.below((last - base) as usize) as u64;
                snapshot(at, self.random.below(size))
            }
            4 if last > base => {
                // another leader's log replaces the end
                let from = base + 1 + self.random.below((last - base) as usize) as u64;
                append(from, self.random.below(300))
            }
            _ => append(last + 1, self.random.below(600)),
        }
    }
}
