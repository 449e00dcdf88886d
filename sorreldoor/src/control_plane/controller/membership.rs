//! Membership: the leader's changes, an operator's removal of a core, and the
//! stop of this process.

use super::Controller;
use crate::consensus::{Body, Event, Member};
use crate::control_plane::connections::LIVE_MS;
use crate::control_plane::events::{ControllerEffect, Requester};
use crate::control_plane::membership::{Health, Observed};
use crate::log_events::LogEvent;
use crate::types::{NodeId, ProposalId};
use crate::wire::{Payload, ProposalOutcome};

impl Controller {
    /// As leader, begin the membership change that is due.
    pub(super) fn check_membership(&mut self) {
        if !self.membership.begin_check(self.now) {
            return;
        }
        let Some(consensus) = &self.consensus else {
            return;
        };
        if !consensus.leads_globally() || !consensus.has_stable_membership() || self.leaving {
            return;
        }
        let members = consensus.members().to_vec();
        let others = members.iter().filter(|member| member.id != self.me.id);
        let health = others.map(|member| (member.id, self.health_of(member.id)));
        let since = self.now.saturating_sub(LIVE_MS);
        let observed = Observed {
            leader: self.me.id,
            members: &members,
            health: health.collect(),
            live: &self.connections.newest_core_by_address(since),
        };
        if let Some(change) = self.membership.decide(&observed) {
            self.log_event(LogEvent::MembershipChangeStarted, change.to_string());
            self.step_consensus(Event::Reconfigure(change.applied(&members)));
        }
    }

    fn health_of(&self, id: NodeId) -> Health {
        let consensus = self.consensus.as_ref();
        Health {
            silent_ms: consensus.and_then(|c| c.silence_of(id)).unwrap_or(0),
            caught_up: consensus.is_some_and(|c| c.caught_up(id)),
        }
    }

    /// This process was told to stop: the other cores are notified at once,
    /// and a leader hands over.
    pub(super) fn stop(&mut self) {
        self.leaving = true;
        self.me.stopping = true;
        for conn in self.connections.to_cores() {
            let hello = self.me.clone();
            self.send(conn, Payload::Hello(hello));
        }
        self.step_consensus(Event::Stop);
    }

    /// An operator removes a core by id, without waiting for a replacement.
    pub(super) fn remove_core(&mut self, request_id: u64, proposal_id: ProposalId, core: NodeId) {
        let rest = self.members().iter().filter(|member| member.id != core);
        let rest: Vec<Member> = rest.cloned().collect();
        if rest.is_empty() || core == self.me.id {
            self.out.push(ControllerEffect::ChangeDone {
                request_id,
                outcome: ProposalOutcome::Rejected,
            });
            return;
        }
        let requester = Requester::Http { request_id };
        self.proposals.wait(proposal_id, requester);
        let body = Body::Members(rest);
        self.step_consensus(Event::Propose { proposal_id, body });
    }
}
