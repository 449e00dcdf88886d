//! Table of the idempotency keys that are claimed on one core: the claimant of
//! each key and the time at which the key expires. Entries are removed only by
//! expiry or release; a full table rejects new keys and never evicts one.

use crate::types::Millis;
use crate::wire::ClaimsPage;
use std::collections::{BTreeMap, BTreeSet};

pub use crate::consensus::ClaimRecord;

/// Identity of a claimant: one request attempt of one incarnation of an edge.
pub type Claimant = u128;

/// Time for which a key is retained beyond its route's deadline, so that a late
/// duplicate from the caller is still recognized.
pub const RETENTION_MS: Millis = 300_000;
/// Maximum retention of a key: the longest deadline that a configuration may set,
/// plus [`RETENTION_MS`].
pub const MAX_RETENTION_MS: Millis = 600_000 + RETENTION_MS;

/// Claimant of a key that two claimants have claimed on different cores. No real
/// claimant has this value, so the key is granted to neither.
const CONFLICTING_CLAIMANTS: Claimant = 0;

#[derive(Clone, Copy, Debug)]
struct Entry {
    claimant: Claimant,
    expires_at: Millis,
    offset: u64,
}

/// Outcome of claiming a key in the table of one core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ClaimOutcome {
    /// The key was free and is now claimed. The entry is to be synced to disk
    /// before anyone relies on it.
    Granted,
    /// The same claimant has claimed the key before.
    AlreadyGranted,
    /// Another claimant was first.
    Conflict(Claimant),
    /// The claimant has released the key already; its claim arrived late.
    Released,
    /// The table is at capacity.
    Full,
}

/// The claimed keys of one core.
#[derive(Debug)]
pub struct ClaimTable {
    entries: BTreeMap<String, Entry>,
    /// Keys by the offset of their insertion, for peers that read the table.
    insertions: BTreeMap<u64, String>,
    expirations: BTreeSet<(Millis, String)>,
    /// Claimants that released their key, until the given time, so that a
    /// claim which arrives after its own release is recognized.
    released: BTreeMap<Claimant, Millis>,
    next_offset: u64,
    capacity: usize,
}

impl ClaimTable {
    /// Creates an empty table for at most `capacity` keys.
    #[must_use]
    pub fn new(capacity: usize) -> ClaimTable {
        ClaimTable {
            entries: BTreeMap::new(),
            insertions: BTreeMap::new(),
            expirations: BTreeSet::new(),
            released: BTreeMap::new(),
            next_offset: 1,
            capacity,
        }
    }

    /// Number of keys that are claimed now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is claimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of keys that fit into the table.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Claims a key unless another claimant was first.
    pub fn claim(&mut self, claim: &ClaimRecord, now: Millis) -> ClaimOutcome {
        if self.released.contains_key(&claim.claimant) {
            return ClaimOutcome::Released;
        }
        match self.entries.get(&claim.id).map(|entry| entry.claimant) {
            Some(claimant) if claimant == claim.claimant => ClaimOutcome::AlreadyGranted,
            Some(claimant) => ClaimOutcome::Conflict(claimant),
            // evicting a key early would let its request run a second time
            None if self.entries.len() >= self.capacity => ClaimOutcome::Full,
            None => {
                self.insert(claim, now);
                ClaimOutcome::Granted
            }
        }
    }

    fn insert(&mut self, claim: &ClaimRecord, now: Millis) {
        let offset = self.next_offset;
        self.next_offset += 1;
        let entry = Entry {
            claimant: claim.claimant,
            expires_at: now + claim.retention_ms.min(MAX_RETENTION_MS),
            offset,
        };
        self.entries.insert(claim.id.clone(), entry);
        self.insertions.insert(offset, claim.id.clone());
        self.expirations
            .insert((entry.expires_at, claim.id.clone()));
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.insertions.remove(&entry.offset);
            self.expirations.remove(&(entry.expires_at, id.to_string()));
        }
    }

    /// Merges a claim from a peer's table; returns whether the table changed.
    ///
    /// If two claimants hold one key, this core cannot know which of them has the
    /// majority, so it grants the key to neither from now on.
    pub fn merge(&mut self, claim: &ClaimRecord, now: Millis) -> bool {
        match self.claim(claim, now) {
            ClaimOutcome::Granted => true,
            ClaimOutcome::Conflict(_) => {
                self.mark_conflicting(claim, now);
                true
            }
            _ => false,
        }
    }

    fn mark_conflicting(&mut self, claim: &ClaimRecord, now: Millis) {
        let claim_expiry = now + claim.retention_ms.min(MAX_RETENTION_MS);
        let entry_expiry = self.entries.get(&claim.id).map_or(0, |e| e.expires_at);
        let expires_at = entry_expiry.max(claim_expiry);
        self.remove(&claim.id);
        let conflicting = ClaimRecord {
            id: claim.id.clone(),
            claimant: CONFLICTING_CLAIMANTS,
            retention_ms: expires_at - now,
        };
        self.insert(&conflicting, now);
    }

    /// Releases a claim; returns whether the claimant held the key.
    pub fn release(&mut self, id: &str, claimant: Claimant, now: Millis) -> bool {
        self.released.insert(claimant, now + RETENTION_MS);
        let owned = self
            .entries
            .get(id)
            .is_some_and(|entry| entry.claimant == claimant);
        if owned {
            self.remove(id);
        }
        owned
    }

    /// Whether the claimant has released its key within the last [`RETENTION_MS`].
    #[must_use]
    pub fn was_released(&self, claimant: Claimant) -> bool {
        self.released.contains_key(&claimant)
    }

    /// The claim on a key, with its remaining retention.
    #[must_use]
    pub fn get(&self, id: &str, now: Millis) -> Option<ClaimRecord> {
        self.entries.get(id).map(|entry| ClaimRecord {
            id: id.to_string(),
            claimant: entry.claimant,
            retention_ms: entry.expires_at.saturating_sub(now),
        })
    }

    /// Removes the expired keys and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        self.released.retain(|_, expires_at| *expires_at > now);
        let mut expired = Vec::new();
        while let Some((expires_at, id)) = self.expirations.first().cloned() {
            if expires_at > now {
                break;
            }
            self.remove(&id);
            expired.push(id);
        }
        expired
    }

    /// Reads at most `limit` claims from offset `start` on.
    #[must_use]
    pub fn page(&self, start: u64, limit: usize, now: Millis) -> ClaimsPage {
        let mut next = start;
        let mut claims = Vec::new();
        for (offset, id) in self.insertions.range(start..).take(limit) {
            next = offset + 1;
            claims.extend(self.get(id, now));
        }
        let last = self.insertions.range(next..).next().is_none();
        ClaimsPage {
            start,
            claims,
            next,
            last,
        }
    }
}
