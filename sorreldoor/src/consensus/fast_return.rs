//! Fast Return (CD-Raft paper, section III-B): the Domain Leader of a proposer's
//! region commits and sends the result after one round trip between regions.

use super::messages::Msg;
use super::node::Consensus;
use super::pending::Confirmation;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::{NodeId, RegionId};
use std::collections::BTreeSet;

impl<M: StateMachine> Consensus<M> {
    /// As Global Leader: confirm new entries, which a majority of this region has, to
    /// the Domain Leaders of the regions that proposed them.
    pub(super) fn send_confirmations(&mut self) {
        let index = self.in_domain_commit_index();
        if index <= self.confirmed_index || !self.timing.fast_return {
            return;
        }
        let holders: Vec<NodeId> = self
            .region_voters(self.region())
            .into_iter()
            .filter(|id| self.matched_index(*id) >= index)
            .collect();
        let first = self.confirmed_index.max(self.log.base().index) + 1;
        let regions = self.other_proposing_regions(first, index);
        self.confirmed_index = index;
        let term = self.hard_state.term;
        let receivers: Vec<NodeId> = regions
            .iter()
            .filter_map(|region| self.domain_leaders.get(region).map(|leader| leader.id))
            .collect();
        for to in receivers {
            let confirm = Msg::Confirm {
                term,
                index,
                holders: holders.clone(),
            };
            self.send(to, confirm);
        }
    }

    /// The other regions whose cores proposed any of the entries `first` to `last`.
    fn other_proposing_regions(&self, first: u64, last: u64) -> BTreeSet<RegionId> {
        let own = self.region();
        let members = self.log.members();
        (first..=last)
            .filter_map(|index| self.log.get(index))
            .filter(|entry| entry.proposal_id != 0)
            .filter_map(|entry| quorum::region_of(members, entry.origin))
            .filter(|region| *region != own)
            .collect()
    }

    pub(super) fn handle_confirm(&mut self, term: u64, confirmation: Confirmation) {
        // a confirmation of another term's leader is not valid for this log
        if term != self.hard_state.term || self.role == Role::Leader {
            return;
        }
        let known = self.confirmation.as_ref();
        if known.is_none_or(|known| confirmation.index > known.index) {
            self.confirmation = Some(confirmation);
        }
        self.maybe_fast_return();
    }

    /// As Domain Leader: commit the entries of this term that majorities of the
    /// leader's region, of this region and of all voters have, without waiting for
    /// the Global Leader's commit index.
    pub(super) fn maybe_fast_return(&mut self) {
        if self.domain_role != Role::Leader || self.role == Role::Leader {
            return;
        }
        let Some(confirmation) = self.confirmation.clone() else {
            return;
        };
        let own_voters = self.region_voters(self.region());
        let own_index = quorum::majority_index(&own_voters, |id| self.matched_index(id));
        let index = confirmation.index.min(own_index);
        if index <= self.committed || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        if self.proves_commit(&confirmation, index) {
            self.commit_to(index);
            if let Some(leader) = self.global_leader {
                self.send_append_reply(leader, None);
            }
        }
    }

    /// Whether the confirmation and the progress of this region's voters together
    /// show that `index` is committed.
    fn proves_commit(&self, confirmation: &Confirmation, index: u64) -> bool {
        let holders = &confirmation.holders;
        let leader_region = self.leader_region();
        let leader_voters = leader_region.map_or(Vec::new(), |r| self.region_voters(r));
        let has_entry = |id: NodeId| {
            holders.contains(&id)
                || (!leader_voters.contains(&id) && self.matched_index(id) >= index)
        };
        leader_region != Some(self.region())
            && quorum::has_majority(&leader_voters, |id| holders.contains(&id))
            && self.quorum().is_reached(has_entry)
    }
}
