//! Durable writes, and the messages that are deferred until these are synced.
//!
//! A node that grants a vote or acknowledges entries must have synced them
//! first (thesis, section 3.8). Saves are asynchronous, so such messages are
//! deferred until all saves issued before them are synced.

use super::errors::ProposalError;
use super::event::{Effect, StateChange, StepDownReason};
use super::messages::Msg;
use super::node::Consensus;
use super::pending::{DeferredMessage, UnsyncedSave};
use super::role::Role;
use super::save::Save;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::types::{NodeId, ProposalId};

impl<M: StateMachine> Consensus<M> {
    pub(super) fn report(&mut self, change: StateChange) {
        self.effects.push(Effect::StateChanged(change));
    }

    pub(super) fn save(&mut self, save: Save) {
        self.save_seq += 1;
        // from this index on, this node's log doesn't count as replicated
        let from_index = match &save {
            Save::Append { from, .. } => *from,
            Save::Snapshot {
                discard_log: true, ..
            } => 1,
            _ => 0,
        };
        self.unsynced_saves.push_back(UnsyncedSave {
            seq: self.save_seq,
            since: self.now,
            from_index,
        });
        self.effects.push(Effect::Save {
            seq: self.save_seq,
            save,
        });
    }

    /// Issue a save that isn't part of the log, such as claims. Returns its number,
    /// for [`Event::Saved`](super::Event::Saved), and the effects to carry out.
    pub fn save_outside_log(&mut self, save: Save) -> (u64, Vec<Effect>) {
        self.save(save);
        (self.save_seq, std::mem::take(&mut self.effects))
    }

    /// The number of the last save that is not synced yet.
    pub fn last_unsynced_save(&self) -> Option<u64> {
        self.unsynced_saves.back().map(|save| save.seq)
    }

    pub(super) fn save_hard_state(&mut self) {
        self.hard_state.committed = self.committed;
        let hard_state = self.hard_state.clone();
        self.save(Save::HardState(hard_state));
    }

    /// Send at once. For messages that don't depend on a save of this node.
    pub(super) fn send(&mut self, to: NodeId, msg: Msg) {
        self.effects.push(Effect::Send { to, msg });
    }

    /// Send once every save issued so far is synced.
    pub(super) fn send_after_sync(&mut self, to: NodeId, msg: Msg) {
        let fault = self.timing.injected_fault;
        if self.unsynced_saves.is_empty() || fault == InjectedFault::SendBeforeSync {
            self.send(to, msg);
            return;
        }
        self.deferred_messages.push_back(DeferredMessage {
            after_seq: self.save_seq,
            to,
            msg,
        });
    }

    pub(super) fn handle_saved(&mut self, seq: u64) {
        self.synced_seq = self.synced_seq.max(seq);
        while self.unsynced_saves.front().is_some_and(|s| s.seq <= seq) {
            self.unsynced_saves.pop_front();
        }
        while self
            .deferred_messages
            .front()
            .is_some_and(|m| m.after_seq <= seq)
        {
            if let Some(DeferredMessage { to, msg, .. }) = self.deferred_messages.pop_front() {
                self.send(to, msg);
            }
        }
        // a Domain Leader's own sync may complete a Fast Return; the Global Leader
        // gets it from the deferred messages, which have just been sent
        if self.role != Role::Leader && self.domain_role == Role::Leader {
            self.maybe_fast_return();
        }
        self.replicate();
        self.advance_elections();
    }

    /// Step down and fail all pending operations, as this node can't acknowledge
    /// anything until the save is retried with success.
    pub(super) fn handle_save_failed(&mut self) {
        self.disk_failed = true;
        self.deferred_messages.clear();
        self.report(StateChange::DiskFailed);
        self.step_down(StepDownReason::DiskFailed);
        self.domain_role = Role::Follower;
        let pending: Vec<ProposalId> = self.pending_proposals.keys().copied().collect();
        for id in pending {
            self.complete_proposal(id, Err(ProposalError::OutcomeUnknown));
        }
        for (request_id, _) in std::mem::take(&mut self.pending_reads) {
            self.effects.push(Effect::ReadResult {
                request_id,
                ok: false,
            });
        }
    }

    /// Participate again, as a follower without a leader. Since the failure no
    /// message was handled, so the state in memory is still the one that was passed
    /// to the store.
    pub(super) fn handle_save_recovered(&mut self) {
        self.disk_failed = false;
        self.global_leader = None;
        self.reset_election_deadline();
        self.reset_domain_election_deadline();
    }

    /// The highest index up to which this node's log is synced.
    pub(super) fn synced_index(&self) -> u64 {
        self.unsynced_saves
            .iter()
            .filter(|save| save.from_index > 0)
            .map(|save| save.from_index - 1)
            .min()
            .unwrap_or(u64::MAX)
            .min(self.log.last().index)
    }

    /// Whether the last save failed, or one is not synced within
    /// `disk_stall_timeout`.
    pub(super) fn disk_stalled(&self) -> bool {
        let oldest = self.unsynced_saves.front();
        let limit = self.timing.disk_stall_timeout;
        let overdue = oldest.is_some_and(|save| self.now.saturating_sub(save.since) > limit);
        self.disk_failed || overdue
    }
}
