//! Leadership transfer (thesis, section 3.10): to the region with the lowest total
//! latency, or before a shutdown to a voter that has caught up.

use super::event::StateChange;
use super::leader_position::{best_region, LatencyModel, RegionLoad};
use super::messages::Msg;
use super::node::Consensus;
use super::pending::LeaderTransfer;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::{NodeId, RegionId};

impl<M: StateMachine> Consensus<M> {
    /// Whether this node may become a Global or Domain Leader.
    pub(super) fn promotable(&self) -> bool {
        self.is_voter() && !self.stopping && !self.disk_stalled()
    }

    pub(super) fn handle_stop(&mut self) {
        self.stopping = true;
        if self.role == Role::Leader && self.leader_transfer.is_none() {
            self.transfer_leader_before_stop();
        }
    }

    /// Continue a transfer, or begin one if a shutdown or the placement interval
    /// requires it.
    pub(super) fn tick_leader_transfer(&mut self) {
        if let Some(transfer) = self.leader_transfer {
            self.continue_leader_transfer(transfer);
        } else if self.stopping {
            self.transfer_leader_before_stop();
        } else if self.now >= self.next_placement_at {
            self.next_placement_at = self.now + self.timing.placement_interval;
            self.reconsider_placement();
        }
    }

    /// Transfer the leadership to the Domain Leader of the best region, or of this
    /// region if no other is better.
    fn reconsider_placement(&mut self) {
        let own = self.region();
        let region = self.better_region().unwrap_or(own);
        for load in self.region_load.values_mut() {
            *load = RegionLoad {
                reads: load.reads / 2,
                writes: load.writes / 2,
            };
        }
        let domain_leader = self.domain_leaders.get(&region).filter(|leader| {
            let silence = self.now.saturating_sub(leader.last_contact_at);
            leader.id != self.id && silence < self.timing.region_timeout
        });
        if let Some(id) = domain_leader.map(|leader| leader.id) {
            self.transfer_leader(id);
        }
    }

    /// The region to which moving the leadership reduces the total latency by more
    /// than `min_placement_gain_percent`.
    fn better_region(&self) -> Option<RegionId> {
        let regions: Vec<RegionId> = quorum::regions(self.log.members()).into_iter().collect();
        let available: Vec<RegionId> = regions
            .iter()
            .copied()
            .filter(|region| self.region_available(*region))
            .collect();
        let model = LatencyModel {
            load: &self.region_load,
            latencies: &self.latencies,
            available: &available,
            regions: &regions,
        };
        best_region(
            &model,
            self.region(),
            self.timing.min_placement_gain_percent,
        )
    }

    /// Begin a transfer. Until it ends, no proposals are appended, so that the
    /// target's log catches up; proposers retry.
    fn transfer_leader(&mut self, to: NodeId) {
        let transfer = LeaderTransfer {
            to,
            since: self.now,
        };
        self.leader_transfer = Some(transfer);
        self.report(StateChange::TransferringLeadership { to });
        self.continue_leader_transfer(transfer);
    }

    /// Send `TimeoutNow` once the target has the whole log and all of it is
    /// committed; cancel the transfer after two election timeouts.
    fn continue_leader_transfer(&mut self, transfer: LeaderTransfer) {
        let last = self.log.last().index;
        let elapsed = self.now.saturating_sub(transfer.since);
        if elapsed > self.timing.election_timeout * 2 {
            self.leader_transfer = None;
        } else if self.matched_index(transfer.to) == last && self.committed == last {
            let term = self.hard_state.term;
            self.send(transfer.to, Msg::TimeoutNow { term });
        }
    }

    /// Transfer the leadership to a voter that has caught up: preferably a Domain
    /// Leader, then the one with the most recent contact.
    fn transfer_leader_before_stop(&mut self) {
        let live = self.now.saturating_sub(self.timing.region_timeout);
        let is_domain_leader = |id| self.domain_leaders.values().any(|leader| leader.id == id);
        let next = self
            .log
            .members()
            .iter()
            .filter(|m| m.voter && m.id != self.id && self.caught_up(m.id))
            .filter_map(|m| self.progress.get(&m.id).map(|p| (m.id, p.last_contact_at)))
            .filter(|(_, contact_at)| *contact_at >= live)
            .max_by_key(|(id, contact_at)| (is_domain_leader(*id), *contact_at, *id));
        if let Some((id, _)) = next {
            self.transfer_leader(id);
        }
    }

    /// The leader transfers its leadership to this node: campaign without a
    /// pre-vote.
    pub(super) fn handle_timeout_now(&mut self, term: u64) {
        if term == self.hard_state.term && self.role != Role::Leader && self.promotable() {
            self.become_candidate();
            self.advance_elections();
        }
    }
}
