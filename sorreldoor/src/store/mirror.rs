//! What the saves so far add up to; the same for the disk and the simulator.

use crate::agree::{Entry, Hard, Kept, Last, Log, Noted, Save, Snap};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How long a claim of the release before is kept, which gave no time.
const OLD_MS: u64 = 900_000;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Mirror {
    pub hard: Hard,
    pub snap: Option<Snap>,
    pub entries: Vec<Entry>,
    /// Claims as the release before kept them.
    #[serde(default)]
    pub claims: VecDeque<(String, u128)>,
    /// Errand ids claimed here and not forgotten yet.
    #[serde(default)]
    pub noted: BTreeMap<String, Noted>,
    /// Number of the last save taken in.
    pub seq: u64,
}

impl Mirror {
    fn base(&self) -> Last {
        self.snap.as_ref().map_or(Last::default(), |s| s.last)
    }

    /// Take in save number `seq`; older ones are in already.
    pub fn take(&mut self, seq: u64, save: &Save) {
        if seq <= self.seq {
            return;
        }
        self.seq = seq;
        match save {
            Save::Hard(h) => self.hard = h.clone(),
            Save::Append { from, entries } => {
                let n = from.saturating_sub(self.base().idx + 1) as usize;
                self.entries.truncate(n);
                self.entries.extend(entries.iter().cloned());
            }
            Save::Claims(all) => self.claims.extend(all.iter().cloned()),
            Save::Noted(all) => {
                let rows = all.iter().map(|n| (n.id.clone(), n.clone()));
                self.noted.extend(rows);
            }
            Save::Forgot(ids) => ids.iter().for_each(|id| {
                self.noted.remove(id);
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

    fn claims(&self) -> Vec<Noted> {
        let old = self.claims.iter().map(|(id, by)| Noted {
            id: id.clone(),
            by: *by,
            keep_ms: OLD_MS,
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
