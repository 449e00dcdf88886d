//! Operators' proposals under faults: every history of proposals and reads is
//! linearizable as a register with compare-and-set by version.

use super::*;
use sorreldoor::invariants::{disable_only, Invariant};
use testbed::site::linearizability::{violation, Answer, Call, Operation};
use testbed::site::{FaultMix, OperatorFaults, INITIAL_STATE};

const FAULTS: OperatorFaults = OperatorFaults {
    lost_answer_percent: 25,
    crash_on_commit_percent: 10,
    pending_base_percent: 25,
    resend_percent: 60,
};

/// Cores crash, freeze, are partitioned and have slow disks while operators propose.
fn under_random_faults(seed: u64) -> World {
    let mut world = ready_world(seed);
    world.operator_faults = FAULTS;
    let end = world.now + 20_000;
    world.run_operators(end);
    let faults = FaultMix {
        cores: true,
        links: true,
        clocks: true,
        max_interval_ms: 1500,
        ..FaultMix::none()
    };
    world.inject_faults(faults, end);
    world.run_for(22_000);
    world.heal();
    world.run_for(20_000);
    world
}

/// Answers are lost and proposals are resent late, without other faults.
fn with_lost_answers(seed: u64) -> World {
    let mut world = ready_world(seed);
    world.operator_faults = OperatorFaults {
        crash_on_commit_percent: 0,
        ..FAULTS
    };
    let end = world.now + 8000;
    world.run_operators(end);
    world.run_for(30_000);
    world
}

/// All cores crash together repeatedly, with frequent snapshots.
fn with_restarts(seed: u64) -> World {
    let preset = preset_for(seed);
    let doc = testbed::fleet::configuration(&preset);
    let mut world =
        World::ready_customized(seed, preset, &doc, |world| world.snapshot_entries = Some(4));
    world.operator_faults = FAULTS;
    let end = world.now + 12_000;
    world.run_operators(end);
    while world.now < end {
        let gap_ms = 500 + world.rng.below(2000);
        world.run_for(gap_ms);
        for c in world.cores() {
            world.crash(c);
            world.start(c);
        }
    }
    world.heal();
    world.run_for(20_000);
    world
}

/// The leader is repeatedly partitioned from the other cores, in one direction or both;
/// operators reach both sides.
fn with_partitioned_leader(seed: u64) -> World {
    let mut world = ready_world(seed);
    world.operator_faults = FAULTS;
    let end = world.now + 18_000;
    world.run_operators(end);
    while world.now < end {
        world.run_for(1500);
        let leader = world.leader().unwrap_or(0);
        let direction = world.rng.below(3);
        for other in world.cores().into_iter().filter(|c| *c != leader) {
            if direction != 1 {
                world.blocked_links.insert((leader, other));
            }
            if direction != 2 {
                world.blocked_links.insert((other, leader));
            }
        }
        world.run_for(4000);
        world.heal();
    }
    world.run_for(20_000);
    world
}

fn violations(world: &World) -> Option<String> {
    violation(&world.proposals.history(), INITIAL_STATE)
}

fn assert_linearizable(run: fn(u64) -> World, of: std::ops::Range<u64>) {
    let (mut committed, mut rejected, mut open) = (0, 0, 0);
    for seed in seeds(of) {
        let world = run(seed);
        let violations = violations(&world);
        assert!(violations.is_none(), "seed {seed}: {violations:?}");
        let counts = world.proposals.counts();
        committed += counts.0;
        rejected += counts.1;
        open += counts.2;
    }
    println!(
        "{committed} attempts committed, {rejected} rejected, {open} without a definite answer"
    );
    assert!(
        committed > 100 && rejected > 50 && open > 50,
        "too few attempts of some kind: {committed}, {rejected}, {open}"
    );
}

#[test]
fn linearizable_under_random_faults() {
    assert_linearizable(under_random_faults, 5000..5020);
}

#[test]
fn linearizable_when_answers_are_lost() {
    assert_linearizable(with_lost_answers, 5100..5120);
}

#[test]
fn linearizable_over_restarts_and_snapshots() {
    assert_linearizable(with_restarts, 5200..5220);
}

#[test]
fn linearizable_when_the_leader_is_partitioned() {
    assert_linearizable(with_partitioned_leader, 5300..5320);
}

/// With the invariant broken some seed shows a violation; with it upheld, the
/// same run is linearizable.
fn assert_detected(rule: Invariant, run: fn(u64) -> World) {
    let detected = |seed: &u64| {
        disable_only(Some(rule));
        let violations = violations(&run(*seed));
        disable_only(None);
        violations.map(|violation| println!("{}: seed {seed}: {violation}", rule.name()))
    };
    let seed = (0..30).find(|seed| detected(seed).is_some());
    let seed = seed.unwrap_or_else(|| panic!("{} broken was not detected", rule.name()));
    assert_eq!(violations(&run(seed)), None, "{} upheld", rule.name());
}

#[test]
fn an_unchecked_base_is_detected() {
    assert_detected(Invariant::BaseVersion, with_lost_answers);
}

#[test]
fn a_committed_proposal_applied_twice_is_detected() {
    assert_detected(Invariant::AppliedOnce, with_lost_answers);
}

#[test]
fn a_remembered_rejection_is_detected() {
    assert_detected(Invariant::RejectionNotRecorded, with_lost_answers);
}

#[test]
fn an_early_rejection_is_detected() {
    assert_detected(Invariant::FutureBase, with_lost_answers);
}

#[test]
fn committed_proposals_lost_with_a_snapshot_are_detected() {
    assert_detected(Invariant::AppliedIdsInSnapshot, with_restarts);
}

fn compare_and_set(
    start: u64,
    end: Option<u64>,
    (id, base, version): (u128, u64, u64),
    answer: Answer,
) -> Operation {
    Operation {
        start,
        end,
        call: Call::CompareAndSet { id, base, version },
        answer,
    }
}

fn read(start: u64, version: u64, content: u128) -> Operation {
    Operation {
        start,
        end: Some(start + 1),
        call: Call::Read,
        answer: Answer::Value { version, content },
    }
}

#[test]
fn the_checker_distinguishes_linearizable_histories() {
    let (answer, b) = ((1, 1, 3), (2, 1, 3));
    let committed = Answer::Committed(3);
    let linearizable = [
        // the unanswered copy took effect late
        vec![
            compare_and_set(0, None, answer, Answer::Unknown),
            read(5, 1, 0),
            read(9, 3, 1),
        ],
        vec![
            compare_and_set(0, Some(9), answer, committed.clone()),
            compare_and_set(1, Some(8), b, Answer::Rejected),
        ],
        vec![
            compare_and_set(0, Some(2), answer, committed.clone()),
            compare_and_set(5, Some(8), answer, committed.clone()),
        ],
    ];
    for history in linearizable {
        assert_eq!(violation(&history, INITIAL_STATE), None, "{history:?}");
    }
    let not_linearizable = [
        // both of two rivals were acknowledged
        vec![
            compare_and_set(0, Some(9), answer, committed.clone()),
            compare_and_set(1, Some(8), b, committed.clone()),
        ],
        // an acknowledged proposal is not read, or its retry is rejected
        vec![
            compare_and_set(0, Some(2), answer, committed.clone()),
            read(3, 1, 0),
        ],
        vec![
            compare_and_set(0, Some(2), answer, committed.clone()),
            compare_and_set(3, Some(4), answer, Answer::Rejected),
        ],
        // rejected, but read as committed
        vec![
            compare_and_set(0, Some(2), answer, Answer::Rejected),
            read(3, 3, 1),
        ],
        // rejected though it might have been committed
        vec![compare_and_set(0, Some(2), answer, Answer::Rejected)],
        // the proposal was never made, or took effect before it was made
        vec![read(3, 3, 7)],
        vec![
            read(1, 3, 1),
            compare_and_set(5, Some(7), answer, committed.clone()),
        ],
        // a later read returns an older version
        vec![
            compare_and_set(0, None, answer, Answer::Unknown),
            read(5, 3, 1),
            read(9, 1, 0),
        ],
    ];
    for history in not_linearizable {
        assert!(violation(&history, INITIAL_STATE).is_some(), "{history:?}");
    }
}
