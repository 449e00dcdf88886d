//! The commit index of the Global Leader.
//!
//! An entry of the current term is committed once a majority of all voters has
//! it, as in Raft (thesis, section 3.6.2). In addition, the region rules of the
//! CD-Raft paper (section III-C) require a majority in the leader's region and
//! in one other region. They add disaster tolerance, not safety, so they are
//! waived for a region that is unavailable and for entries that have waited
//! for `region_rule_timeout`.

use super::event::StateChange;
use super::node::Consensus;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::types::{NodeId, RegionId};

impl<M: StateMachine> Consensus<M> {
    /// Highest index up to which the log of `id` is synced and known to match
    /// the Global Leader's log of this term; zero if unknown.
    pub(super) fn matched_index(&self, id: NodeId) -> u64 {
        if id != self.id {
            return self.progress.get(&id).map_or(0, |p| p.matched);
        }
        if self.role == Role::Leader {
            self.synced_index()
        } else {
            self.synced_index().min(self.verified_index)
        }
    }

    /// Highest index that a majority of the region's voters has synced.
    fn region_majority_index(&self, region: RegionId) -> u64 {
        quorum::majority_index(&self.region_voters(region), |id| self.matched_index(id))
    }

    /// Whether a majority of the region's voters, counting this node, was in contact
    /// with this leader within `region_timeout`.
    pub(super) fn region_available(&self, region: RegionId) -> bool {
        let live = self.now.saturating_sub(self.timing.region_timeout);
        quorum::has_majority(&self.region_voters(region), |id| {
            let progress = self.progress.get(&id);
            id == self.id || progress.is_some_and(|p| p.last_contact_at >= live)
        })
    }

    pub(super) fn update_region_availability(&mut self) {
        for region in quorum::regions(self.log.members()) {
            if self.region_available(region) {
                if self.unavailable_regions.remove(&region) {
                    self.report(StateChange::RegionAvailable { region });
                }
            } else if self.unavailable_regions.insert(region) {
                self.report(StateChange::RegionUnavailable { region });
            }
        }
    }

    /// The in-domain commit index of the CD-Raft paper, section III-B: the
    /// highest index of this term that a majority of the Global Leader's region
    /// has. The commit index if that is higher, or if the region is unavailable.
    pub(super) fn in_domain_commit_index(&self) -> u64 {
        let region = self.region();
        let index = self.region_majority_index(region);
        let of_this_term = self.log.term_at(index) == Some(self.hard_state.term);
        if of_this_term && self.region_available(region) {
            index.max(self.committed)
        } else {
            self.committed
        }
    }

    /// Advance the commit index as far as the majority of all voters and the
    /// region rules allow, then send the confirmations for Fast Return.
    pub(super) fn maybe_commit(&mut self) {
        let index = self.voter_majority_index().min(self.region_rules_index());
        if index > self.committed && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_to(index);
            while self.appended_at.front().is_some_and(|(i, _)| *i <= index) {
                self.appended_at.pop_front();
            }
        }
        self.send_confirmations();
    }

    /// Highest index that a majority of all voters has. This rule ensures safety
    /// and is never waived.
    fn voter_majority_index(&self) -> u64 {
        if self.timing.injected_fault == InjectedFault::SkipVoterMajority {
            return self.region_majority_index(self.region()).max(1);
        }
        self.quorum().committed_index(|id| self.matched_index(id))
    }

    /// Highest index that the region rules allow to commit; `u64::MAX` if they are
    /// waived.
    fn region_rules_index(&self) -> u64 {
        let own = self.region();
        let mut others = quorum::regions(self.log.members());
        others.remove(&own);
        let others_index = others.iter().map(|r| self.region_majority_index(*r)).max();
        let waived = self.waived_index();
        let own_limit = if self.region_available(own) {
            self.region_majority_index(own).max(waived)
        } else {
            u64::MAX
        };
        let others_limit = if others.iter().any(|r| self.region_available(*r)) {
            others_index.unwrap_or(0).max(waived)
        } else {
            u64::MAX
        };
        own_limit.min(others_limit)
    }

    /// Highest index appended at least `region_rule_timeout` ago, for which the
    /// region rules are waived; zero if there is none.
    fn waived_index(&self) -> u64 {
        let limit = self.now.saturating_sub(self.timing.region_rule_timeout);
        self.appended_at
            .iter()
            .take_while(|(_, appended_at)| *appended_at <= limit)
            .last()
            .map_or(0, |(index, _)| *index)
    }
}
