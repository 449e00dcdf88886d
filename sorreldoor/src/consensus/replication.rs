//! Log replication on the sending side: the Global Leader sends to its own
//! region and to the other Domain Leaders, which relay to their regions (CD-Raft
//! paper, section III-B).

use super::entry::{Entry, LogPosition};
use super::event::Effect;
use super::follower::LeaderContact;
use super::messages::{AppendRequest, Msg};
use super::node::Consensus;
use super::progress::Progress;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::types::{Millis, NodeId};

/// Maximum bytes of entries in flight to one member.
const APPEND_WINDOW_BYTES: usize = 64 * 1024;

impl<M: StateMachine> Consensus<M> {
    /// Adapt to a change of the newest configuration by an append, a truncation
    /// or a snapshot. A configuration takes effect once it is in the log,
    /// committed or not (thesis, section 4.1).
    pub(super) fn members_changed(&mut self) {
        let members = self.log.members().to_vec();
        let (next_index, now) = (self.log.last().index, self.now);
        let is_member = |id: NodeId| members.iter().any(|m| m.id == id);
        if self.role == Role::Leader {
            self.progress.retain(|id, _| is_member(*id));
            for member in members.iter().filter(|m| m.id != self.id) {
                self.progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::active_from(next_index, now));
            }
        }
        let regions = quorum::regions(&members);
        self.domain_leaders
            .retain(|region, leader| regions.contains(region) && is_member(leader.id));
        self.unavailable_regions.retain(|r| regions.contains(r));
        self.effects.push(Effect::MembersChanged(members));
    }

    /// The members to which the Global Leader sends directly: those of its own
    /// region, the other Domain Leaders, and all members of regions without a
    /// live Domain Leader.
    fn replication_targets(&self) -> Vec<NodeId> {
        let own = self.region();
        let live = self.now.saturating_sub(self.relay_timeout());
        let members = self.log.members();
        let relay = |region| {
            self.domain_leaders.get(&region).filter(|leader| {
                region != own
                    && leader.last_contact_at >= live
                    && members.iter().any(|m| m.id == leader.id)
            })
        };
        members
            .iter()
            .filter(|m| m.id != self.id)
            .filter(|m| relay(m.region).is_none_or(|leader| leader.id == m.id))
            .map(|m| m.id)
            .collect()
    }

    /// Time without a heartbeat after which a Domain Leader is no longer used as a
    /// relay: short enough for its region to acknowledge a direct append before
    /// this leader steps down for lack of a quorum.
    fn relay_timeout(&self) -> Millis {
        if self.timing.injected_fault == InjectedFault::KeepSilentRelay {
            return self.timing.region_timeout;
        }
        self.timing.region_timeout * 2 / 3
    }

    /// Start a new round of heartbeats. Its echo by a majority confirms the
    /// leadership for pending reads.
    pub(super) fn broadcast_heartbeat(&mut self) {
        self.heartbeat_round += 1;
        self.last_heartbeat_at = self.now;
        self.next_heartbeat_at = self.now + self.timing.heartbeat_interval;
        for to in self.replication_targets() {
            self.send_append(to, true);
        }
    }

    /// The leader and the round to put into replication messages: this node's own
    /// as Global Leader, otherwise those of the leader that it relays for.
    pub(super) fn sender_contact(&self) -> LeaderContact {
        let (global_leader, round) = if self.role == Role::Leader {
            (self.id, self.heartbeat_round)
        } else {
            (self.global_leader.unwrap_or(0), self.leader_round)
        };
        LeaderContact {
            term: self.hard_state.term,
            global_leader,
            round,
        }
    }

    /// The last index that this node may send. A Domain Leader relays only what
    /// is known to match the Global Leader's log.
    fn last_sendable_index(&self) -> u64 {
        if self.role == Role::Leader {
            self.log.last().index
        } else {
            self.verified_index
        }
    }

    /// Send the entries that a member lacks, as far as the window allows. If
    /// `heartbeat`, an append is sent even if it is empty.
    pub(super) fn send_append(&mut self, to: NodeId, heartbeat: bool) {
        let last = self.last_sendable_index();
        let progress = self
            .progress
            .entry(to)
            .or_insert_with(|| Progress::starting_at(last + 1));
        if progress.transfer.is_some() {
            self.send_chunks(to, heartbeat);
            return;
        }
        progress.next_index = progress.next_index.min(last + 1).max(1);
        let next = progress.next_index;
        if next > last && !heartbeat {
            return;
        }
        let Some(prev) = self.log.at(next - 1) else {
            // the entries before `next` are compacted
            self.begin_snapshot_transfer(to);
            self.send_chunks(to, heartbeat);
            return;
        };
        let large = self.log.get(next).filter(|e| next <= last && e.is_large());
        if let Some(entry) = large.cloned() {
            progress.probe_index = prev.index;
            progress.sent_at = self.now;
            self.begin_entry_transfer(to, prev, &entry);
            self.send_chunks(to, heartbeat);
            return;
        }
        let window = APPEND_WINDOW_BYTES.saturating_sub(progress.bytes_in_flight());
        let entries = self.log.range(next, last, window);
        if !entries.is_empty() || heartbeat {
            self.send_entries(to, prev, entries);
        }
    }

    fn send_entries(&mut self, to: NodeId, prev: LogPosition, entries: Vec<Entry>) {
        let commit = self.committed.min(self.last_sendable_index());
        let contact = self.sender_contact();
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.next_index = prev.index + 1 + entries.len() as u64;
            if !entries.is_empty() {
                let bytes = entries.iter().map(Entry::bytes).sum();
                progress.record_append(progress.next_index - 1, bytes);
            }
            progress.sent_at = self.now;
            progress.probe_index = prev.index;
        }
        let request = AppendRequest {
            term: contact.term,
            global_leader: contact.global_leader,
            prev,
            entries,
            commit,
            round: contact.round,
        };
        self.send(to, Msg::Append(request));
    }

    /// Send new entries to the members that lack them, then advance the commit
    /// index and answer the reads whose leadership is confirmed.
    pub(super) fn replicate(&mut self) {
        if self.role == Role::Leader {
            for to in self.replication_targets() {
                self.send_append(to, false);
            }
            self.maybe_commit();
            self.advance_read_index();
        } else if self.domain_role == Role::Leader {
            self.replicate_in_domain(false);
            self.maybe_fast_return();
        }
    }

    /// As Domain Leader: relay the Global Leader's entries to the region.
    pub(super) fn replicate_in_domain(&mut self, heartbeat: bool) {
        if !self.relays_to_region() {
            return;
        }
        let region = self.region();
        let receivers: Vec<NodeId> = self
            .log
            .members()
            .iter()
            .filter(|m| m.region == region && m.id != self.id)
            .map(|m| m.id)
            .collect();
        for to in receivers {
            self.send_append(to, heartbeat);
        }
    }

    /// Whether this node is a Domain Leader that follows a live Global Leader of
    /// another region. The Global Leader sends to its own region directly.
    fn relays_to_region(&self) -> bool {
        let silence = self.now.saturating_sub(self.leader_contact_at);
        self.domain_role == Role::Leader
            && self.global_leader.is_some_and(|leader| leader != self.id)
            && silence < self.timing.election_timeout
            && self.verified_index > 0
            && self.leader_region() != Some(self.region())
    }
}
