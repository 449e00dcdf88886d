//! Requests that wait for a place, in order of priority, then of arrival.

use super::RequestId;
use crate::types::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// What the waiting ones can be served by: service, and homes as bits.
pub type Line = (u32, u64);
pub type Rank = (u8, Millis, RequestId);

/// Asked again after this at the latest, in milliseconds.
pub const TICK: Millis = 20;

#[derive(Clone, Debug, Default)]
struct Row {
    ranks: BTreeSet<Rank>,
    freed: u32,
    due: Millis,
}

#[derive(Clone, Debug, Default)]
pub struct Waits {
    rows: BTreeMap<Line, Row>,
}

impl Waits {
    pub fn len(&self) -> usize {
        self.rows.values().map(|r| r.ranks.len()).sum()
    }

    pub fn put(&mut self, l: Line, r: Rank, now: Millis) {
        let row = self.rows.entry(l).or_default();
        if row.ranks.is_empty() {
            row.due = now + TICK;
            row.freed = 0;
        }
        row.ranks.insert(r);
    }

    pub fn drop(&mut self, l: Line, r: Rank) {
        if let Some(row) = self.rows.get_mut(&l) {
            row.ranks.remove(&r);
            if row.ranks.is_empty() {
                self.rows.remove(&l);
            }
        }
    }

    /// One that comes before `r` waits.
    pub fn before(&self, l: Line, r: Rank) -> bool {
        let first = self.rows.get(&l).and_then(|w| w.ranks.first());
        first.is_some_and(|f| *f < r)
    }

    /// A place came free at a worker of the service.
    pub fn freed(&mut self, service: u32) {
        self.rows
            .range_mut((service, 0)..=(service, u64::MAX))
            .for_each(|(_, r)| r.freed += 1);
    }

    /// All may find places now: another list, another configuration.
    pub fn all(&mut self) {
        self.rows.values_mut().for_each(|r| r.due = 0);
    }

    pub fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        let mut out: Vec<Rank> = Vec::new();
        for row in self.rows.values_mut() {
            let n = match row.due <= now {
                true => row.ranks.len(),
                false => row.freed as usize,
            };
            if row.due <= now {
                row.due = now + TICK;
            }
            row.freed = 0;
            out.extend(row.ranks.iter().take(n));
        }
        out.sort_unstable();
        out.into_iter().map(|r| r.2).collect()
    }
}
