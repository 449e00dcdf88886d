//! What the saves so far add up to; the same for the disk and the simulator.

use crate::consensus::{ClaimRecord, Entry, HardState, Kept, Log, LogPosition, Save, Snapshot};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, VecDeque};

/// How long a claim of the release before is kept, which gave no time.
const OLD_MS: u64 = 900_000;

/// One change as a store writes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change<'a> {
    Save(u64, Cow<'a, Save>),
    /// A small value beside the log, under its name.
    Put(Cow<'a, str>, Cow<'a, [u8]>),
}

/// All that a core keeps. Snapshots and entries are shared with the consensus
/// in memory, not copied.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DurableState {
    pub hard: HardState,
    pub snap: Option<Snapshot>,
    pub entries: Vec<Entry>,
    /// Claims as the release before kept them.
    #[serde(default)]
    pub claims: VecDeque<(String, u128)>,
    /// Errand ids claimed here and not forgotten yet.
    #[serde(default)]
    pub noted: BTreeMap<String, ClaimRecord>,
    /// Number of the last save taken in.
    pub seq: u64,
    /// Small values by name: identity, promise, and the like.
    #[serde(default)]
    pub values: BTreeMap<String, Vec<u8>>,
}

impl DurableState {
    fn base(&self) -> LogPosition {
        self.snap
            .as_ref()
            .map_or(LogPosition::default(), |s| s.last)
    }

    /// Takes in a change; one that is in already changes nothing.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Save(seq, save) => self.take(*seq, save),
            Change::Put(name, value) => {
                self.values.insert(name.to_string(), value.to_vec());
            }
        }
    }

    /// Nothing was ever kept in it.
    pub fn untouched(&self) -> bool {
        self.blank() && self.values.is_empty()
    }

    /// Take in save number `seq`; older ones are in already.
    pub fn take(&mut self, seq: u64, save: &Save) {
        if seq <= self.seq {
            return;
        }
        self.seq = seq;
        match save {
            Save::Hard(h) => {
                let commit = self.hard.commit.max(h.commit);
                self.hard = HardState {
                    commit,
                    ..h.clone()
                };
            }
            Save::Append {
                from,
                entries,
                commit,
            } => {
                self.hard.commit = self.hard.commit.max(*commit);
                let n = from.saturating_sub(self.base().idx + 1) as usize;
                self.entries.truncate(n);
                self.entries.extend(entries.iter().cloned());
            }
            Save::Claims(all) => self.claims.extend(all.iter().cloned()),
            Save::ClaimRecord(all) => {
                let rows = all.iter().map(|n| (n.id.clone(), n.clone()));
                self.noted.extend(rows);
            }
            Save::Forgot(ids) => ids.iter().for_each(|id| {
                self.noted.remove(id);
                self.claims.retain(|(i, _)| i != id);
            }),
            Save::Snap { snap, reset } => {
                let n = snap.last.idx.saturating_sub(self.base().idx) as usize;
                if *reset {
                    self.entries.clear();
                } else {
                    self.entries.drain(..n.min(self.entries.len()));
                }
                self.snap = Some(snap.clone());
            }
        }
    }

    fn claims(&self) -> Vec<ClaimRecord> {
        let old = self.claims.iter().map(|(id, by)| ClaimRecord {
            id: id.clone(),
            claimant: *by,
            retention_ms: OLD_MS,
        });
        let old = old.filter(|n| !self.noted.contains_key(&n.id));
        old.chain(self.noted.values().cloned()).collect()
    }

    pub fn blank(&self) -> bool {
        self.seq == 0
    }

    pub fn kept(&self) -> Kept {
        let log = self.snap.as_ref().map_or_else(
            || {
                let mut l = Log::default();
                l.push(self.entries.clone());
                l
            },
            |s| Log::from_parts(s, self.entries.clone()),
        );
        Kept {
            hard: self.hard.clone(),
            log,
            snap: self.snap.clone(),
            claims: self.claims(),
        }
    }
}
