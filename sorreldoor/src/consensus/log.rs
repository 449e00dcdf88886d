//! The log in memory: a snapshot's place and the entries after it.

use super::types::{Body, Entry, LogPosition, Member, Snapshot};

#[derive(Clone, Debug, Default)]
pub struct Log {
    base: LogPosition,
    base_members: Vec<Member>,
    entries: Vec<Entry>,
    /// Where membership changed, oldest first; the base's own list is apart.
    confs: Vec<(u64, Vec<Member>)>,
}

impl Log {
    pub fn founded(members: Vec<Member>) -> Log {
        Log {
            base_members: members,
            ..Log::default()
        }
    }

    pub fn from_parts(snap: &Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            base: snap.last,
            base_members: snap.members.clone(),
            ..Log::default()
        };
        log.push(entries);
        log
    }

    pub fn base(&self) -> LogPosition {
        self.base
    }

    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |e| LogPosition {
            term: e.term,
            idx: self.base.idx + self.entries.len() as u64,
        })
    }

    pub fn get(&self, idx: u64) -> Option<&Entry> {
        idx.checked_sub(self.base.idx + 1)
            .and_then(|i| self.entries.get(i as usize))
    }

    pub fn term_at(&self, idx: u64) -> Option<u64> {
        (idx == self.base.idx)
            .then_some(self.base.term)
            .or_else(|| self.get(idx).map(|e| e.term))
    }

    pub fn at(&self, idx: u64) -> Option<LogPosition> {
        self.term_at(idx).map(|term| LogPosition { term, idx })
    }

    /// Entries from `from` to `upto` at most, up to the first large one, and no
    /// more than fit into `room`.
    pub fn range(&self, from: u64, upto: u64, room: usize) -> Vec<Entry> {
        let start = from.saturating_sub(self.base.idx + 1) as usize;
        let end = (upto.saturating_sub(self.base.idx) as usize).min(self.entries.len());
        let mut room = room;
        self.entries
            .get(start..end)
            .unwrap_or(&[])
            .iter()
            .take_while(|entry| {
                let fits = !entry.large() && room >= entry.bytes();
                room = room.saturating_sub(entry.bytes());
                fits
            })
            .cloned()
            .collect()
    }

    /// Bytes of the entries after `idx`.
    pub fn bytes_after(&self, idx: u64) -> usize {
        let skip = idx.saturating_sub(self.base.idx) as usize;
        self.entries.iter().skip(skip).map(Entry::bytes).sum()
    }

    /// The first index to keep so that `upto` and the entries before it are no
    /// more than `count` and `bytes`.
    pub fn tail(&self, upto: u64, count: u64, bytes: usize) -> u64 {
        let mut from = upto;
        let mut room = bytes;
        while from > self.base.idx && upto - from < count {
            let size = self.get(from).map_or(0, Entry::bytes);
            if size > room {
                break;
            }
            room -= size;
            from -= 1;
        }
        from
    }

    pub fn push(&mut self, entries: Vec<Entry>) {
        let mut idx = self.last().idx;
        for e in entries {
            idx += 1;
            if let Body::Members(m) = &e.body {
                self.confs.push((idx, m.clone()));
            }
            self.entries.push(e);
        }
    }

    /// Drop `from` and everything after it.
    pub fn truncate_from(&mut self, from: u64) {
        let kept = from.saturating_sub(self.base.idx + 1) as usize;
        self.entries.truncate(kept);
        self.confs.retain(|(i, _)| *i < from);
    }

    pub fn members(&self) -> &[Member] {
        self.confs.last().map_or(&self.base_members, |(_, m)| m)
    }

    pub fn members_at(&self, idx: u64) -> &[Member] {
        self.confs
            .iter()
            .rev()
            .find(|(i, _)| *i <= idx)
            .map_or(&self.base_members, |(_, m)| m)
    }

    /// Index of the newest membership entry, or of the base.
    pub fn conf_idx(&self) -> u64 {
        self.confs.last().map_or(self.base.idx, |(i, _)| *i)
    }

    /// Forget the entries up to and with `upto`, which become the new base.
    pub fn compact(&mut self, upto: u64) {
        let Some(position) = self.at(upto) else {
            return;
        };
        let forgotten = (upto - self.base.idx) as usize;
        self.base_members = self.members_at(upto).to_vec();
        self.entries.drain(..forgotten);
        self.confs.retain(|(i, _)| *i > upto);
        self.base = position;
    }

    /// Begin anew at a snapshot.
    pub fn reset(&mut self, snap: &Snapshot) {
        *self = Log::from_parts(snap, Vec::new());
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
