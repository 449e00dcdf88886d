//! Membership: the leader's automatic changes, an operator's removal of a core,
//! and the shutdown of this process.

use super::Controller;
use crate::consensus::{Body, Event, Member};
use crate::control_plane::connections::LIVE_TIMEOUT_MS;
use crate::control_plane::events::{ControllerEffect, Requester};
use crate::control_plane::membership::{Health, Observation};
use crate::control_plane::proposals::ChangeSubject;
use crate::log_events::LogEvent;
use crate::types::{NodeId, ProposalId};
use crate::wire::{Payload, ProposalOutcome};

impl Controller {
    /// On the Global Leader, starts the membership change that is due, if any.
    pub(super) fn check_membership(&mut self) {
        if !self.membership.begin_check(self.now) {
            return;
        }
        let Some(consensus) = &self.consensus else {
            return;
        };
        if !consensus.leads_globally() || !consensus.has_stable_membership() || self.stopping {
            return;
        }
        let members = consensus.members().to_vec();
        let others = members
            .iter()
            .filter(|member| member.id != self.own_hello.id);
        let health = others.map(|member| (member.id, self.health_of(member.id)));
        let since = self.now.saturating_sub(LIVE_TIMEOUT_MS);
        let observation = Observation {
            leader: self.own_hello.id,
            members: &members,
            health: health.collect(),
            live: &self.connections.newest_core_by_address(since),
        };
        if let Some(change) = self.membership.decide(&observation) {
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

    /// Begins the shutdown of this process: notifies the other cores at once, and
    /// transfers leadership if this core leads.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
        self.own_hello.stopping = true;
        for conn in self.connections.to_cores() {
            let hello = self.own_hello.clone();
            self.send(conn, Payload::Hello(hello));
        }
        self.step_consensus(Event::Stop);
    }

    /// Proposes the removal of a core for an operator, without waiting for a
    /// replacement. Rejected where it is this core or the only member.
    pub(super) fn remove_core(&mut self, request_id: u64, proposal_id: ProposalId, core: NodeId) {
        let remaining = self.members().iter().filter(|member| member.id != core);
        let remaining: Vec<Member> = remaining.cloned().collect();
        if remaining.is_empty() || core == self.own_hello.id {
            self.effects.push(ControllerEffect::ChangeDone {
                request_id,
                outcome: ProposalOutcome::Rejected,
            });
            return;
        }
        let requester = Requester::Http { request_id };
        let subject = ChangeSubject::Core(core);
        self.proposals
            .add_requester(proposal_id, subject, requester);
        let body = Body::Members(remaining);
        self.step_consensus(Event::Propose { proposal_id, body });
    }
}
