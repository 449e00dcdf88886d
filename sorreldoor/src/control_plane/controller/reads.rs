//! Reads: proofs of leadership, and the answers that follow.

use super::Controller;
use crate::consensus::{Event, StateMachine};
use crate::control_plane::events::ControllerEffect;
use crate::control_plane::reads::Read;
use crate::invariants::{broken, Invariant};
use crate::replicated_state::decode;
use crate::types::ProposalId;
use crate::wire::{ProposalOutcome, StateDelta};

impl Controller {
    pub(super) fn read(&mut self, read: Read) {
        let cut_off = self.consensus.as_ref().is_some_and(|c| c.is_partitioned());
        if cut_off && !broken(Invariant::Proof) {
            // the requester does better to try another core at once
            return self.answer_reads(vec![read], false);
        }
        self.reads.queue(read, self.now);
    }

    /// Begin a proof of leadership for the reads that are queued.
    pub(super) fn start_proof(&mut self) {
        if !self.reads.proof_due() {
            return;
        }
        let request_id = self.ids.next_request_id();
        if self.consensus.is_none() || self.leaving {
            let reads = self.reads.take_queued();
            return self.answer_reads(reads, false);
        }
        if broken(Invariant::Proof) {
            let reads = self.reads.take_queued();
            return self.answer_reads(reads, true);
        }
        self.reads.proof_started(request_id);
        self.step_consensus(Event::Read { request_id });
    }

    pub(super) fn on_proof(&mut self, request_id: u64, proved: bool) {
        let reads = self.reads.proof_ended(request_id, proved);
        self.answer_reads(reads, proved);
    }

    /// No read waits longer than a proof may take.
    pub(super) fn expire_reads(&mut self) {
        let Some(limit) = self.now.checked_sub(self.timing.read_timeout) else {
            return;
        };
        let expired = self.reads.expire(limit);
        self.answer_reads(expired, false);
    }

    fn answer_reads(&mut self, reads: Vec<Read>, proved: bool) {
        for read in reads {
            self.answer_read(read, proved);
        }
    }

    fn answer_read(&mut self, read: Read, proved: bool) {
        match read {
            Read::Status { request_id } => {
                let ready = ControllerEffect::StatusReady { request_id, proved };
                self.out.push(ready);
            }
            Read::View { request_id } => {
                let ready = ControllerEffect::ViewReady { request_id, proved };
                self.out.push(ready);
            }
            Read::Outcome {
                requester,
                proposal_id,
            } => {
                let outcome = self.recorded_outcome(proposal_id, proved);
                self.change_done(requester, outcome);
            }
            Read::Renewal {
                conn,
                renewal,
                known,
            } => {
                let delta = if proved {
                    self.delta(conn, &known)
                } else {
                    StateDelta::default()
                };
                self.grant(conn, renewal, proved, delta);
            }
        }
    }

    /// The outcome of a proposal as far as the record tells.
    fn recorded_outcome(&self, proposal_id: ProposalId, proved: bool) -> ProposalOutcome {
        let record = self.consensus.as_ref().map(|c| c.state_machine());
        let bytes = record.and_then(|record| record.recorded_outcome(proposal_id));
        match bytes.and_then(|bytes| decode(&bytes)) {
            Some(outcome) => ProposalOutcome::Committed(outcome),
            None if proved => ProposalOutcome::NotFound,
            None => ProposalOutcome::Unknown,
        }
    }
}
