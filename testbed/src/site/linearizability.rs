//! Whether a history of proposals and reads is linearizable: whether all
//! operations can be put in one order that agrees with real time, in which a
//! register with compare-and-set by version gives every answer that was given.
//!
//! The search is that of Wing and Gong ("Testing and Verifying Concurrent
//! Objects", 1993): at each point any operation may come next that started
//! before every remaining one had ended; states that failed before are not
//! searched again.

use sorreldoor::types::{Millis, ProposalId};
use std::collections::{BTreeMap, BTreeSet};

/// What was called.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Replace the content on top of version `base` by that of `id`.
    CompareAndSet {
        id: ProposalId,
        base: u64,
        version: u64,
    },
    Read,
}

/// What it returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Committed(u64),
    Rejected,
    Value {
        version: u64,
        content: ProposalId,
    },
    /// No clear answer: it may take effect at any time from then on, or never.
    Unknown,
}

/// One call with its answer; without an end if there is no answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    pub start: Millis,
    pub end: Option<Millis>,
    pub call: Call,
    pub answer: Answer,
}

/// The register: version and content, and the proposals that were committed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Register {
    version: u64,
    content: ProposalId,
    committed: BTreeMap<ProposalId, u64>,
}

/// What an operation does to the register if it comes next.
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
            // only what can never become valid may be rejected
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
    /// Points from which the search failed: the operations left and the register.
    failed: BTreeSet<(Vec<usize>, Register)>,
    /// The fewest operations left at any failed point, and the first that cannot follow.
    stuck: (usize, String),
}

impl Search<'_> {
    /// Whether the operations that are left can follow on this register.
    fn ends(&mut self, mut left: Vec<usize>, register: Register) -> bool {
        self.skip_unchanging(&mut left, &register);
        let Some(limit) = self.first_end(&left) else {
            // what is left has no answer, and need not take effect
            return true;
        };
        let point = (left.clone(), register);
        if self.failed.contains(&point) {
            return false;
        }
        let (left, register) = &point;
        for i in self.candidates(left, limit) {
            if let Next::Change(next) = register.apply(&self.history[i]) {
                let rest = left.iter().copied().filter(|j| *j != i).collect();
                if self.ends(rest, next) {
                    return true;
                }
            }
        }
        self.note_stuck(left, limit, register);
        self.failed.insert(point);
        false
    }

    /// Operations that agree with the register and do not change it may come
    /// at once: that excludes none of the others.
    fn skip_unchanging(&self, left: &mut Vec<usize>, register: &Register) {
        while let Some(limit) = self.first_end(left) {
            let before = left.len();
            left.retain(|i| {
                let op = &self.history[*i];
                op.start > limit || !matches!(register.apply(op), Next::NoChange)
            });
            if left.len() == before {
                return;
            }
        }
    }

    /// The earliest end of the operations that are left.
    fn first_end(&self, left: &[usize]) -> Option<Millis> {
        left.iter().filter_map(|i| self.history[*i].end).min()
    }

    /// The operations that may come next; of unanswered attempts of one
    /// proposal the first stands for all.
    fn candidates(&self, left: &[usize], limit: Millis) -> Vec<usize> {
        let mut open = Vec::new();
        let mut all = Vec::new();
        for i in left.iter().copied() {
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

    fn note_stuck(&mut self, left: &[usize], limit: Millis, register: &Register) {
        if left.len() >= self.stuck.0 {
            return;
        }
        let first = left.iter().find(|i| self.history[**i].end == Some(limit));
        let op = first.map(|i| &self.history[*i]);
        let (version, content) = (register.version, register.content);
        self.stuck = (
            left.len(),
            format!("not linearizable: {op:?} at version {version} of {content:x}"),
        );
    }
}

/// Why a history that starts at a version and content is not linearizable, or
/// lets a proposal take effect that was rejected at any attempt.
pub fn violation(history: &[Operation], first: (u64, ProposalId)) -> Option<String> {
    let rejected = ids(history, |a| *a == Answer::Rejected);
    let committed = ids(history, |a| matches!(a, Answer::Committed(_)));
    if let Some(id) = rejected.intersection(&committed).next() {
        return Some(format!("proposal {id:x} was rejected and committed"));
    }
    let may_act = |op: &&Operation| match op.call {
        Call::CompareAndSet { id, .. } => op.answer != Answer::Unknown || !rejected.contains(&id),
        Call::Read => true,
    };
    let mut history: Vec<Operation> = history.iter().filter(may_act).cloned().collect();
    history.sort_by_key(|op| op.start);
    let mut search = Search {
        history: &history,
        failed: BTreeSet::new(),
        stuck: (usize::MAX, String::new()),
    };
    let register = Register {
        version: first.0,
        content: first.1,
        committed: BTreeMap::new(),
    };
    let ok = search.ends((0..history.len()).collect(), register);
    (!ok).then_some(search.stuck.1)
}

fn ids(history: &[Operation], f: impl Fn(&Answer) -> bool) -> BTreeSet<ProposalId> {
    let of = |op: &Operation| match op.call {
        Call::CompareAndSet { id, .. } if f(&op.answer) => Some(id),
        _ => None,
    };
    history.iter().filter_map(of).collect()
}
