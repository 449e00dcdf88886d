//! Reads of this core's state: each is answered once a leader has proved, after
//! the read came, that it still leads; or, in a bounded time, as not proved.

use super::controller::Controller;
use super::events::{ControllerEffect, Want};
use crate::consensus::{Event, StateMachine};
use crate::invariants::{broken, Invariant};
use crate::types::{Millis, ProposalId};
use crate::wire::{OpOutcome, Payload, StateDelta};
use std::collections::BTreeMap;

/// Proofs under way at once, at most.
const MOST_RUNNING: usize = 4;

/// A read that was asked for and is not answered.
#[derive(Clone, Debug)]
struct Waiting {
    want: Want,
    since: Millis,
}

/// All reads that are not answered.
#[derive(Default)]
pub(super) struct Reads {
    /// Not part of any proof yet.
    waiting: Vec<Waiting>,
    /// By the number of the proof under way.
    running: BTreeMap<u64, Vec<Waiting>>,
    /// Whether the last read was proved in time.
    pub quorum: bool,
    /// Whether any read was proved since this core started.
    pub proved: bool,
}

impl Reads {
    /// Take out what was asked for before `limit`.
    fn expire(&mut self, limit: Millis) -> Vec<Want> {
        let running = self.running.values_mut();
        let all = std::iter::once(&mut self.waiting).chain(running);
        let late = all.flat_map(|reads| reads.extract_if(.., |r| r.since <= limit));
        late.map(|r| r.want).collect()
    }
}

impl Controller {
    pub(super) fn want(&mut self, want: Want) {
        let cut_off = self.consensus.as_ref().is_some_and(|a| a.cut_off());
        if cut_off && !broken(Invariant::Proof) {
            // its asker does better to go on to another core at once
            return self.serve(vec![want], false);
        }
        let since = self.now;
        self.reads.waiting.push(Waiting { want, since });
    }

    /// One proof of leadership serves all who asked before it began.
    pub(super) fn start_read(&mut self) {
        if self.reads.waiting.is_empty() || self.reads.running.len() >= MOST_RUNNING {
            return;
        }
        self.next_request_id += 1;
        let request_id = self.next_request_id;
        let reads = std::mem::take(&mut self.reads.waiting);
        if self.consensus.is_none() || self.leaving {
            return self.serve(wants(reads), false);
        }
        if broken(Invariant::Proof) {
            return self.serve(wants(reads), true);
        }
        self.reads.running.insert(request_id, reads);
        self.agreed(Event::Read { request_id });
    }

    pub(super) fn on_read(&mut self, request_id: u64, ok: bool) {
        let reads = self.reads.running.remove(&request_id).unwrap_or_default();
        self.reads.quorum = ok;
        self.reads.proved |= ok;
        self.serve(wants(reads), ok);
    }

    /// Nobody is held for longer than a proof may take.
    pub(super) fn tick_reads(&mut self) {
        let Some(limit) = self.now.checked_sub(self.timing.proof) else {
            return;
        };
        let late = self.reads.expire(limit);
        self.serve(late, false);
    }

    fn serve(&mut self, wants: Vec<Want>, ok: bool) {
        for want in wants {
            match want {
                Want::Http(request_id) => self.out.push(ControllerEffect::Looked(request_id, ok)),
                Want::View(request_id) => self.out.push(ControllerEffect::Viewed(request_id, ok)),
                Want::Find(from, proposal_id) => {
                    let outcome = self.outcome_of(proposal_id, ok);
                    self.op_done(from, outcome);
                }
                Want::Grant { conn, no, have } => {
                    let delta = if ok {
                        self.delta(conn, &have)
                    } else {
                        StateDelta::default()
                    };
                    self.send(conn, Payload::Grant { no, ok, delta });
                }
            }
        }
    }

    /// What became of a proposal, as far as the record tells.
    fn outcome_of(&self, proposal_id: ProposalId, proved: bool) -> OpOutcome {
        let record = self.consensus.as_ref().map(|a| a.machine());
        let bytes = record.and_then(|r| r.answered(proposal_id));
        let outcome = bytes.and_then(|b| crate::replicated_state::decode(&b));
        let none = if proved {
            OpOutcome::Nothing
        } else {
            OpOutcome::Unknown
        };
        outcome.map_or(none, OpOutcome::Got)
    }
}

fn wants(reads: Vec<Waiting>) -> Vec<Want> {
    reads.into_iter().map(|r| r.want).collect()
}
