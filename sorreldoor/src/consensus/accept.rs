//! Taking the log from a leader, as entries or as a snapshot.

use super::node::{Consensus, Role};
use super::types::*;
use crate::types::*;

impl<M: StateMachine> Consensus<M> {
    pub(super) fn follow(&mut self, term: u64, gl: NodeId, round: u64) {
        if term > self.hard.term {
            self.take_term(term, Some(gl));
        }
        self.role = Role::Follower;
        let new = self.gl != Some(gl);
        self.gl = Some(gl);
        self.heard_gl = self.now;
        self.led_at = Some(self.now);
        self.suspect = false;
        self.round_from = self.round_from.max(round);
        self.reset_elect();
        self.elections_missed = 0;
        if new {
            for p in self.pending_proposals.keys().copied().collect::<Vec<_>>() {
                self.dispatch(p);
            }
            self.resend_looks();
        }
    }

    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        lead: (u64, NodeId, u64),
        prev: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
    ) {
        let (term, gl, round) = lead;
        if term < self.hard.term || (self.role == Role::Leader && term == self.hard.term) {
            self.tell(from, None);
            return;
        }
        self.follow(term, gl, round);
        let base = self.log.base();
        let skip = base.idx.saturating_sub(prev.idx).min(entries.len() as u64);
        let (prev, rest) = if prev.idx < base.idx {
            // what the snapshot covers is committed, so it needs no check
            (base, entries[skip as usize..].to_vec())
        } else {
            (prev, entries)
        };
        if self.log.term_at(prev.idx) != Some(prev.term) {
            let hint = self.fall_back(prev.idx);
            self.tell(from, Some(hint));
            return;
        }
        let upto = prev.idx + rest.len() as u64;
        if !self.append_after(prev.idx, rest) {
            return;
        }
        self.verified = self.verified.max(upto);
        self.tell(from, None);
        self.advance(commit.min(self.verified));
        self.replicate_in_domain(round > 0);
        self.try_fast();
    }

    /// Where the sender should go on from when its last append did not fit.
    pub(super) fn fall_back(&self, idx: u64) -> u64 {
        let last = self.log.last().idx;
        if idx > last {
            return last;
        }
        let t = self.log.term_at(idx);
        let mut i = idx;
        while i > self.commit && self.log.term_at(i) == t {
            i -= 1;
        }
        i
    }

    /// Append entries after index `at` and truncate what conflicts with them;
    /// false if that would take back a committed entry.
    fn append_after(&mut self, at: u64, entries: Vec<Entry>) -> bool {
        let first_new = entries
            .iter()
            .enumerate()
            .position(|(i, e)| self.log.term_at(at + 1 + i as u64) != Some(e.term));
        let Some(i) = first_new else { return true };
        let from = at + 1 + i as u64;
        if from <= self.commit {
            return false;
        }
        let last_change = self.log.conf_idx();
        self.log.truncate_from(from);
        let rest = entries[i..].to_vec();
        let changes_members = rest.iter().any(|e| matches!(e.body, Body::Members(_)));
        self.log.push(rest.clone());
        self.save(Save::Append {
            from,
            entries: rest,
            commit: self.commit,
        });
        if changes_members || last_change >= from {
            self.members_changed();
        }
        true
    }

    pub(super) fn on_install(&mut self, from: NodeId, lead: (u64, NodeId, u64), snap: Snapshot) {
        let (term, gl, round) = lead;
        if term < self.hard.term || (self.role == Role::Leader && term == self.hard.term) {
            self.tell(from, None);
            return;
        }
        self.follow(term, gl, round);
        let idx = snap.last.idx;
        if idx > self.commit {
            if !self.machine.load(&snap.image) {
                return;
            }
            let keep = self.log.term_at(idx) == Some(snap.last.term)
                || (self.timing.broken == Broken::InstallKeepsLog && idx <= self.log.last().idx);
            if keep {
                self.log.compact(idx);
            } else {
                self.log.reset(&snap);
            }
            self.save(Save::Snap {
                snap: snap.clone(),
                reset: !keep,
            });
            self.image = Some(snap);
            self.commit = idx;
            self.applied = idx;
            self.members_changed();
            self.out.push(Effect::Applied { upto: idx });
            self.settle_applied();
        }
        self.verified = self.verified.max(idx);
        self.tell(from, None);
    }
}
