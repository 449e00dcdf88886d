//! Log replication on the receiving side: appends and snapshots.

use super::entry::{Body, Entry, Snapshot};
use super::event::Effect;
use super::messages::{AppendRequest, Chunk};
use super::node::Consensus;
use super::role::Role;
use super::save::Save;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::types::NodeId;

/// The Global Leader on whose behalf a replication message was sent, by itself or
/// by a Domain Leader, and its heartbeat round.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderContact {
    pub term: u64,
    pub global_leader: NodeId,
    pub round: u64,
}

impl LeaderContact {
    pub fn of_chunk(chunk: &Chunk) -> LeaderContact {
        LeaderContact {
            term: chunk.term,
            global_leader: chunk.global_leader,
            round: chunk.round,
        }
    }
}

impl<M: StateMachine> Consensus<M> {
    /// Whether a replication message of `term` has to be rejected: the term is older,
    /// or this node itself is its Global Leader.
    pub(super) fn is_stale(&self, term: u64) -> bool {
        term < self.hard_state.term || (self.role == Role::Leader && term == self.hard_state.term)
    }

    /// Follow the leader of the current or a newer term, and resend pending
    /// proposals and reads to it if it is a new one.
    pub(super) fn accept_leader(&mut self, contact: LeaderContact) {
        let LeaderContact {
            term,
            global_leader,
            round,
        } = contact;
        if term > self.hard_state.term {
            self.become_follower(term, Some(global_leader));
        }
        self.role = Role::Follower;
        let is_new = self.global_leader != Some(global_leader);
        self.global_leader = Some(global_leader);
        self.leader_contact_at = self.now;
        self.leader_known_at = Some(self.now);
        self.leader_suspected = false;
        self.pre_votes_granted.clear();
        self.leader_round = self.leader_round.max(round);
        self.reset_election_deadline();
        self.missed_elections = 0;
        if is_new {
            for id in self.pending_proposals.keys().copied().collect::<Vec<_>>() {
                self.forward_proposal(id);
            }
            self.resend_read_index();
        }
    }

    pub(super) fn handle_append(&mut self, from: NodeId, request: AppendRequest) {
        if self.is_stale(request.term) {
            self.send_append_reply(from, None);
            return;
        }
        let AppendRequest {
            term,
            global_leader,
            prev,
            entries,
            commit,
            round,
        } = request;
        self.accept_leader(LeaderContact {
            term,
            global_leader,
            round,
        });
        let base = self.log.base();
        let skip = base
            .index
            .saturating_sub(prev.index)
            .min(entries.len() as u64);
        let (prev, entries) = if prev.index < base.index {
            // entries that the snapshot covers are committed, so they match
            (base, entries[skip as usize..].to_vec())
        } else {
            (prev, entries)
        };
        if self.log.term_at(prev.index) != Some(prev.term) {
            let hint = self.conflict_hint(prev.index);
            self.send_append_reply(from, Some(hint));
            return;
        }
        let last = prev.index + entries.len() as u64;
        if !self.append_entries_after(prev.index, entries) {
            return;
        }
        self.verified_index = self.verified_index.max(last);
        self.send_append_reply(from, None);
        self.commit_to(commit.min(self.verified_index));
        self.replicate_in_domain(round > 0);
        self.maybe_fast_return();
    }

    /// The index after which the sender of a rejected append should continue. It
    /// skips all entries of the conflicting term (thesis, section 3.5).
    pub(super) fn conflict_hint(&self, rejected: u64) -> u64 {
        let last = self.log.last().index;
        if rejected > last {
            return last;
        }
        let term = self.log.term_at(rejected);
        let mut index = rejected;
        while index > self.committed && self.log.term_at(index) == term {
            index -= 1;
        }
        index
    }

    /// Append entries after index `prev` and truncate conflicting ones; returns false
    /// without a change if that would remove a committed entry.
    fn append_entries_after(&mut self, prev: u64, entries: Vec<Entry>) -> bool {
        let first_new = entries
            .iter()
            .enumerate()
            .position(|(i, e)| self.log.term_at(prev + 1 + i as u64) != Some(e.term));
        let Some(i) = first_new else { return true };
        let from = prev + 1 + i as u64;
        if from <= self.committed {
            return false;
        }
        let last_change = self.log.last_configuration_index();
        self.log.truncate_from(from);
        let new = entries[i..].to_vec();
        let changes_members = new.iter().any(|e| matches!(e.body, Body::Members(_)));
        self.log.push(new.clone());
        self.save(Save::Append {
            from,
            entries: new,
            commit: self.committed,
        });
        if changes_members || last_change >= from {
            self.members_changed();
        }
        true
    }

    pub(super) fn handle_snapshot(
        &mut self,
        from: NodeId,
        contact: LeaderContact,
        snapshot: Snapshot,
    ) {
        if self.is_stale(contact.term) {
            self.send_append_reply(from, None);
            return;
        }
        self.accept_leader(contact);
        let index = snapshot.last.index;
        if index > self.committed && !self.install_snapshot(snapshot) {
            return;
        }
        self.verified_index = self.verified_index.max(index);
        self.send_append_reply(from, None);
    }

    /// Replace the state machine's state; returns false without a change if the image
    /// is invalid.
    fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        if !self.state_machine.load(&snapshot.image) {
            return false;
        }
        let last = snapshot.last;
        let fault = self.timing.injected_fault;
        // entries after the snapshot stay if they follow it
        let keep_log = self.log.term_at(last.index) == Some(last.term)
            || (fault == InjectedFault::KeepConflictingLog && last.index <= self.log.last().index);
        if keep_log {
            self.log.compact(last.index);
        } else {
            self.log.reset(&snapshot);
        }
        self.save(Save::Snapshot {
            snapshot: snapshot.clone(),
            discard_log: !keep_log,
        });
        self.snapshot = Some(snapshot);
        self.committed = last.index;
        self.applied = last.index;
        self.members_changed();
        self.effects.push(Effect::Applied { index: last.index });
        self.release_applied_reads();
        true
    }
}
