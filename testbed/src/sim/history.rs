//! Invariants of a run, checked on the entries that nodes applied and the results
//! that operators received.

use super::{OperationKind, OperationResult, Sim};
use sorreldoor::consensus::StateMachine;
use sorreldoor::replicated_state::Outcome;
use sorreldoor::types::{NodeId, ProposalId};
use std::collections::{BTreeMap, BTreeSet};

/// Every entry applied and every Global Leader elected during a run.
#[derive(Default)]
pub struct History {
    applied_entries: BTreeMap<u64, (ProposalId, Vec<u8>)>,
    leaders: BTreeMap<u64, NodeId>,
    pub violations: Vec<String>,
}

impl History {
    /// Records that a node applied an entry; a violation if another node applied a
    /// different one at this index.
    pub fn record_applied(
        &mut self,
        node: usize,
        index: u64,
        proposal_id: ProposalId,
        data: &[u8],
    ) {
        let entry = (proposal_id, data.to_vec());
        let first = self
            .applied_entries
            .entry(index)
            .or_insert_with(|| entry.clone());
        if *first != entry {
            self.violations.push(format!(
                "node {node} applied a different entry at index {index}"
            ));
        }
    }

    /// Records a new Global Leader; a violation if the term had another.
    pub fn record_leader(&mut self, term: u64, id: NodeId) {
        if *self.leaders.entry(term).or_insert(id) != id {
            self.violations.push(format!("two leaders in term {term}"));
        }
    }
}

/// The violated invariants; empty for a correct run.
pub fn check_history(sim: &Sim) -> Vec<String> {
    let mut violations = sim.history.borrow().violations.clone();
    check_versions(sim, &mut violations);
    check_linearizability(sim, &mut violations);
    check_durability(sim, &mut violations);
    violations
}

/// Each version belongs to one change, whose base is the version before.
fn check_versions(sim: &Sim, violations: &mut Vec<String>) {
    let mut winners: BTreeMap<u64, ProposalId> = BTreeMap::new();
    for operation in &sim.operations {
        let (
            OperationKind::ProposeChange { base },
            OperationResult::Completed(Outcome::Applied { version }),
        ) = (&operation.kind, &operation.result)
        else {
            continue;
        };
        if *version != base + 1 {
            violations.push(format!(
                "a change based on version {base} was committed as {version}"
            ));
        }
        if *winners.entry(*version).or_insert(operation.proposal_id) != operation.proposal_id {
            violations.push(format!("two changes were committed as version {version}"));
        }
    }
}

/// Linearizability: an operation observes every one that ended before it began.
fn check_linearizability(sim: &Sim, violations: &mut Vec<String>) {
    let mut observed_by_end_time: Vec<(u64, u64)> = Vec::new();
    for operation in &sim.operations {
        if let Some(version) = operation.observed_version() {
            observed_by_end_time.push((operation.end, version));
        }
    }
    observed_by_end_time.sort_unstable();
    let mut highest = 0;
    let highest_by_end_time: Vec<(u64, u64)> = observed_by_end_time
        .iter()
        .map(|(end, version)| {
            highest = highest.max(*version);
            (*end, highest)
        })
        .collect();
    for operation in &sim.operations {
        let Some(version) = operation.observed_version() else {
            continue;
        };
        let i = highest_by_end_time.partition_point(|(end, _)| *end < operation.start);
        let previous = i.checked_sub(1).map_or(0, |i| highest_by_end_time[i].1);
        // an applied change must come after all operations that ended before it
        let minimum = previous + u64::from(operation.was_applied());
        if version < minimum {
            violations.push(format!(
                "{:?} started at {} ms and returned version {version}, but {previous} had been returned before",
                operation.kind, operation.start
            ));
        }
    }
}

/// Acknowledged changes are in the log; rejected ones were never applied.
fn check_durability(sim: &Sim, violations: &mut Vec<String>) {
    let history = sim.history.borrow();
    let applied: BTreeSet<ProposalId> = history.applied_entries.values().map(|(p, _)| *p).collect();
    for operation in &sim.operations {
        if operation.was_applied() && !applied.contains(&operation.proposal_id) {
            violations.push(format!(
                "change {} was acknowledged but never applied",
                operation.proposal_id
            ));
        }
        if operation.result == OperationResult::Dropped
            && !operation.retried
            && applied.contains(&operation.proposal_id)
        {
            violations.push(format!(
                "change {} was rejected but applied",
                operation.proposal_id
            ));
        }
    }
}

/// After healing, all running nodes have the same state, which includes every
/// acknowledged change.
pub fn check_convergence(sim: &Sim) -> Vec<String> {
    let mut violations = Vec::new();
    let mut images: Vec<(usize, Vec<u8>)> = Vec::new();
    let acknowledged_versions = sim
        .operations
        .iter()
        .filter(|operation| operation.was_applied())
        .filter_map(|operation| operation.observed_version());
    let highest_acknowledged = acknowledged_versions.max().unwrap_or(0);
    for (i, node) in sim.nodes.iter().enumerate() {
        let Some(state) = node.replicated_state() else {
            continue;
        };
        if state.version() < highest_acknowledged {
            violations.push(format!(
                "node {i} is at version {}, but {highest_acknowledged} was acknowledged",
                state.version()
            ));
        }
        images.push((i, state.image()));
    }
    if images.windows(2).any(|p| p[0].1 != p[1].1) {
        violations.push("replicated states differ after healing".into());
    }
    violations
}
