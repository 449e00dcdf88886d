//! Operators' changes: proposed, and answered with their outcome.

use super::Controller;
use crate::consensus::{Body, Event, ProposalError};
use crate::control_plane::events::{ControllerEffect, Requester};
use crate::control_plane::proposals;
use crate::log_events::LogEvent;
use crate::order_id::format_proposal_id;
use crate::replicated_state::{encode, Command, DocumentSummary, Outcome};
use crate::types::ProposalId;
use crate::wire::{Payload, ProposalOutcome};
use std::sync::Arc;

impl Controller {
    pub(super) fn change(
        &mut self,
        requester: Requester,
        proposal_id: ProposalId,
        command: Command,
    ) {
        if self.consensus.is_none() || self.leaving {
            return self.change_done(requester, ProposalOutcome::Rejected);
        }
        if self.consensus.as_ref().is_some_and(|c| c.is_partitioned()) {
            // the operator does better to try another core at once
            return self.change_done(requester, ProposalOutcome::Unknown);
        }
        self.proposals.wait(proposal_id, requester);
        let command = self.bind_to_zone_state(command);
        let body = Body::Data(Arc::new(encode(&command)));
        self.step_consensus(Event::Propose { proposal_id, body });
    }

    /// An evacuation is valid only for the state of its zone that this core
    /// knows when the call comes: it has no id and no base version, so a
    /// delayed duplicate could not be told from a new call otherwise.
    fn bind_to_zone_state(&self, command: Command) -> Command {
        let record = self.consensus.as_ref().map(|c| c.state_machine());
        match (command, record) {
            (Command::EvacuateUnversioned { zone, evacuated }, Some(record)) => {
                Command::EvacuateIfUnchanged {
                    zone,
                    evacuated,
                    changes: record.zone_changes(zone),
                }
            }
            (command, _) => command,
        }
    }

    pub(super) fn on_proposal_result(
        &mut self,
        proposal_id: ProposalId,
        result: Result<Arc<Vec<u8>>, ProposalError>,
    ) {
        let outcome = proposals::outcome(result);
        let accepted = matches!(outcome, ProposalOutcome::Committed(Outcome::Applied { .. }));
        self.singleton.proposal_ended(proposal_id, accepted);
        let requesters = self.proposals.finished(proposal_id);
        if !requesters.is_empty() {
            self.log_outcome(proposal_id, &outcome);
        }
        for requester in requesters {
            self.change_done(requester, outcome.clone());
        }
    }

    fn log_outcome(&mut self, proposal_id: ProposalId, outcome: &ProposalOutcome) {
        let id = format_proposal_id(proposal_id);
        let (event, about) = match outcome {
            ProposalOutcome::Committed(Outcome::Applied { version }) => (
                LogEvent::ChangeCommitted,
                format!("{id} as serial {version}: {}", self.document_summary()),
            ),
            other => (LogEvent::ChangeRejected, format!("{id}: {other:?}")),
        };
        self.log_event(event, about);
    }

    fn document_summary(&self) -> DocumentSummary {
        let consensus = self.consensus.as_ref();
        consensus
            .map(|consensus| consensus.state_machine().document_summary())
            .unwrap_or_default()
    }

    pub(super) fn change_done(&mut self, requester: Requester, outcome: ProposalOutcome) {
        match requester {
            Requester::Http { request_id } => self.out.push(ControllerEffect::ChangeDone {
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
