//! What the saves so far add up to; the same for the disk and the simulator.

use crate::consensus::{Entry, Hard, Kept, Last, Log, Noted, Save, Snap};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How long a claim of the release before is kept, which gave no time.
const OLD_MS: u64 = 900_000;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DurableState {
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

impl DurableState {
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
            Save::Hard(h) => {
                let commit = self.hard.commit.max(h.commit);
                self.hard = Hard {
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
            Save::Noted(all) => {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{decode, encode};

    /// What the release before kept on disk, as it wrote it.
    #[derive(Serialize)]
    struct Before {
        hard: Hard,
        snap: Option<Snap>,
        entries: Vec<Entry>,
        claims: VecDeque<(String, u128)>,
        seq: u64,
    }

    #[test]
    fn what_the_release_before_kept_is_read() {
        let b = Before {
            hard: Hard::default(),
            snap: None,
            entries: Vec::new(),
            claims: VecDeque::from([("old".to_string(), 7)]),
            seq: 3,
        };
        let mut m: DurableState = decode(&encode(&b)).expect("an image of the release before");
        // its saves still stand in the log behind the image
        m.take(4, &Save::Claims(vec![("later".into(), 8)]));
        let (id, by, keep_ms) = ("old".to_string(), 9, 5);
        m.take(5, &Save::Noted(vec![Noted { id, by, keep_ms }]));
        let kept = m.kept().claims;
        let by = |id: &str| kept.iter().find(|n| n.id == id).map(|n| n.by);
        assert_eq!((kept.len(), by("old"), by("later")), (2, Some(9), Some(8)));
    }
}
