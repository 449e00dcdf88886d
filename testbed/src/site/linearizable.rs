//! Whether a history of orders and readings is linearizable: whether all
//! operations can be put in one order that agrees with real time, in which a
//! register with compare-and-set by version gives every answer that was given.
//!
//! The search is that of Wing and Gong: at each point any operation may come
//! next that started before every remaining one had ended; states that were
//! seen before are not searched again.

use sorreldoor::types::{Millis, ProposalId};
use std::collections::{BTreeMap, BTreeSet};

/// What was asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Replace the content on top of version `base` by that of `id`.
    Order {
        id: ProposalId,
        base: u64,
        version: u64,
    },
    Read,
}

/// What was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Taken(u64),
    Refused,
    Shown {
        version: u64,
        content: ProposalId,
    },
    /// No clear answer: it may take effect at any time from then on, or never.
    None,
}

/// One call with its answer; without an end for one that has none.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    pub start: Millis,
    pub end: Option<Millis>,
    pub call: Call,
    pub answer: Answer,
}

/// The register: version and content, and which orders made it what it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Register {
    version: u64,
    content: ProposalId,
    taken: BTreeMap<ProposalId, u64>,
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
            (Call::Read, Answer::Shown { version, content }) => {
                no_change_if(*version == self.version && *content == self.content)
            }
            (Call::Order { id, base, version }, answer) => {
                self.apply_order(*id, *base, *version, answer)
            }
            _ => Next::Impossible,
        }
    }

    fn apply_order(&self, id: ProposalId, base: u64, version: u64, answer: &Answer) -> Next {
        let before = self.taken.get(&id);
        let valid = base == self.version && version > self.version;
        match answer {
            Answer::Taken(as_version) if before.is_some() => {
                no_change_if(before == Some(as_version))
            }
            Answer::Taken(as_version) if *as_version == version && valid => {
                Next::Change(self.taking(id, version))
            }
            Answer::None if before.is_none() && valid => Next::Change(self.taking(id, version)),
            // only what can never become valid may be refused
            Answer::Refused => {
                let passed = base < self.version;
                no_change_if(before.is_none() && (passed || (base == self.version && !valid)))
            }
            _ => Next::Impossible,
        }
    }

    fn taking(&self, id: ProposalId, version: u64) -> Register {
        let mut next = self.clone();
        next.version = version;
        next.content = id;
        next.taken.insert(id, version);
        next
    }
}

fn no_change_if(fits: bool) -> Next {
    if fits {
        Next::NoChange
    } else {
        Next::Impossible
    }
}

struct Search<'a> {
    history: &'a [Operation],
    /// Points that lead nowhere: what is left, and the register there.
    failed: BTreeSet<(Vec<usize>, Register)>,
    /// The fewest operations left at any point, and the one that did not fit.
    stuck: (usize, String),
}

impl Search<'_> {
    /// Whether the operations that are left can follow on this register.
    fn ends(&mut self, mut left: Vec<usize>, register: Register) -> bool {
        self.take_unchanging(&mut left, &register);
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

    /// Operations that fit and change nothing may come at once: none that
    /// follows is the worse for it.
    fn take_unchanging(&self, left: &mut Vec<usize>, register: &Register) {
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

    fn first_end(&self, left: &[usize]) -> Option<Millis> {
        left.iter().filter_map(|i| self.history[*i].end).min()
    }

    /// What may come next; of unanswered copies of one order the first will do.
    fn candidates(&self, left: &[usize], limit: Millis) -> Vec<usize> {
        let mut open = Vec::new();
        let mut all = Vec::new();
        for i in left.iter().copied() {
            let op = &self.history[i];
            if op.start > limit {
                continue;
            }
            if op.answer == Answer::None {
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
/// lets an order take effect that was refused to anyone.
pub fn violation(history: &[Operation], first: (u64, ProposalId)) -> Option<String> {
    let refused = ids(history, |a| *a == Answer::Refused);
    let taken = ids(history, |a| matches!(a, Answer::Taken(_)));
    if let Some(id) = refused.intersection(&taken).next() {
        return Some(format!("order {id:x} was refused and taken"));
    }
    let may_act = |op: &&Operation| match op.call {
        Call::Order { id, .. } => op.answer != Answer::None || !refused.contains(&id),
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
        taken: BTreeMap::new(),
    };
    let ok = search.ends((0..history.len()).collect(), register);
    (!ok).then_some(search.stuck.1)
}

fn ids(history: &[Operation], f: impl Fn(&Answer) -> bool) -> BTreeSet<ProposalId> {
    let of = |op: &Operation| match op.call {
        Call::Order { id, .. } if f(&op.answer) => Some(id),
        _ => None,
    };
    history.iter().filter_map(of).collect()
}
