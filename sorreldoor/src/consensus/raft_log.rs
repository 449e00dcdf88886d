//! The log in memory: the position up to which it is compacted, and the entries
//! after that.

use super::entry::{Body, Entry, LogPosition, Member, Snapshot};

/// The uncompacted part of the log, with the configurations in it. Indexes start at
/// 1. The base is the position of the last compacted entry.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    base: LogPosition,
    base_members: Vec<Member>,
    entries: Vec<Entry>,
    /// Configurations after the base, with their index, oldest first.
    configurations: Vec<(u64, Vec<Member>)>,
}

impl RaftLog {
    /// The empty log of a new group.
    pub fn bootstrap(members: Vec<Member>) -> RaftLog {
        RaftLog {
            base_members: members,
            ..RaftLog::default()
        }
    }

    /// The log of a snapshot and the entries that follow it.
    pub fn from_parts(snap: &Snapshot, entries: Vec<Entry>) -> RaftLog {
        let mut log = RaftLog {
            base: snap.last,
            base_members: snap.members.clone(),
            ..RaftLog::default()
        };
        log.push(entries);
        log
    }

    /// Position of the last compacted entry.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Position of the last entry.
    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |e| LogPosition {
            term: e.term,
            index: self.base.index + self.entries.len() as u64,
        })
    }

    /// The entry at `index`, unless compacted or not appended yet.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        index
            .checked_sub(self.base.index + 1)
            .and_then(|i| self.entries.get(i as usize))
    }

    /// Term of the entry at `index`, which may be the base; `None` if it is compacted
    /// or not appended yet.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        (index == self.base.index)
            .then_some(self.base.term)
            .or_else(|| self.get(index).map(|e| e.term))
    }

    /// Position of the entry at `index`, as for `term_at`.
    pub fn at(&self, index: u64) -> Option<LogPosition> {
        self.term_at(index).map(|term| LogPosition { term, index })
    }

    /// Entries from `from` to `last`, ending before the first large one and at
    /// `max_bytes` in total.
    pub fn range(&self, from: u64, last: u64, max_bytes: usize) -> Vec<Entry> {
        let start = from.saturating_sub(self.base.index + 1) as usize;
        let end = (last.saturating_sub(self.base.index) as usize).min(self.entries.len());
        let mut remaining = max_bytes;
        self.entries
            .get(start..end)
            .unwrap_or(&[])
            .iter()
            .take_while(|entry| {
                let within_limit = !entry.is_large() && remaining >= entry.bytes();
                remaining = remaining.saturating_sub(entry.bytes());
                within_limit
            })
            .cloned()
            .collect()
    }

    /// Bytes of the entries after `index`.
    pub fn bytes_after(&self, index: u64) -> usize {
        let skip = index.saturating_sub(self.base.index) as usize;
        self.entries.iter().skip(skip).map(Entry::bytes).sum()
    }

    /// The index to compact up to so that the entries after it, up to `last`, are as
    /// many as `count` and `max_bytes` allow.
    pub fn index_before_tail(&self, last: u64, count: u64, max_bytes: usize) -> u64 {
        let mut from = last;
        let mut remaining = max_bytes;
        while from > self.base.index && last - from < count {
            let size = self.get(from).map_or(0, Entry::bytes);
            if size > remaining {
                break;
            }
            remaining -= size;
            from -= 1;
        }
        from
    }

    /// Append entries after the last one.
    pub fn push(&mut self, entries: Vec<Entry>) {
        let mut index = self.last().index;
        for e in entries {
            index += 1;
            if let Body::Members(m) = &e.body {
                self.configurations.push((index, m.clone()));
            }
            self.entries.push(e);
        }
    }

    /// Remove the entries from index `from` on.
    pub fn truncate_from(&mut self, from: u64) {
        let remaining = from.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(remaining);
        self.configurations.retain(|(i, _)| *i < from);
    }

    /// The newest configuration, committed or not.
    pub fn members(&self) -> &[Member] {
        self.configurations
            .last()
            .map_or(&self.base_members, |(_, m)| m)
    }

    /// The configuration in effect at `index`.
    pub fn members_at(&self, index: u64) -> &[Member] {
        self.configurations
            .iter()
            .rev()
            .find(|(i, _)| *i <= index)
            .map_or(&self.base_members, |(_, m)| m)
    }

    /// Index of the newest configuration, or of the base.
    pub fn last_configuration_index(&self) -> u64 {
        self.configurations
            .last()
            .map_or(self.base.index, |(i, _)| *i)
    }

    /// Remove the entries up to and including `upto`, which becomes the base. No
    /// effect if `upto` is not in the log.
    pub fn compact(&mut self, upto: u64) {
        let Some(position) = self.at(upto) else {
            return;
        };
        let compacted = (upto - self.base.index) as usize;
        self.base_members = self.members_at(upto).to_vec();
        self.entries.drain(..compacted);
        self.configurations.retain(|(i, _)| *i > upto);
        self.base = position;
    }

    /// Replace the whole log by a snapshot.
    pub fn reset(&mut self, snap: &Snapshot) {
        *self = RaftLog::from_parts(snap, Vec::new());
    }

    /// Number of entries after the base.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the base.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
