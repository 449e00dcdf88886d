//! Application of committed entries, and the results for their proposers.

use super::entry::{Body, Entry};
use super::errors::ProposalError;
use super::event::Effect;
use super::messages::Msg;
use super::node::Consensus;
use super::pending::DeferredResult;
use super::quorum;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::{NodeId, ProposalId};
use std::sync::Arc;

impl<M: StateMachine> Consensus<M> {
    /// Advance the commit index to `index`, apply the entries up to there, and send
    /// the results for which this node is responsible.
    pub(super) fn commit_to(&mut self, index: u64) {
        if index <= self.committed {
            return;
        }
        self.committed = index.min(self.log.last().index);
        while self.applied < self.committed {
            let next = self.applied + 1;
            let Some(entry) = self.log.get(next).cloned() else {
                break;
            };
            self.applied = next;
            self.apply(next, &entry);
        }
        self.effects.push(Effect::Applied {
            index: self.applied,
        });
        self.release_applied_reads();
        self.compact();
    }

    fn apply(&mut self, index: u64, entry: &Entry) {
        let outcome = match &entry.body {
            Body::Noop => return,
            Body::Data(data) => self.state_machine.apply(index, entry.proposal_id, data),
            Body::Members(_) => Vec::new(),
        };
        self.uncommitted_proposals.remove(&entry.proposal_id);
        self.deliver_result(index, entry, Arc::new(outcome));
    }

    fn deliver_result(&mut self, index: u64, entry: &Entry, outcome: Arc<Vec<u8>>) {
        // entries that a leader appends by itself have no proposer
        if entry.proposal_id == 0 {
            return;
        }
        self.complete_proposal(entry.proposal_id, Ok(outcome.clone()));
        if entry.origin == self.id {
            return;
        }
        let (proposal_id, to) = (entry.proposal_id, entry.origin);
        let in_own_region = self.region_of(to) == Some(self.region());
        let is_leader = self.role == Role::Leader;
        if in_own_region && (is_leader || self.domain_role == Role::Leader) {
            self.send_result(to, proposal_id, outcome);
        } else if is_leader {
            // the Domain Leader of the proposer's region sends it by Fast Return
            let result = DeferredResult {
                since: self.now,
                proposal_id,
                to,
                outcome,
            };
            self.deferred_results.insert(index, result);
        }
    }

    pub(super) fn send_result(
        &mut self,
        to: NodeId,
        proposal_id: ProposalId,
        outcome: Arc<Vec<u8>>,
    ) {
        let result = Msg::ProposalResult {
            proposal_id,
            outcome,
        };
        self.send(to, result);
    }

    /// Send the deferred results that are overdue from Fast Return.
    pub(super) fn send_overdue_results(&mut self) {
        self.drop_fast_returned_results();
        let overdue: Vec<u64> = self
            .deferred_results
            .iter()
            .filter(|(_, result)| self.is_overdue(result))
            .map(|(index, _)| *index)
            .collect();
        for index in overdue {
            if let Some(result) = self.deferred_results.remove(&index) {
                self.send_result(result.to, result.proposal_id, result.outcome);
            }
        }
    }

    fn drop_fast_returned_results(&mut self) {
        let members = self.log.members();
        let fast_returned = &self.fast_returned;
        self.deferred_results.retain(|index, result| {
            let region = quorum::region_of(members, result.to);
            let returned = |r| fast_returned.get(&r).copied().unwrap_or(0);
            region.is_some_and(|r| returned(r) < *index)
        });
    }

    fn is_overdue(&self, result: &DeferredResult) -> bool {
        let region = self.region_of(result.to);
        !self.timing.fast_return
            || region.is_some_and(|r| self.unavailable_regions.contains(&r))
            || self.now.saturating_sub(result.since) >= self.timing.resend_interval
    }

    /// The outcome of a proposal that is applied on this node.
    pub(super) fn applied_outcome(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>> {
        self.state_machine.recorded_outcome(proposal_id)
    }

    /// End a proposal of this node's client, if it is pending.
    pub(super) fn complete_proposal(
        &mut self,
        proposal_id: ProposalId,
        outcome: Result<Arc<Vec<u8>>, ProposalError>,
    ) {
        if self.pending_proposals.remove(&proposal_id).is_some() {
            self.effects.push(Effect::ProposalResult {
                proposal_id,
                outcome,
            });
        }
    }
}
