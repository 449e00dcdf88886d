//! A random workload on a store, with a model of the states that a restart may
//! recover.

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

/// Generates calls and models the state that the store must have after each one.
pub struct Workload {
    random: Random,
    /// The state after all acknowledged calls.
    pub acknowledged: DurableState,
    /// Calls that failed and have not been retried yet.
    pending: Vec<Call>,
    /// Sequence number of the last save issued since the restart.
    issued: u64,
    first_seq: u64,
}

impl Workload {
    pub fn new(seed: u64) -> Workload {
        Workload {
            random: Random::new(seed ^ 0xABCD),
            acknowledged: DurableState::default(),
            pending: Vec::new(),
            issued: 0,
            first_seq: 0,
        }
    }

    /// Continues from the recovered state, which must be the acknowledged state
    /// plus any subset of the pending calls.
    pub fn restart(&mut self, recovered: &DurableState) {
        let choices = 1 << self.pending.len();
        let is_possible =
            (0..choices).any(|choice| encode(&self.possible(choice)) == encode(recovered));
        assert!(
            is_possible,
            "recovered up to save {}, acknowledged up to {}, {} calls pending",
            recovered.seq,
            self.acknowledged.seq,
            self.pending.len()
        );
        self.acknowledged = recovered.clone();
        self.pending.clear();
        self.issued = 0;
        self.first_seq = recovered.seq;
    }

    /// The state with the pending calls in the bit set `choice` applied.
    fn possible(&self, choice: usize) -> DurableState {
        let mut state = self.acknowledged.clone();
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
                // a pending batch is the last one issued
                let before = self.issued - saves.len() as u64;
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

    /// Makes one call: a retry of a failed one, a new one, or sometimes a put while
    /// a failed save is pending. Returns false if the call fails.
    pub fn step(&mut self, store: &mut impl Store) -> bool {
        let put_allowed = self.pending.len() == 1 && matches!(self.pending[0], Call::Save(_));
        let call = match self.pending.last() {
            None => self.next_call(),
            Some(_) if put_allowed && self.random.chance(3) => self.random_put(),
            Some(_) => self.pending.pop().unwrap(),
        };
        let result = match &call {
            Call::Save(saves) => {
                let before = self.issued - saves.len() as u64;
                let batch: Vec<(u64, Save)> = (before + 1..).zip(saves.iter().cloned()).collect();
                store.save(&batch)
            }
            Call::Put(name, value) => store.put(name, value),
        };
        if result.is_err() {
            self.pending.push(call);
            return false;
        }
        let mut acknowledged = std::mem::take(&mut self.acknowledged);
        self.apply(&mut acknowledged, &call);
        self.acknowledged = acknowledged;
        // a checkpoint may include an earlier failed save, which a restart may then
        // recover: it stays pending until it is acknowledged
        true
    }

    fn random_put(&mut self) -> Call {
        let value_names = ["identity", "promise", "sure"];
        let name = value_names[self.random.below(3)];
        Call::Put(
            name,
            vec![self.random.below(256) as u8; self.random.below(40)],
        )
    }

    fn next_call(&mut self) -> Call {
        if self.random.chance(8) {
            return self.random_put();
        }
        let count = 1 + self.random.below(3);
        let mut state = self.acknowledged.clone();
        let saves: Vec<Save> = (0..count)
            .map(|_| {
                let save = self.random_save(&state);
                state.apply_save(state.seq + 1, &save);
                save
            })
            .collect();
        self.issued += count as u64;
        Call::Save(saves)
    }

    fn random_save(&mut self, state: &DurableState) -> Save {
        let base = state.snapshot.as_ref().map_or(0, |s| s.last.index);
        let last = base + state.entries.len() as u64;
        match self.random.below(12) {
            0 => Save::HardState(HardState {
                term: state.hard.term + 1,
                ..state.hard.clone()
            }),
            1 => Save::ClaimRecords(vec![ClaimRecord {
                id: format!("id{}", self.random.below(5)),
                claimant: 1,
                retention_ms: 9,
            }]),
            2 => Save::ReleasedClaims(vec![format!("id{}", self.random.below(5))]),
            3 if last > base => {
                let size = if self.random.chance(20) { 150_000 } else { 900 };
                let index = base + 1 + self.random.below((last - base) as usize) as u64;
                snapshot(index, self.random.below(size))
            }
            4 if last > base => {
                // another leader's log overwrites the tail
                let from = base + 1 + self.random.below((last - base) as usize) as u64;
                append(from, self.random.below(300))
            }
            _ => append(last + 1, self.random.below(600)),
        }
    }
}
