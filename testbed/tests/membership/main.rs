//! Explores all pairs of faults of a cluster of three voters and up to two added
//! nodes, at many intervals.
//!
//! After both faults and the catch-up each machine is lost in turn: no term may
//! have two leaders, no acknowledged entry may be lost, and an entry must commit
//! with any one machine lost.

mod cluster;

use cluster::{Cluster, Fault, CATCH_UP_MS, FAULTS, STEP_MS};
use sorreldoor::consensus::InjectedFault;
use sorreldoor::types::{Millis, RegionId};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use testbed::sim::check_history;

/// Two faults, the time between them, and the regions of the voters.
#[derive(Clone, Copy, Debug)]
struct History {
    regions: [RegionId; 3],
    pair: [(usize, Fault); 2],
    gap: Millis,
    /// Whether an entry must commit after the faults with any one machine lost.
    tolerated: bool,
}

/// Changes of the reducers that the exploration must detect.
#[derive(Clone, Copy)]
struct Mutant {
    injected_fault: InjectedFault,
    unbounded_voters: bool,
}

const NO_MUTATION: Mutant = Mutant {
    injected_fault: InjectedFault::None,
    unbounded_voters: false,
};

/// Runs one history; returns its violation, if any.
fn violation_of(history: History, mutant: Mutant) -> Option<String> {
    let History { regions, gap, .. } = history;
    let mut cluster = Cluster::new(7 + gap, regions, mutant.injected_fault);
    cluster.unbounded_voters = mutant.unbounded_voters;
    let [(first_slot, first_fault), (second_slot, second_fault)] = history.pair;
    if !cluster.schedule_fault(first_slot, first_fault) {
        return None;
    }
    cluster.commits_in_time(cluster.slots[(first_slot + 1) % 3]);
    let remaining_gap = gap.saturating_sub(STEP_MS);
    cluster.run_for(remaining_gap);
    if !cluster.schedule_fault(second_slot, second_fault) {
        return None;
    }
    // proposals during the faults, with any outcome
    for at in 0..3 {
        let at = cluster.slots[at];
        if cluster.sim.nodes[at].is_running() {
            let base = cluster.sim.highest_version();
            cluster.sim.propose_change(at, base);
        }
        cluster.run_for(200);
    }
    cluster.run_for(2500 + CATCH_UP_MS);
    let failure = |problem: &str, cluster: &Cluster| {
        Some(format!(
            "{history:?}: {problem}; members: {}",
            cluster.describe_members()
        ))
    };
    let slots_to_lose = if history.tolerated { 0..3 } else { 0..0 };
    for slot in slots_to_lose {
        let node = cluster.slots[slot];
        cluster.sim.crash(node);
        let other = cluster.slots[(slot + 1) % 3];
        if !cluster.commits_in_time(other) {
            return failure(
                &format!("no entry committed with machine {slot} lost"),
                &cluster,
            );
        }
        cluster.sim.start(node);
        cluster.run_for(CATCH_UP_MS);
    }
    let violations = check_history(&cluster.sim);
    if violations.is_empty() {
        return None;
    }
    failure(&format!("{violations:?}"), &cluster)
}

/// The pairs whose second fault is tolerated after `gap`: any fault after the first
/// machine has recovered, and a total power loss at any time except while a wiped
/// machine recovers.
fn pairs(gap: Millis) -> Vec<[(usize, Fault); 2]> {
    let all: Vec<(usize, Fault)> = (0..3)
        .flat_map(|slot| FAULTS.map(|fault| (slot, fault)))
        .filter(|(slot, fault)| *fault != Fault::TotalPowerLoss || *slot == 0)
        .collect();
    let is_tolerated = |a: &(usize, Fault), b: &(usize, Fault)| {
        let has_recovered = gap >= 2500 + CATCH_UP_MS;
        has_recovered || (b.1 == Fault::TotalPowerLoss && a.1 != Fault::DiskWipe)
    };
    all.iter()
        .flat_map(|a| all.iter().map(move |b| [*a, *b]))
        .filter(|[a, b]| is_tolerated(a, b))
        .collect()
}

/// Pairs of faults of one machine or two without time to recover: the group may
/// lose its majority, but no acknowledged entry.
fn overlapping_pairs() -> Vec<[(usize, Fault); 2]> {
    let all = (0..2).flat_map(|slot| FAULTS.map(|fault| (slot, fault)));
    let first_slot_faults = FAULTS.map(|fault| (0, fault));
    all.flat_map(|b| first_slot_faults.map(|a| [a, b]))
        .collect()
}

/// Runs histories on several threads; returns their violations.
fn explore(all: &[History], mutant: Mutant) -> Vec<String> {
    const THREADS: usize = 4;
    let next = AtomicUsize::new(0);
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let i = next.fetch_add(1, Ordering::Relaxed);
                let Some(history) = all.get(i) else {
                    return;
                };
                let violation = violation_of(*history, mutant);
                violations
                    .lock()
                    .expect("no thread panicked while it held the lock")
                    .extend(violation);
            });
        }
    });
    violations
        .into_inner()
        .expect("no thread panicked while it held the lock")
}

const REGIONS: [[RegionId; 3]; 3] = [[0, 0, 0], [0, 0, 1], [0, 1, 2]];

fn histories(pairs: &[[(usize, Fault); 2]], gap: Millis, tolerated: bool) -> Vec<History> {
    let all = REGIONS
        .iter()
        .flat_map(|regions| pairs.iter().map(move |pair| (*regions, *pair)));
    all.map(|(regions, pair)| History {
        regions,
        pair,
        gap,
        tolerated,
    })
    .collect()
}

fn sequential_histories() -> Vec<History> {
    let gap = 2500 + CATCH_UP_MS;
    histories(&pairs(gap), gap, true)
}

fn assert_no_violations(all: &[History]) {
    println!("{} histories", all.len());
    let violations = explore(all, NO_MUTATION);
    let first_violation = violations.first();
    assert!(
        violations.is_empty(),
        "{} histories with a violation, the first: {first_violation:#?}",
        violations.len()
    );
}

#[test]
fn entries_commit_after_any_two_sequential_faults() {
    assert_no_violations(&sequential_histories());
}

/// All machines lose power at some moment of the recovery from another fault.
#[test]
fn entries_commit_after_a_total_power_loss_during_any_recovery() {
    let mut all = Vec::new();
    for gap in (0..2600).step_by(40) {
        let mut pairs = pairs(gap);
        pairs.retain(|p| p[0].1 != Fault::TotalPowerLoss);
        all.extend(histories(&pairs, gap, true));
    }
    assert_no_violations(&all);
}

/// The majority may be lost, but no term may have two leaders, and no acknowledged
/// entry may be lost.
#[test]
fn two_overlapping_faults_lose_no_acknowledged_entry() {
    let mut all = Vec::new();
    for gap in (0..2600).step_by(100) {
        all.extend(histories(&overlapping_pairs(), gap, false));
    }
    assert_no_violations(&all);
}

/// With the mutant every planned replacement adds a fourth voter.
#[test]
fn a_policy_without_a_target_number_of_voters_is_detected() {
    let mutant = Mutant {
        unbounded_voters: true,
        ..NO_MUTATION
    };
    let violations = explore(&sequential_histories(), mutant);
    println!(
        "{} histories with a violation, the first: {:?}",
        violations.len(),
        violations.first()
    );
    let no_majority = violations
        .iter()
        .filter(|violation| violation.contains("no entry committed"));
    assert!(no_majority.count() > 0);
}
