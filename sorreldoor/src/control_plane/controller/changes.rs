//! Operators' changes: proposed to the consensus group, and answered with their
//! outcome once it is known.

use super::Controller;
use crate::consensus::{Body, Event, ProposalError};
use crate::control_plane::events::{ControllerEffect, Requester};
use crate::control_plane::proposals::{self, ChangeSubject};
use crate::ids::format_proposal_id;
use crate::invariants::{is_disabled, Invariant};
use crate::log_events::LogEvent;
use crate::replicated_state::{encode, Command, DocumentSummary, Outcome, ZoneIndex};
use crate::types::{Millis, ProposalId};
use crate::wire::{Payload, ProposalOutcome};
use std::sync::Arc;

/// An operator's request to evacuate a zone or to return it to service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evacuation {
    pub zone: ZoneIndex,
    pub evacuated: bool,
}

impl Controller {
    /// Proposes a change. Answers at once, without a proposal, where this core has
    /// no replica, is stopping or is partitioned from the quorum, or the change has no
    /// condition.
    pub(super) fn propose_change(
        &mut self,
        requester: Requester,
        proposal_id: ProposalId,
        command: Command,
    ) {
        // only logs of earlier releases contain evacuations without a condition
        let unconditional = matches!(command, Command::EvacuateUnversioned { .. });
        if unconditional || self.consensus.is_none() || self.stopping {
            return self.send_outcome(requester, ProposalOutcome::Rejected);
        }
        if self.consensus.as_ref().is_some_and(|c| c.is_partitioned()) {
            // a wait would time out; another core may reach the quorum
            return self.send_outcome(requester, ProposalOutcome::Unknown);
        }
        let subject = ChangeSubject::from(&command);
        self.proposals
            .add_requester(proposal_id, subject, requester);
        let body = Body::Data(Arc::new(encode(&command)));
        self.step_consensus(Event::Propose { proposal_id, body });
    }

    /// Proposes an evacuation that names no version, on the condition that the zone
    /// has not changed since the request was sent. Its client may have given it up
    /// long ago and had other requests carried out by other cores.
    pub(super) fn propose_evacuation(
        &mut self,
        requester: Requester,
        proposal_id: ProposalId,
        evacuation: Evacuation,
        sent_after: Millis,
    ) {
        let Evacuation { zone, evacuated } = evacuation;
        let sent_after = if is_disabled(Invariant::EvacuationBoundWhenSent) {
            self.now
        } else {
            sent_after
        };
        let Some(changes) = self.zone_history.changes_at(zone, sent_after) else {
            return self.send_outcome(requester, ProposalOutcome::Unknown);
        };
        let command = Command::EvacuateCounted {
            zone,
            evacuated,
            changes,
        };
        self.propose_change(requester, proposal_id, command);
    }

    pub(super) fn on_proposal_result(
        &mut self,
        proposal_id: ProposalId,
        result: Result<Arc<Vec<u8>>, ProposalError>,
    ) {
        let outcome = proposals::outcome(result);
        let accepted = matches!(outcome, ProposalOutcome::Committed(Outcome::Applied { .. }));
        self.singleton.proposal_ended(proposal_id, accepted);
        let Some(proposal) = self.proposals.take(proposal_id) else {
            return;
        };
        self.log_outcome(proposal_id, proposal.subject, &outcome);
        for requester in proposal.requesters {
            self.send_outcome(requester, outcome.clone());
        }
    }

    fn log_outcome(
        &mut self,
        proposal_id: ProposalId,
        subject: ChangeSubject,
        outcome: &ProposalOutcome,
    ) {
        let id = format_proposal_id(proposal_id);
        let description = self.describe(subject);
        let (event, details) = match outcome {
            ProposalOutcome::Committed(Outcome::Applied { version }) => {
                let details = match subject {
                    ChangeSubject::Document => self.document_summary().to_string(),
                    _ => description,
                };
                (
                    LogEvent::ChangeCommitted,
                    format!("{id} as serial {version}: {details}"),
                )
            }
            other => (
                LogEvent::ChangeRejected,
                format!("{id}: {description}: {other:?}"),
            ),
        };
        self.log_event(event, details);
    }

    fn describe(&self, subject: ChangeSubject) -> String {
        match subject {
            ChangeSubject::Document => "configuration".to_string(),
            ChangeSubject::Zone { zone, evacuated } => {
                let state = if evacuated { "evacuated" } else { "in service" };
                format!("zone {} {state}", self.site.zone_name(zone))
            }
            ChangeSubject::Core(id) => format!("core {id:x} removed"),
        }
    }

    fn document_summary(&self) -> DocumentSummary {
        let consensus = self.consensus.as_ref();
        consensus
            .map(|consensus| consensus.state_machine().document_summary())
            .unwrap_or_default()
    }

    /// Answers the requester of a change, or of the outcome of one.
    pub(super) fn send_outcome(&mut self, requester: Requester, outcome: ProposalOutcome) {
        match requester {
            Requester::Http { request_id } => self.effects.push(ControllerEffect::ChangeDone {
                request_id,
                outcome,
            }),
            Requester::Edge { conn, request_id } => self.send(
                conn,
                Payload::ProposalResult {
                    request_id,
                    outcome,
                },
            ),
        }
    }
}
