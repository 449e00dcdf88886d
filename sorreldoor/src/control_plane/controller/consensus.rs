//! Consensus: its events in, its effects carried out.

use super::Controller;
use crate::consensus::{Effect, Event, Member, StateChange};
use crate::control_plane::events::ControllerEffect;
use crate::log_events::LogEvent;
use crate::types::RegionId;
use crate::wire::Payload;

impl Controller {
    /// The members of the consensus group; none before this core is part of a
    /// site.
    pub(super) fn members(&self) -> &[Member] {
        let consensus = self.consensus.as_ref();
        consensus.map_or(&[], |consensus| consensus.members())
    }

    /// Run one event through the consensus reducer and carry out its effects.
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
            Effect::Save { seq, save } => self.out.push(ControllerEffect::Save(seq, save)),
            Effect::Send { to, msg } => {
                if let Some(conn) = self.connections.to(to) {
                    self.send(conn, Payload::Consensus(msg));
                }
            }
            Effect::ProposalResult {
                proposal_id,
                outcome,
            } => self.on_proposal_result(proposal_id, outcome),
            Effect::ReadResult { request_id, ok } => self.on_proof(request_id, ok),
            Effect::Applied { .. } => self.on_applied(),
            Effect::MembersChanged(members) => self.on_members(&members),
            Effect::StateChanged(note) => self.log_note(note),
        }
    }

    fn on_members(&mut self, members: &[Member]) {
        let name = |member: &Member| {
            let learner = if member.voter { "" } else { "?" };
            format!("{:x}{learner}", member.id)
        };
        let names: Vec<String> = members.iter().map(name).collect();
        self.log_event(LogEvent::MembershipChanged, names.join(" "));
        if !self.me.founded && members.iter().any(|member| member.voter) {
            self.announce_membership();
        }
        self.redial();
    }

    fn log_note(&mut self, note: StateChange) {
        let name = |region: RegionId| self.site.region_name(region).to_string();
        let (event, about) = match note {
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
        self.log_event(event, about);
    }

    fn on_applied(&mut self) {
        let Some(consensus) = self.consensus.as_ref() else {
            return;
        };
        let state = consensus.state_machine();
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
