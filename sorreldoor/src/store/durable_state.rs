//! The durable state of a core and the changes to it. The store and the
//! simulators apply the same changes.

use crate::consensus::{
    ClaimRecord, Entry, HardState, LogPosition, RaftLog, RecoveredState, Save, Snapshot,
};
use crate::types::Millis;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, VecDeque};

/// Retention of claims that the previous release stored, which recorded none.
const LEGACY_CLAIM_MS: Millis = 900_000;

/// One change to the state, as stored in a batch record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change<'a> {
    /// A save of consensus, with its sequence number.
    Save(u64, Cow<'a, Save>),
    /// Sets the small value with this name.
    Put(Cow<'a, str>, Cow<'a, [u8]>),
}

/// The complete durable state of a core, kept in memory by its store. Snapshots
/// and entries are shared with consensus, not copied.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DurableState {
    /// The term, the vote and the commit index.
    pub hard: HardState,
    /// The newest snapshot; `None` until the first one is saved.
    #[serde(rename = "snap")]
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Claims in the format of the previous release.
    #[serde(default, rename = "claims")]
    legacy_claims: VecDeque<(String, u128)>,
    /// Claims on idempotency keys by key, until they expire.
    #[serde(default, rename = "noted")]
    claims: BTreeMap<String, ClaimRecord>,
    /// Sequence number of the last save applied.
    pub seq: u64,
    /// Small values by name, such as the identity of the core.
    #[serde(default)]
    pub values: BTreeMap<String, Vec<u8>>,
}

impl DurableState {
    /// Applies a change. A save that was applied before has no effect.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Save(seq, save) => self.apply_save(*seq, save),
            Change::Put(name, value) => {
                self.values.insert(name.to_string(), value.to_vec());
            }
        }
    }

    /// Applies the save with the sequence number `seq`; no effect if that number
    /// was applied before.
    pub fn apply_save(&mut self, seq: u64, save: &Save) {
        if seq <= self.seq {
            return;
        }
        self.seq = seq;
        match save {
            Save::HardState(hard) => self.set_hard_state(hard),
            Save::Append {
                from,
                entries,
                commit,
            } => self.append(*from, entries, *commit),
            Save::LegacyClaims(claims) => self.legacy_claims.extend(claims.iter().cloned()),
            Save::ClaimRecords(claims) => {
                let by_id = claims.iter().map(|claim| (claim.id.clone(), claim.clone()));
                self.claims.extend(by_id);
            }
            Save::ReleasedClaims(ids) => ids.iter().for_each(|id| self.remove_claim(id)),
            Save::Snapshot {
                snapshot,
                discard_log,
            } => self.install_snapshot(snapshot, *discard_log),
        }
    }

    fn set_hard_state(&mut self, hard: &HardState) {
        let committed = self.hard.committed.max(hard.committed);
        self.hard = HardState {
            committed,
            ..hard.clone()
        };
    }

    /// Replaces the entries from index `from` on.
    fn append(&mut self, from: u64, entries: &[Entry], commit: u64) {
        self.hard.committed = self.hard.committed.max(commit);
        let retained = from.saturating_sub(self.snapshot_position().index + 1) as usize;
        self.entries.truncate(retained);
        self.entries.extend(entries.iter().cloned());
    }

    fn remove_claim(&mut self, id: &str) {
        self.claims.remove(id);
        self.legacy_claims.retain(|(claimed, _)| claimed != id);
    }

    /// Replaces the snapshot and drops the entries that it covers, or all of
    /// them with `discard_log`.
    fn install_snapshot(&mut self, snapshot: &Snapshot, discard_log: bool) {
        let base = self.snapshot_position().index;
        let covered = snapshot.last.index.saturating_sub(base) as usize;
        if discard_log {
            self.entries.clear();
        } else {
            self.entries.drain(..covered.min(self.entries.len()));
        }
        self.snapshot = Some(snapshot.clone());
    }

    fn snapshot_position(&self) -> LogPosition {
        let snapshot = self.snapshot.as_ref();
        snapshot.map_or(LogPosition::default(), |snapshot| snapshot.last)
    }

    /// Whether no save was ever applied.
    #[must_use]
    pub fn has_no_saves(&self) -> bool {
        self.seq == 0
    }

    /// Whether nothing was ever stored, neither saves nor values.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.has_no_saves() && self.values.is_empty()
    }

    /// The state from which consensus starts.
    #[must_use]
    pub fn to_consensus(&self) -> RecoveredState {
        let log = self.snapshot.as_ref().map_or_else(
            || {
                let mut log = RaftLog::default();
                log.push(self.entries.clone());
                log
            },
            |snapshot| RaftLog::from_parts(snapshot, self.entries.clone()),
        );
        RecoveredState {
            hard_state: self.hard.clone(),
            log,
            snapshot: self.snapshot.clone(),
            claims: self.all_claims(),
        }
    }

    fn all_claims(&self) -> Vec<ClaimRecord> {
        let legacy = self.legacy_claims.iter().map(|(id, claimant)| ClaimRecord {
            id: id.clone(),
            claimant: *claimant,
            retention_ms: LEGACY_CLAIM_MS,
        });
        let legacy = legacy.filter(|claim| !self.claims.contains_key(&claim.id));
        legacy.chain(self.claims.values().cloned()).collect()
    }
}
