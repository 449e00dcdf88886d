//! Passes events to the consensus replica and carries out its effects.

use super::Controller;
use crate::consensus::{Effect, Event, Member, StateChange};
use crate::control_plane::events::ControllerEffect;
use crate::log_events::LogEvent;
use crate::types::RegionId;
use crate::wire::Payload;

impl Controller {
    /// The members of the consensus group; empty until this core has bootstrapped
    /// or joined a site.
    pub(super) fn members(&self) -> &[Member] {
        let consensus = self.consensus.as_ref();
        consensus.map_or(&[], |consensus| consensus.members())
    }

    /// Passes one event to the consensus reducer and carries out its effects;
    /// without a replica the event is dropped.
    pub(in crate::control_plane) fn step_consensus(&mut self, event: Event) {
        let now = self.now;
        let Some(consensus) = self.consensus.as_mut() else {
            return;
        };
        for effect in consensus.step(event, now) {
            self.apply_consensus_effect(effect);
        }
    }

    pub(in crate::control_plane) fn apply_consensus_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Save { seq, save } => self.effects.push(ControllerEffect::Save(seq, save)),
            Effect::Send { to, msg } => {
                if let Some(conn) = self.connections.preferred_to(to) {
                    self.send(conn, Payload::Consensus(msg));
                }
            }
            Effect::ProposalResult {
                proposal_id,
                outcome,
            } => self.on_proposal_result(proposal_id, outcome),
            Effect::ReadResult { request_id, ok } => self.on_confirmation(request_id, ok),
            Effect::Applied { .. } => self.on_applied(),
            Effect::MembersChanged(members) => self.on_members(&members),
            Effect::StateChanged(change) => self.log_state_change(change),
        }
    }

    fn on_members(&mut self, members: &[Member]) {
        let format_member = |member: &Member| {
            let learner_mark = if member.voter { "" } else { "?" };
            format!("{:x}{learner_mark}", member.id)
        };
        let ids: Vec<String> = members.iter().map(format_member).collect();
        self.log_event(LogEvent::MembershipChanged, ids.join(" "));
        if !self.own_hello.founded && members.iter().any(|member| member.voter) {
            self.announce_membership();
        }
        self.reconcile_connections();
    }

    fn log_state_change(&mut self, change: StateChange) {
        let name = |region: RegionId| self.site.region_name(region).to_string();
        let (event, details) = match change {
            StateChange::GlobalLeader { term, .. } => {
                (LogEvent::GlobalLeader, format!("term {term}"))
            }
            StateChange::DomainLeader { domain_term, .. } => {
                (LogEvent::DomainLeader, format!("term {domain_term}"))
            }
            StateChange::SteppedDown { term, reason } => {
                (LogEvent::SteppedDown, format!("term {term}: {reason}"))
            }
            StateChange::RegionUnavailable { region } => {
                (LogEvent::RegionUnavailable, name(region))
            }
            StateChange::RegionAvailable { region } => (LogEvent::RegionAvailable, name(region)),
            StateChange::TransferringLeadership { to } => {
                (LogEvent::LeadershipTransfer, format!("to {to:x}"))
            }
            StateChange::DiskFailed => (LogEvent::DiskFailed, "not participating".to_string()),
        };
        self.log_event(event, details);
    }

    fn on_applied(&mut self) {
        let Some(consensus) = self.consensus.as_ref() else {
            return;
        };
        let state = consensus.state_machine();
        for zone in self.site.zone_indices() {
            self.zone_history
                .record(zone, state.zone_changes(zone), self.now);
        }
        let version = state.version();
        if version != self.logged_version {
            let summary = state.document_summary();
            self.logged_version = version;
            self.log_event(
                LogEvent::ConfigurationApplied,
                format!("serial {version}: {summary}"),
            );
        }
    }
}
