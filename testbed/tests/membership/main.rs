//! Every pair of faults in a small scope, at many distances in time: three
//! voters and up to two added nodes, the real consensus and membership reducers.
//!
//! Each history runs to its end: two faults, then, after recovery and catch-up,
//! the loss of each machine in turn. Whatever the two faults did, no term has
//! two leaders, no acknowledged entry is lost, and with any one machine lost an
//! entry still commits.

mod cluster;

use cluster::{Cluster, Fault, FAULTS, STEP_MS, SYNC_MS};
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
    /// No more is lost at once than the group must tolerate.
    tolerated: bool,
}

/// The faults injected into the reducers themselves.
#[derive(Clone, Copy)]
struct Mutant {
    broken: InjectedFault,
    unbounded_voters: bool,
}

const NO_MUTATION: Mutant = Mutant {
    broken: InjectedFault::None,
    unbounded_voters: false,
};

/// The violation that one history shows, if any.
fn violation_of(history: History, mutant: Mutant) -> Option<String> {
    let History { regions, gap, .. } = history;
    let mut cluster = Cluster::new(7 + gap, regions, mutant.broken);
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
    // proposals during the faults; their outcome does not matter
    for at in 0..3 {
        let at = cluster.slots[at];
        if cluster.sim.nodes[at].is_running() {
            let base = cluster.sim.highest_version();
            cluster.sim.propose_change(at, base);
        }
        cluster.run_for(200);
    }
    cluster.run_for(2500 + SYNC_MS);
    let failure = |what: &str, cluster: &Cluster| {
        Some(format!(
            "{history:?}: {what}; {}",
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
        cluster.run_for(SYNC_MS);
    }
    let violations = check_history(&cluster.sim);
    if violations.is_empty() {
        return None;
    }
    failure(&format!("{violations:?}"), &cluster)
}

/// All pairs whose second fault may follow after `gap`: a second machine may
/// fail only after the first has recovered, but a total power loss may come at
/// any moment except while a wiped node recovers.
fn pairs(gap: Millis) -> Vec<[(usize, Fault); 2]> {
    let all: Vec<(usize, Fault)> = (0..3)
        .flat_map(|slot| FAULTS.map(|t| (slot, t)))
        .filter(|(slot, t)| *t != Fault::TotalPowerLoss || *slot == 0)
        .collect();
    let together = |a: &(usize, Fault), b: &(usize, Fault)| {
        let first_fault_over = gap >= 2500 + SYNC_MS;
        first_fault_over || (b.1 == Fault::TotalPowerLoss && a.1 != Fault::DiskWipe)
    };
    all.iter()
        .flat_map(|a| all.iter().map(move |b| [*a, *b]))
        .filter(|[a, b]| together(a, b))
        .collect()
}

/// Two faults of one machine or of two, too close to each other to be
/// tolerated: the group may lose its majority, but no acknowledged entry.
fn overlapping_pairs() -> Vec<[(usize, Fault); 2]> {
    let all = (0..2).flat_map(|slot| FAULTS.map(|t| (slot, t)));
    let first_slot_faults = FAULTS.map(|t| (0, t));
    all.flat_map(|b| first_slot_faults.map(|a| [a, b]))
        .collect()
}

/// Runs histories on several threads; returns all violations.
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
                    .expect("no panic with it")
                    .extend(violation);
            });
        }
    });
    violations.into_inner().expect("no panic with it")
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
    let gap = 2500 + SYNC_MS;
    histories(&pairs(gap), gap, true)
}

fn assert_no_violations(all: &[History]) {
    println!("{} histories", all.len());
    let violations = explore(all, NO_MUTATION);
    let first_violation = violations.first();
    assert!(
        violations.is_empty(),
        "{} wrong, the first: {first_violation:#?}",
        violations.len()
    );
}

#[test]
fn any_two_sequential_faults_leave_a_majority() {
    assert_no_violations(&sequential_histories());
}

/// All machines lose power at any moment of a membership change.
#[test]
fn total_power_loss_at_any_moment_of_a_change_is_tolerated() {
    let mut all = Vec::new();
    for gap in (0..2600).step_by(40) {
        let mut pairs = pairs(gap);
        pairs.retain(|p| p[0].1 != Fault::TotalPowerLoss);
        all.extend(histories(&pairs, gap, true));
    }
    assert_no_violations(&all);
}

/// More than must be tolerated: there may be no majority any more, but no term
/// has two leaders, and no acknowledged entry is lost.
#[test]
fn two_simultaneous_faults_lose_nothing() {
    let mut all = Vec::new();
    for gap in (0..2600).step_by(100) {
        all.extend(histories(&overlapping_pairs(), gap, false));
    }
    assert_no_violations(&all);
}

/// The former policy: every planned replacement adds a fourth voter.
#[test]
fn a_member_that_stays_in_the_quorum_is_found() {
    let mutant = Mutant {
        unbounded_voters: true,
        ..NO_MUTATION
    };
    let violations = explore(&sequential_histories(), mutant);
    println!(
        "{} wrong, the first: {:?}",
        violations.len(),
        violations.first()
    );
    let no_majority = violations
        .iter()
        .filter(|w| w.contains("no entry committed"));
    assert!(no_majority.count() > 0);
}
