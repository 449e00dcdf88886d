//! Linearizable reads: starts the confirmation of leadership and answers the
//! reads that wait for it.

use super::Controller;
use crate::consensus::{Event, StateMachine};
use crate::control_plane::events::ControllerEffect;
use crate::control_plane::reads::Read;
use crate::invariants::{is_disabled, Invariant};
use crate::replicated_state::decode;
use crate::types::ProposalId;
use crate::wire::{ProposalOutcome, StateDelta};

impl Controller {
    /// Queues a read for the next confirmation; answers it as not confirmed at once
    /// where this core is partitioned from the quorum.
    pub(super) fn request_read(&mut self, read: Read) {
        let partitioned = self.consensus.as_ref().is_some_and(|c| c.is_partitioned());
        if partitioned && !is_disabled(Invariant::QuorumConfirmedRead) {
            // a wait would time out; another core may reach the quorum
            return self.answer_reads(vec![read], false);
        }
        self.reads.queue(read, self.now);
    }

    /// Starts a confirmation of leadership for the queued reads, if one is due.
    pub(super) fn start_confirmation(&mut self) {
        if !self.reads.confirmation_due() {
            return;
        }
        let request_id = self.ids.next_request_id();
        if self.consensus.is_none() || self.stopping {
            let reads = self.reads.take_queued();
            return self.answer_reads(reads, false);
        }
        if is_disabled(Invariant::QuorumConfirmedRead) {
            let reads = self.reads.take_queued();
            return self.answer_reads(reads, true);
        }
        self.reads.confirmation_started(request_id);
        self.step_consensus(Event::Read { request_id });
    }

    pub(super) fn on_confirmation(&mut self, request_id: u64, confirmed: bool) {
        let reads = self.reads.confirmation_ended(request_id, confirmed);
        self.answer_reads(reads, confirmed);
    }

    /// Answers the reads that have waited for `read_timeout` as not confirmed.
    pub(super) fn expire_reads(&mut self) {
        let Some(limit) = self.now.checked_sub(self.timing.read_timeout) else {
            return;
        };
        let expired = self.reads.expire(limit);
        self.answer_reads(expired, false);
    }

    fn answer_reads(&mut self, reads: Vec<Read>, confirmed: bool) {
        for read in reads {
            self.answer_read(read, confirmed);
        }
    }

    fn answer_read(&mut self, read: Read, confirmed: bool) {
        match read {
            Read::Status { request_id } => {
                let ready = ControllerEffect::StatusReady {
                    request_id,
                    confirmed,
                };
                self.effects.push(ready);
            }
            Read::View { request_id } => {
                let ready = ControllerEffect::ViewReady {
                    request_id,
                    confirmed,
                };
                self.effects.push(ready);
            }
            Read::Outcome {
                requester,
                proposal_id,
            } => {
                let outcome = self.recorded_outcome(proposal_id, confirmed);
                self.send_outcome(requester, outcome);
            }
            Read::Renewal {
                conn,
                renewal,
                known,
            } => {
                let delta = if confirmed {
                    self.delta(conn, &known)
                } else {
                    StateDelta::default()
                };
                self.send_grant(conn, renewal, confirmed, delta);
            }
        }
    }

    /// The outcome of a proposal as the replicated state has it. `Nothing` if it
    /// has none and is confirmed current, `Unknown` if it has none otherwise.
    fn recorded_outcome(&self, proposal_id: ProposalId, confirmed: bool) -> ProposalOutcome {
        let state = self.consensus.as_ref().map(|c| c.state_machine());
        let bytes = state.and_then(|state| state.recorded_outcome(proposal_id));
        match bytes.and_then(|bytes| decode(&bytes)) {
            Some(outcome) => ProposalOutcome::Committed(outcome),
            None if confirmed => ProposalOutcome::NotFound,
            None => ProposalOutcome::Unknown,
        }
    }
}
