//! Random faults on a simulated consensus group, by seed: no invariant is violated,
//! and the checker detects each injected fault of the product.

use sorreldoor::consensus::{InjectedFault, Timing};
use sorreldoor::types::RegionId;
use testbed::sim::{check_convergence, check_history, run_with_faults, Sim};

fn run(seed: u64, preset: &[RegionId], broken: InjectedFault) -> Vec<String> {
    let mut timing = Timing::for_ack(2000);
    timing.injected_fault = broken;
    // frequent snapshots, so that a lagging node is sent one
    timing.snapshot_entries = 5;
    let mut s = Sim::new(seed, preset, timing);
    s.max_events = 400_000;
    s.loss_percent = seed % 7;
    s.duplicate_percent = seed % 5;
    s.jitter_ms = 1 + seed % 40;
    run_with_faults(&mut s, 12_000);
    let mut w = check_history(&s);
    w.extend(check_convergence(&s));
    // after healing the group must commit again
    let at = (seed % preset.len() as u64) as usize;
    let version = s.nodes[at].replicated_state().map_or(0, |r| r.version());
    let p = s.propose_change(at, version);
    s.run_for(4000);
    if !s.operation(p).was_applied() {
        w.push(format!(
            "a change after healing: expected it applied, got {:?}",
            s.operation(p).result
        ));
    }
    w
}

fn assert_no_violations(preset: &[RegionId], seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let w = run(seed, preset, InjectedFault::None);
        assert!(w.is_empty(), "seed {seed}, regions {preset:?}: {w:#?}");
    }
}

#[test]
fn random_faults_over_two_cores_and_one() {
    assert_no_violations(&[0, 0, 1], 0..150);
}

#[test]
fn random_faults_over_one_region() {
    assert_no_violations(&[0, 0, 0], 1000..1060);
}

#[test]
fn random_faults_over_three_regions() {
    assert_no_violations(&[0, 1, 2], 2000..2060);
}

#[test]
fn random_faults_over_two_regions_of_three_cores() {
    assert_no_violations(&[0, 0, 0, 1, 1, 1], 3000..3040);
}

/// Reads at an isolated and perhaps frozen leader, while its successor commits
/// changes; returns the violations.
fn reads_at_a_deposed_leader(seed: u64, broken: InjectedFault, frozen: bool) -> Vec<String> {
    let mut timing = Timing::for_ack(2000);
    timing.injected_fault = broken;
    let mut s = Sim::new(seed, &[0, 0, 0], timing);
    let old = s.wait_for_leader();
    s.isolate(old);
    let end = s.now + 3000;
    if frozen {
        // it resumes as the leader that it was, with buffered reads
        s.freeze(old, 2500);
    }
    while s.now < end {
        let next = s.leader().filter(|l| *l != old);
        if let Some(next) = next {
            let base = s.highest_version();
            s.propose_change(next, base);
        }
        s.run_for(20);
        s.read(old);
    }
    s.heal();
    s.run_for(6000);
    check_history(&s)
}

#[test]
fn a_deposed_leader_answers_no_read_with_an_old_version() {
    for seed in 0..40 {
        for frozen in [false, true] {
            let wrong = reads_at_a_deposed_leader(seed, InjectedFault::None, frozen);
            assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
        }
    }
    let without_proof =
        |seed: u64| reads_at_a_deposed_leader(seed, InjectedFault::SkipReadProof, true);
    let caught = (0..40).find(|seed| !without_proof(*seed).is_empty());
    println!("reads without proof: detected with seed {caught:?}");
    assert!(caught.is_some());
}

/// Each injected fault must be detected. `SkipReadProof` needs a run of its own:
/// a leader steps down before another can be elected, so only one that was frozen
/// returns an old version.
#[test]
fn the_checker_detects_every_injected_fault() {
    let broken = [
        InjectedFault::SkipVoterMajority,
        InjectedFault::SendBeforeSync,
        InjectedFault::SkipReadProof,
        InjectedFault::VoteForStaleLog,
    ];
    for b in broken {
        let caught = (0..400).find(|seed| {
            let s = *seed;
            let run = std::panic::catch_unwind(move || match b {
                InjectedFault::SkipReadProof => reads_at_a_deposed_leader(s, b, true),
                _ => run(s, &[0, 0, 1], b),
            });
            // a reducer that panics or loops is detected as well
            run.map_or(true, |w| !w.is_empty())
        });
        println!("{b:?} detected by seed {caught:?}");
        assert!(caught.is_some(), "{b:?} was not detected");
    }
}
