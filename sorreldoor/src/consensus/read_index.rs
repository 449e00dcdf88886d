//! Linearizable reads by read index (thesis, section 6.4).
//!
//! The read index is the Global Leader's in-domain commit index, so that a read
//! includes every write that Fast Return has already answered. The leader sends
//! it after a majority of all voters has echoed a round of heartbeats, which
//! confirms its leadership.

use super::event::Effect;
use super::messages::Msg;
use super::node::Consensus;
use super::pending::{PendingRead, PendingReadIndex};
use super::role::Role;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::types::NodeId;

impl<M: StateMachine> Consensus<M> {
    /// Accept a read of a client of this node. It fails at once if the disk has
    /// failed or `max_pending` reads are pending.
    pub(super) fn read_index(&mut self, request_id: u64) {
        if self.disk_failed || self.pending_reads.len() >= self.timing.max_pending {
            self.effects.push(Effect::ReadResult {
                request_id,
                ok: false,
            });
            return;
        }
        let read = PendingRead {
            since: self.now,
            sent_at: None,
            index: None,
        };
        self.pending_reads.insert(request_id, read);
        self.send_read_index(request_id);
    }

    fn send_read_index(&mut self, request_id: u64) {
        let Some(leader) = self.global_leader else {
            return;
        };
        if let Some(read) = self.pending_reads.get_mut(&request_id) {
            read.sent_at = Some(self.now);
        }
        if leader == self.id {
            self.handle_read_index_request(leader, request_id);
        } else {
            self.send(leader, Msg::ReadIndexRequest { request_id });
        }
    }

    pub(super) fn handle_read_index_request(&mut self, from: NodeId, request_id: u64) {
        // the commit index is current only once this term has committed
        let current = self.log.term_at(self.committed) == Some(self.hard_state.term);
        if self.role != Role::Leader || !current {
            return;
        }
        if let Some(region) = self.region_of(from) {
            self.region_load.entry(region).or_default().reads += 1;
        }
        let index = self.in_domain_commit_index();
        if self.timing.injected_fault == InjectedFault::SkipReadProof {
            self.respond_read_index(from, request_id, index);
            return;
        }
        let round = self.read_round();
        self.read_index_queue.push_back(PendingReadIndex {
            from,
            request_id,
            index,
            round,
        });
        self.advance_read_index();
    }

    /// The round of heartbeats that confirms the leadership for a read that arrives
    /// now. It has to be sent after the read arrived.
    fn read_round(&mut self) -> u64 {
        let batch_interval = self.timing.read_batch_interval;
        if batch_interval == 0 {
            self.broadcast_heartbeat();
            return self.heartbeat_round;
        }
        let batch_end = self.last_heartbeat_at + batch_interval;
        self.next_heartbeat_at = self.next_heartbeat_at.min(batch_end);
        self.heartbeat_round + 1
    }

    /// Answer the reads whose heartbeat round a majority of all voters has echoed.
    pub(super) fn advance_read_index(&mut self) {
        let quorum = self.quorum();
        while let Some(read) = self.read_index_queue.front().cloned() {
            let round_echoed = quorum.is_reached(|id| {
                let progress = self.progress.get(&id);
                id == self.id || progress.is_some_and(|p| p.round >= read.round)
            });
            if !round_echoed {
                break;
            }
            self.read_index_queue.pop_front();
            self.respond_read_index(read.from, read.request_id, read.index);
        }
    }

    fn respond_read_index(&mut self, to: NodeId, request_id: u64, index: u64) {
        if to == self.id {
            self.handle_read_index_reply(request_id, index);
        } else {
            self.send(to, Msg::ReadIndexReply { request_id, index });
        }
    }

    pub(super) fn handle_read_index_reply(&mut self, request_id: u64, index: u64) {
        if let Some(read) = self.pending_reads.get_mut(&request_id) {
            read.index.get_or_insert(index);
        }
        self.release_applied_reads();
    }

    /// End the reads whose read index is applied here with success.
    pub(super) fn release_applied_reads(&mut self) {
        let applied = self.applied;
        self.end_reads(true, |read| {
            read.index.is_some_and(|index| index <= applied)
        });
    }

    /// End the reads that satisfy `condition` with the result `ok`.
    fn end_reads(&mut self, ok: bool, condition: impl Fn(&PendingRead) -> bool) {
        for request_id in self.reads_where(condition) {
            self.pending_reads.remove(&request_id);
            self.effects.push(Effect::ReadResult { request_id, ok });
        }
    }

    fn reads_where(&self, condition: impl Fn(&PendingRead) -> bool) -> Vec<u64> {
        let matching = self.pending_reads.iter().filter(|(_, r)| condition(r));
        matching.map(|(request_id, _)| *request_id).collect()
    }

    /// Fail the reads that have timed out, so that their clients try another core,
    /// and resend the requests without a reply.
    pub(super) fn tick_reads(&mut self) {
        let now = self.now;
        let (timeout, resend) = (self.timing.read_timeout, self.timing.resend_interval);
        self.end_reads(false, |read| now.saturating_sub(read.since) >= timeout);
        let overdue = self.reads_where(|read| {
            let sent_at = read.sent_at;
            read.index.is_none() && sent_at.is_none_or(|t| now.saturating_sub(t) >= resend)
        });
        for request_id in overdue {
            self.send_read_index(request_id);
        }
    }

    /// Request from a new leader the read indexes that its predecessor has not
    /// sent.
    pub(super) fn resend_read_index(&mut self) {
        for request_id in self.reads_where(|read| read.index.is_none()) {
            self.send_read_index(request_id);
        }
    }
}
