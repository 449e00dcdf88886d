//! Proposals: forwarded with retries from the core that the client reached to the
//! Global Leader, which appends them.

use super::entry::{Body, Entry};
use super::errors::ProposalError;
use super::event::Effect;
use super::messages::Msg;
use super::node::Consensus;
use super::pending::PendingProposal;
use super::role::Role;
use super::state_machine::StateMachine;
use crate::types::{Millis, NodeId, ProposalId};

/// Assumed minimum throughput of a link, in bytes per millisecond.
const MIN_LINK_BYTES_PER_MS: Millis = 500;

impl<M: StateMachine> Consensus<M> {
    /// Accept a proposal of a client of this node. Dropped if the disk has failed or
    /// `max_pending` proposals are pending.
    pub(super) fn propose(&mut self, proposal_id: ProposalId, body: Body) {
        let full = self.pending_proposals.len() >= self.timing.max_pending;
        let outcome = match self.applied_outcome(proposal_id) {
            Some(outcome) => Ok(outcome),
            None if self.disk_failed || full => Err(ProposalError::Dropped),
            None => {
                self.enqueue_proposal(proposal_id, body);
                return;
            }
        };
        self.effects.push(Effect::ProposalResult {
            proposal_id,
            outcome,
        });
    }

    fn enqueue_proposal(&mut self, proposal_id: ProposalId, body: Body) {
        let pending = PendingProposal {
            body,
            since: self.now,
            sent_at: None,
        };
        self.pending_proposals.entry(proposal_id).or_insert(pending);
        self.forward_proposal(proposal_id);
    }

    /// Send a pending proposal to the Global Leader, if one is known.
    pub(super) fn forward_proposal(&mut self, proposal_id: ProposalId) {
        let Some(leader) = self.global_leader else {
            return;
        };
        let (now, origin) = (self.now, self.id);
        let Some(pending) = self.pending_proposals.get_mut(&proposal_id) else {
            return;
        };
        pending.sent_at = Some(now);
        let body = pending.body.clone();
        if leader == self.id {
            self.handle_propose(proposal_id, origin, body);
            return;
        }
        let message = Msg::Propose {
            proposal_id,
            origin,
            body,
        };
        self.send(leader, message);
    }

    /// As Global Leader: append the proposal, or send the outcome if it was applied
    /// before. Ignored while it can't be appended; the proposer retries.
    pub(super) fn handle_propose(&mut self, proposal_id: ProposalId, origin: NodeId, body: Body) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(outcome) = self.applied_outcome(proposal_id) {
            if origin == self.id {
                self.complete_proposal(proposal_id, Ok(outcome));
            } else {
                self.send_result(origin, proposal_id, outcome);
            }
            return;
        }
        let uncommitted = self.log.last().index.saturating_sub(self.committed);
        let full = uncommitted >= self.timing.max_pending as u64;
        // a retry must not append a second entry
        let in_log = self.uncommitted_proposals.contains_key(&proposal_id);
        if self.leader_transfer.is_some() || in_log || full {
            return;
        }
        let body = match body {
            Body::Members(next) => match self.removal_configuration(&next) {
                Some(members) => Body::Members(members),
                None => return,
            },
            other => other,
        };
        if let Some(region) = self.region_of(origin) {
            self.region_load.entry(region).or_default().writes += 1;
        }
        self.append(Entry {
            term: self.hard_state.term,
            proposal_id,
            origin,
            body,
        });
    }

    /// Resend the proposals without a result, and fail those that are older than
    /// twice `ack_ms`.
    pub(super) fn tick_proposals(&mut self) {
        let due: Vec<(ProposalId, Option<ProposalError>)> = self
            .pending_proposals
            .iter()
            .filter(|(_, pending)| self.resend_due(pending))
            .map(|(id, pending)| (*id, self.expiry(pending)))
            .collect();
        for (id, expired) in due {
            match expired {
                Some(error) => self.complete_proposal(id, Err(error)),
                None => self.forward_proposal(id),
            }
        }
    }

    fn resend_due(&self, pending: &PendingProposal) -> bool {
        // a large body takes longer to transmit, and may still be in flight when a small
        // one would be late
        let transmission = pending.body.bytes() as Millis / MIN_LINK_BYTES_PER_MS;
        let wait = self.timing.resend_interval * 2 + transmission;
        let sent_at = pending.sent_at;
        sent_at.is_none_or(|sent_at| self.now.saturating_sub(sent_at) >= wait)
    }

    /// The error for a proposal that has expired; `None` if it has not.
    fn expiry(&self, pending: &PendingProposal) -> Option<ProposalError> {
        if self.now.saturating_sub(pending.since) < self.timing.ack_ms * 2 {
            return None;
        }
        // a proposal that was never sent can't have been appended
        Some(match pending.sent_at {
            Some(_) => ProposalError::OutcomeUnknown,
            None => ProposalError::Dropped,
        })
    }
}
