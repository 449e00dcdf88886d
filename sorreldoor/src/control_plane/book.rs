//! The claims that one core has noted: who may send an errand id, and until
//! when the id is remembered. Ids are let go by time only, never by number.

pub use crate::consensus::ClaimRecord;
use crate::types::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Who claims: one try of one life of an edge.
pub type By = u128;

/// An id is remembered for its route's cutoff and this long on top, so that a
/// caller's late try under it is still known.
pub const KEEP_MS: Millis = 300_000;
/// The longest that any id is remembered: the longest cutoff a setup may give.
pub const LONGEST_MS: Millis = 600_000 + KEEP_MS;

/// Holds an id that two are known to have claimed.
const BOTH: By = 0;

#[derive(Clone, Copy, Debug)]
struct Row {
    by: By,
    until: Millis,
    seq: u64,
}

/// What noting a claim came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// It stands, and is new: to be synced before anyone relies on it.
    Fresh,
    Same,
    /// Another had it first.
    Other(By),
    /// It was given up already; the claim came late.
    Freed,
    /// No room to remember one more.
    Full,
}

pub struct Book {
    rows: BTreeMap<String, Row>,
    /// The order in which ids were noted here, for cores that learn.
    journal: BTreeMap<u64, String>,
    ends: BTreeSet<(Millis, String)>,
    /// Claims given up of late, so that one overtaken by its own end is known.
    freed: BTreeMap<By, Millis>,
    next: u64,
    most: usize,
}

impl Book {
    pub fn new(most: usize) -> Book {
        Book {
            rows: BTreeMap::new(),
            journal: BTreeMap::new(),
            ends: BTreeSet::new(),
            freed: BTreeMap::new(),
            next: 1,
            most,
        }
    }

    /// How many ids are remembered now.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    pub fn most(&self) -> usize {
        self.most
    }

    /// Note a claim unless another was first.
    pub fn note(&mut self, n: &ClaimRecord, now: Millis) -> Note {
        if self.freed.contains_key(&n.by) {
            return Note::Freed;
        }
        let held = self.rows.get(&n.id).map(|r| r.by);
        match held {
            Some(by) if by == n.by => Note::Same,
            Some(by) => Note::Other(by),
            // to forget one early would let it run a second time
            None if self.rows.len() >= self.most => Note::Full,
            None => {
                self.put(n, now);
                Note::Fresh
            }
        }
    }

    fn put(&mut self, n: &ClaimRecord, now: Millis) {
        let (seq, until) = (self.next, now + n.keep_ms.min(LONGEST_MS));
        self.next += 1;
        let by = n.by;
        self.rows.insert(n.id.clone(), Row { by, until, seq });
        self.journal.insert(seq, n.id.clone());
        self.ends.insert((until, n.id.clone()));
    }

    fn drop_row(&mut self, id: &str) {
        if let Some(r) = self.rows.remove(id) {
            self.journal.remove(&r.seq);
            self.ends.remove(&(r.until, id.to_string()));
        }
    }

    /// Take in a claim that another core tells of. Of two on one id it cannot
    /// be known here which one won, so neither is granted any more.
    pub fn told(&mut self, n: &ClaimRecord, now: Millis) -> bool {
        match self.note(n, now) {
            Note::Fresh => true,
            Note::Other(_) => {
                let by = BOTH;
                let until = now + n.keep_ms.min(LONGEST_MS);
                let longer = self.rows.get(&n.id).map_or(0, |r| r.until).max(until);
                self.drop_row(&n.id);
                let (id, keep_ms) = (n.id.clone(), longer - now);
                self.put(&ClaimRecord { id, by, keep_ms }, now);
                true
            }
            _ => false,
        }
    }

    /// A claim is given up: whether the id was held under it.
    pub fn free(&mut self, id: &str, by: By, now: Millis) -> bool {
        self.freed.insert(by, now + KEEP_MS);
        let held = self.rows.get(id).is_some_and(|r| r.by == by);
        if held {
            self.drop_row(id);
        }
        held
    }

    pub fn was_freed(&self, by: By) -> bool {
        self.freed.contains_key(&by)
    }

    /// How an id is held now.
    pub fn held(&self, id: &str, now: Millis) -> Option<ClaimRecord> {
        self.rows.get(id).map(|r| ClaimRecord {
            id: id.to_string(),
            by: r.by,
            keep_ms: r.until.saturating_sub(now),
        })
    }

    /// Let go of what has been remembered long enough; the ids.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        self.freed.retain(|_, t| *t > now);
        let mut out = Vec::new();
        while let Some((t, id)) = self.ends.first().cloned() {
            if t > now {
                break;
            }
            self.drop_row(&id);
            out.push(id);
        }
        out
    }

    /// From a place in the journal on: some claims with the time each has
    /// left, where to go on from, and whether that was the end.
    pub fn page(&self, from: u64, most: usize, now: Millis) -> (Vec<ClaimRecord>, u64, bool) {
        let mut next = from;
        let mut out = Vec::new();
        for (seq, id) in self.journal.range(from..).take(most) {
            next = seq + 1;
            if let Some(r) = self.rows.get(id) {
                out.push(ClaimRecord {
                    id: id.clone(),
                    by: r.by,
                    keep_ms: r.until.saturating_sub(now),
                });
            }
        }
        let end = self.journal.range(next..).next().is_none();
        (out, next, end)
    }
}
