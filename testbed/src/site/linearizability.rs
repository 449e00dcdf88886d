//! Checks that a history of proposals and reads is linearizable: that some order of
//! the operations agrees with real time, and a register with compare-and-set by
//! version gives every recorded answer in that order.
//!
//! The search is that of Wing and Gong ("Testing and Verifying Concurrent
//! Objects", 1993): the next operation may be any that started before the first
//! end among the remaining ones; states from which the search failed are memoized.

use sorreldoor::types::{Millis, ProposalId};
use std::collections::{BTreeMap, BTreeSet};

/// The call of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Replaces the content of version `base` by that of proposal `id`, as `version`.
    CompareAndSet {
        id: ProposalId,
        base: u64,
        version: u64,
    },
    Read,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Committed(u64),
    Rejected,
    Value {
        version: u64,
        content: ProposalId,
    },
    /// No definite answer: it may take effect at any time after its start, or never.
    Unknown,
}

/// A call with its answer; `end` is `None` if there is no definite answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    pub start: Millis,
    pub end: Option<Millis>,
    pub call: Call,
    pub answer: Answer,
}

/// The register: version, content, and the version of each committed proposal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Register {
    version: u64,
    content: ProposalId,
    committed: BTreeMap<ProposalId, u64>,
}

/// The effect of an operation on the register if it comes next.
enum Next {
    Impossible,
    NoChange,
    Change(Register),
}

impl Register {
    fn apply(&self, op: &Operation) -> Next {
        match (&op.call, &op.answer) {
            (Call::Read, Answer::Value { version, content }) => {
                no_change_if(*version == self.version && *content == self.content)
            }
            (Call::CompareAndSet { id, base, version }, answer) => {
                self.apply_proposal(*id, *base, *version, answer)
            }
            _ => Next::Impossible,
        }
    }

    fn apply_proposal(&self, id: ProposalId, base: u64, version: u64, answer: &Answer) -> Next {
        let before = self.committed.get(&id);
        let valid = base == self.version && version > self.version;
        match answer {
            Answer::Committed(as_version) if before.is_some() => {
                no_change_if(before == Some(as_version))
            }
            Answer::Committed(as_version) if *as_version == version && valid => {
                Next::Change(self.committing(id, version))
            }
            Answer::Unknown if before.is_none() && valid => {
                Next::Change(self.committing(id, version))
            }
            // a proposal may be rejected only if it can never become valid
            Answer::Rejected => {
                let passed = base < self.version;
                no_change_if(before.is_none() && (passed || (base == self.version && !valid)))
            }
            _ => Next::Impossible,
        }
    }

    fn committing(&self, id: ProposalId, version: u64) -> Register {
        let mut next = self.clone();
        next.version = version;
        next.content = id;
        next.committed.insert(id, version);
        next
    }
}

fn no_change_if(agrees: bool) -> Next {
    if agrees {
        Next::NoChange
    } else {
        Next::Impossible
    }
}

struct Search<'a> {
    history: &'a [Operation],
    /// Points from which the search failed: the remaining operations and the register.
    failed: BTreeSet<(Vec<usize>, Register)>,
    /// The fewest remaining operations at any failed point, with a description of the
    /// operation that could not follow.
    closest_failure: (usize, String),
}

impl Search<'_> {
    /// Whether the remaining operations can follow from this state of the register.
    fn can_complete(&mut self, mut remaining: Vec<usize>, register: Register) -> bool {
        self.skip_no_change(&mut remaining, &register);
        let Some(limit) = self.earliest_end(&remaining) else {
            // the remaining operations have no answer, and need not take effect
            return true;
        };
        let point = (remaining.clone(), register);
        if self.failed.contains(&point) {
            return false;
        }
        let (remaining, register) = &point;
        for i in self.candidates(remaining, limit) {
            if let Next::Change(next) = register.apply(&self.history[i]) {
                let rest = remaining.iter().copied().filter(|j| *j != i).collect();
                if self.can_complete(rest, next) {
                    return true;
                }
            }
        }
        self.record_failure(remaining, limit, register);
        self.failed.insert(point);
        false
    }

    /// Removes operations that agree with the register and do not change it: placing
    /// them first excludes no order of the others.
    fn skip_no_change(&self, remaining: &mut Vec<usize>, register: &Register) {
        while let Some(limit) = self.earliest_end(remaining) {
            let before = remaining.len();
            remaining.retain(|i| {
                let op = &self.history[*i];
                op.start > limit || !matches!(register.apply(op), Next::NoChange)
            });
            if remaining.len() == before {
                return;
            }
        }
    }

    /// The earliest end of the remaining operations.
    fn earliest_end(&self, remaining: &[usize]) -> Option<Millis> {
        remaining.iter().filter_map(|i| self.history[*i].end).min()
    }

    /// The operations that may come next, with only the first of several unanswered
    /// attempts of one proposal.
    fn candidates(&self, remaining: &[usize], limit: Millis) -> Vec<usize> {
        let mut open = Vec::new();
        let mut all = Vec::new();
        for i in remaining.iter().copied() {
            let op = &self.history[i];
            if op.start > limit {
                continue;
            }
            if op.answer == Answer::Unknown {
                if open.contains(&&op.call) {
                    continue;
                }
                open.push(&op.call);
            }
            all.push(i);
        }
        all
    }

    fn record_failure(&mut self, remaining: &[usize], limit: Millis, register: &Register) {
        if remaining.len() >= self.closest_failure.0 {
            return;
        }
        let first = remaining
            .iter()
            .find(|i| self.history[**i].end == Some(limit));
        let op = first.map(|i| &self.history[*i]);
        let (version, content) = (register.version, register.content);
        self.closest_failure = (
            remaining.len(),
            format!("not linearizable: {op:?} at version {version} of {content:x}"),
        );
    }
}

/// Describes why a history is not linearizable from the initial version and content,
/// or which proposal was both rejected and committed; `None` if it is linearizable.
pub fn violation(history: &[Operation], initial: (u64, ProposalId)) -> Option<String> {
    let rejected = proposal_ids(history, |a| *a == Answer::Rejected);
    let committed = proposal_ids(history, |a| matches!(a, Answer::Committed(_)));
    if let Some(id) = rejected.intersection(&committed).next() {
        return Some(format!("proposal {id:x} was rejected and committed"));
    }
    let may_take_effect = |op: &&Operation| match op.call {
        Call::CompareAndSet { id, .. } => op.answer != Answer::Unknown || !rejected.contains(&id),
        Call::Read => true,
    };
    let mut history: Vec<Operation> = history.iter().filter(may_take_effect).cloned().collect();
    history.sort_by_key(|op| op.start);
    let mut search = Search {
        history: &history,
        failed: BTreeSet::new(),
        closest_failure: (usize::MAX, String::new()),
    };
    let register = Register {
        version: initial.0,
        content: initial.1,
        committed: BTreeMap::new(),
    };
    let linearizable = search.can_complete((0..history.len()).collect(), register);
    (!linearizable).then_some(search.closest_failure.1)
}

fn proposal_ids(history: &[Operation], matches: impl Fn(&Answer) -> bool) -> BTreeSet<ProposalId> {
    let id_of = |op: &Operation| match op.call {
        Call::CompareAndSet { id, .. } if matches(&op.answer) => Some(id),
        _ => None,
    };
    history.iter().filter_map(id_of).collect()
}
