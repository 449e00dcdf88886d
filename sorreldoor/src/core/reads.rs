//! Reads of this core's state: each is answered once a leader has proved, after
//! the read came, that it still leads; or, in a bounded time, as not proved.

use super::controller::Controller;
use super::events::{ControllerEffect, Want};
use crate::consensus::{Event, Machine, Millis, ProposalId};
use crate::rules::{broken, Rule};
use crate::wire::{News, OpOutcome, Payload};
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
        if cut_off && !broken(Rule::Proof) {
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
        self.next_rid += 1;
        let rid = self.next_rid;
        let reads = std::mem::take(&mut self.reads.waiting);
        if self.consensus.is_none() || self.leaving {
            return self.serve(wants(reads), false);
        }
        if broken(Rule::Proof) {
            return self.serve(wants(reads), true);
        }
        self.reads.running.insert(rid, reads);
        self.agreed(Event::Read { rid });
    }

    pub(super) fn on_read(&mut self, rid: u64, ok: bool) {
        let reads = self.reads.running.remove(&rid).unwrap_or_default();
        self.reads.quorum = ok;
        self.reads.proved |= ok;
        self.serve(wants(reads), ok);
    }

    /// Nobody is held for longer than a proof may take.
    pub(super) fn reads_alarm(&mut self) {
        let Some(limit) = self.now.checked_sub(self.timing.proof) else {
            return;
        };
        let late = self.reads.expire(limit);
        self.serve(late, false);
    }

    fn serve(&mut self, wants: Vec<Want>, ok: bool) {
        for want in wants {
            match want {
                Want::Http(rid) => self.out.push(ControllerEffect::Looked(rid, ok)),
                Want::View(rid) => self.out.push(ControllerEffect::Viewed(rid, ok)),
                Want::Find(from, pid) => {
                    let outcome = self.outcome_of(pid, ok);
                    self.op_done(from, outcome);
                }
                Want::Grant { conn, no, have } => {
                    let news = if ok {
                        self.news(conn, &have)
                    } else {
                        News::default()
                    };
                    self.send(conn, Payload::Grant { no, ok, news });
                }
            }
        }
    }

    /// What became of a proposal, as far as the record tells.
    fn outcome_of(&self, pid: ProposalId, proved: bool) -> OpOutcome {
        let record = self.consensus.as_ref().map(|a| a.machine());
        let bytes = record.and_then(|r| r.answered(pid));
        let outcome = bytes.and_then(|b| crate::record::decode(&b));
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
