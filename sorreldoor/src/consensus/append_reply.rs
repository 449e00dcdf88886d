//! Replies to appends: sent by the receiver, and handled by the sender to update
//! the progress of replicas.

use super::messages::{AppendReply, Msg, ReplicaProgress};
use super::node::Consensus;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::NodeId;

impl<M: StateMachine> Consensus<M> {
    /// Report the progress of this node and, as a Domain Leader, of its region;
    /// with a `conflict_hint` the reply rejects an append. Sent once synced.
    pub(super) fn send_append_reply(&mut self, to: NodeId, conflict_hint: Option<u64>) {
        let mut replicas = vec![ReplicaProgress {
            id: self.id,
            matched: self.verified_index,
            round: self.leader_round,
        }];
        if self.leads_domain() && !self.leads_globally() {
            replicas.extend(self.domain_progress());
        }
        let fast_returned = if self.leads_domain() {
            self.committed
        } else {
            0
        };
        let latencies = self.latencies.iter().map(|((_, r), l)| (*r, *l)).collect();
        let reply = AppendReply {
            term: self.hard_state.term,
            replicas,
            conflict_hint,
            fast_returned,
            latencies,
        };
        self.send_after_sync(to, Msg::AppendReply(reply));
    }

    /// Progress of the replicas in this Domain Leader's region.
    fn domain_progress(&self) -> Vec<ReplicaProgress> {
        let region = self.region();
        let members = self.log.members();
        self.progress
            .iter()
            .filter(|(id, _)| quorum::region_of(members, **id) == Some(region))
            .map(|(id, progress)| ReplicaProgress {
                id: *id,
                matched: progress.matched,
                round: progress.round,
            })
            .collect()
    }

    pub(super) fn handle_append_reply(&mut self, from: NodeId, reply: AppendReply) {
        if reply.term > self.hard_state.term {
            self.become_follower(reply.term, None);
            return;
        }
        let replicates = self.leads_globally() || self.leads_domain();
        // a reply of an older term says nothing about the log of this term
        if reply.term < self.hard_state.term || !replicates {
            return;
        }
        let advanced = self.update_progress(from, &reply.replicas);
        if let Some(hint) = reply.conflict_hint {
            self.retry_rejected_append(from, hint);
        }
        if self.role == Role::Leader {
            self.record_region_report(from, &reply);
        } else if let Some(leader) = self.global_leader.filter(|_| advanced) {
            self.send_append_reply(leader, None);
        }
        self.replicate();
    }

    /// Record the reported progress; returns whether any replica has advanced.
    fn update_progress(&mut self, from: NodeId, replicas: &[ReplicaProgress]) -> bool {
        let mut any_advanced = false;
        for replica in replicas.iter().filter(|r| r.id != self.id) {
            let progress = self.progress.entry(replica.id).or_default();
            let advanced = replica.matched > progress.matched || replica.round > progress.round;
            if advanced || replica.id == from {
                progress.last_contact_at = self.now;
            }
            any_advanced |= advanced;
            progress.round = progress.round.max(replica.round);
            progress.acknowledge(replica.matched);
        }
        any_advanced
    }

    fn retry_rejected_append(&mut self, to: NodeId, hint: u64) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        progress.decrease_next_index(hint);
        let since_sent = self.now.saturating_sub(progress.sent_at);
        // a replica that lost acknowledged entries rejects the same append each
        // time, so an identical one waits for `resend_interval` or a heartbeat
        if progress.probe_index != progress.next_index - 1
            || since_sent >= self.timing.resend_interval
        {
            self.send_append(to, false);
        }
    }

    /// As Global Leader: record what a reply reports on the sender's region.
    fn record_region_report(&mut self, from: NodeId, reply: &AppendReply) {
        let Some(region) = quorum::region_of(self.log.members(), from) else {
            return;
        };
        let returned = self.fast_returned.entry(region).or_default();
        *returned = (*returned).max(reply.fast_returned);
        let delays = reply.latencies.iter();
        self.latencies
            .extend(delays.map(|(other, delay)| ((region, *other), *delay)));
    }
}
