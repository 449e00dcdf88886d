//! Operators' evacuations, which name neither an id nor a version: a call that is
//! delayed has no effect once newer ones were acknowledged.

use super::*;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;
use sorreldoor::wire::ProposalOutcome;

const ZONE: u16 = 0;
/// Pause before an operator sends a call again.
const RETRY_PAUSE_MS: Millis = 100;
/// Time in which a call must be acknowledged by a core with a quorum.
const ACK_MS: Millis = 4000;
/// Longer than a caller waits, and than the pages' longest freeze.
const FREEZE_MS: Millis = 9000;
/// Time in which a delayed call has taken effect at all cores, if it has any.
const SETTLE_MS: Millis = 8000;

/// Sends a call to `core` until it is acknowledged, as an operator does.
fn evacuate_until_acknowledged(world: &mut World, core: usize, evacuated: bool) {
    let deadline = world.now + ACK_MS;
    while world.now < deadline {
        let call = world.evacuate(core, ZONE, evacuated);
        let end = world.now + 1000;
        world.run_until(end, |world| world.changes[call].outcome.is_some());
        if was_committed(world, call) {
            return;
        }
        world.run_for(RETRY_PAUSE_MS);
    }
    panic!("{evacuated} was not acknowledged within {ACK_MS} ms");
}

/// Whether any core has the zone evacuated, and whether all have.
fn evacuated_at_cores(world: &World) -> (bool, bool) {
    let cores = world.cores().into_iter();
    let states = cores.filter_map(|core| world.controller(core)?.consensus());
    let evacuated: Vec<bool> = states
        .map(|consensus| consensus.state_machine().is_evacuated(ZONE))
        .collect();
    (evacuated.contains(&true), !evacuated.contains(&false))
}

fn assert_evacuated(world: &World, expected: bool, context: &str) {
    let (any, all) = evacuated_at_cores(world);
    assert_eq!((any, all), (expected, expected), "{context}");
}

/// A core other than `core`.
fn other_core(world: &World, core: usize) -> usize {
    let mut others = world.cores().into_iter().filter(|other| *other != core);
    others.next().expect("a second core")
}

/// The seed that shows the fault with an invariant disabled.
fn detected_by(
    invariant: Invariant,
    seeds: std::ops::Range<u64>,
    fails: impl Fn(u64) -> bool,
) -> Option<u64> {
    disable_only(Some(invariant));
    let seed = seeds.into_iter().find(|seed| fails(*seed));
    disable_only(None);
    println!("{}: detected by seed {seed:?}", invariant.name());
    seed
}

/// An evacuation is pending at a partitioned core while another is acknowledged and the
/// zone readmitted; then the partition heals.
fn with_delayed_evacuation(seed: u64) -> World {
    let mut world = ready_world(seed);
    let leader = world.leader().unwrap_or(0);
    let isolated = other_core(&world, leader);
    for other in world.cores() {
        if other != isolated {
            world.partition_pair(isolated, other);
        }
    }
    world.evacuate(isolated, ZONE, true);
    world.run_for(300);
    evacuate_until_acknowledged(&mut world, leader, true);
    evacuate_until_acknowledged(&mut world, leader, false);
    world.heal();
    world.run_for(SETTLE_MS);
    world
}

#[test]
fn a_delayed_duplicate_does_not_evacuate_the_zone_again() {
    for seed in seeds(5400..5420) {
        let world = with_delayed_evacuation(seed);
        assert_evacuated(&world, false, &format!("seed {seed}"));
    }
    let detected = detected_by(Invariant::ConditionalEvacuation, 5400..5420, |seed| {
        evacuated_at_cores(&with_delayed_evacuation(seed)).0
    });
    assert!(detected.is_some(), "evacuate-once broken was not detected");
}

/// A core is frozen when it gets a call for `late`. Another core acknowledges the same
/// call, and then the opposite one. The frozen core reads its call when it wakes.
fn with_call_read_after_freeze(seed: u64, late: bool) -> World {
    let mut world = ready_world(seed);
    let leader = world.leader().unwrap_or(0);
    let other = other_core(&world, leader);
    let freezes_leader = seed % 4 == 3;
    let (frozen, awake) = if freezes_leader {
        (leader, other)
    } else {
        (other, leader)
    };
    evacuate_until_acknowledged(&mut world, awake, !late);
    world.run_for(1500);
    let clock_stops = seed % 2 == 1;
    world.freeze(frozen, FREEZE_MS, clock_stops);
    let wakes_at = world.now + FREEZE_MS;
    world.run_for(100);
    world.evacuate(frozen, ZONE, late);
    world.run_for(1100);
    evacuate_until_acknowledged(&mut world, awake, late);
    evacuate_until_acknowledged(&mut world, awake, !late);
    assert!(
        world.now < wakes_at,
        "seed {seed}: the core is still frozen"
    );
    world.run_for(wakes_at - world.now + SETTLE_MS);
    world
}

/// Guards against an old call that a core reads after a freeze and carries out as new.
#[test]
fn a_call_read_after_a_freeze_does_not_undo_a_newer_one() {
    for late in [false, true] {
        for seed in seeds(5440..5460) {
            let world = with_call_read_after_freeze(seed, late);
            let context = format!("seed {seed}: the last call asked for {}", !late);
            assert_evacuated(&world, !late, &context);
        }
    }
    let detected = detected_by(Invariant::EvacuationBoundWhenSent, 5440..5460, |seed| {
        !evacuated_at_cores(&with_call_read_after_freeze(seed, false)).1
    });
    assert!(detected.is_some(), "evacuate-when-sent was not detected");
}

/// A core has accepted a connection. Its call for `late` arrives seconds later, after
/// others were acknowledged by the same core.
fn with_call_delayed_on_connection(seed: u64, late: bool) -> World {
    let mut world = ready_world(seed);
    let cores = world.cores();
    let core = cores[seed as usize % cores.len()];
    evacuate_until_acknowledged(&mut world, core, !late);
    world.run_for(1500);
    world.evacuate_late(core, ZONE, late, 4000);
    world.run_for(1000);
    evacuate_until_acknowledged(&mut world, core, late);
    evacuate_until_acknowledged(&mut world, core, !late);
    world.run_for(3000 + SETTLE_MS);
    world
}

/// Guards against an old call whose bytes arrive late, by a slow or lossy link.
#[test]
fn a_call_that_arrives_late_on_its_connection_does_not_undo_a_newer_one() {
    for late in [false, true] {
        for seed in seeds(5470..5480) {
            let world = with_call_delayed_on_connection(seed, late);
            let context = format!("seed {seed}: the last call asked for {}", !late);
            assert_evacuated(&world, !late, &context);
        }
    }
    let detected = detected_by(Invariant::EvacuationBoundWhenSent, 5470..5480, |seed| {
        !evacuated_at_cores(&with_call_delayed_on_connection(seed, false)).1
    });
    assert!(detected.is_some(), "evacuate-when-sent was not detected");
}

/// The zone's state is `!late`. A call for `late` is pending at a partitioned core. Then
/// a call for `!late`, without an effect, is acknowledged; then the partition heals. With
/// `bound_early` that call arrives on a connection from before the zone's last change.
fn with_acknowledged_repetition(seed: u64, late: bool, bound_early: bool) -> World {
    let mut world = ready_world(seed);
    let leader = world.leader().unwrap_or(0);
    let isolated = other_core(&world, leader);
    evacuate_until_acknowledged(&mut world, leader, late);
    world.run_for(1500);
    let early_call = bound_early.then(|| world.evacuate_late(leader, ZONE, !late, 3500));
    evacuate_until_acknowledged(&mut world, leader, !late);
    world.run_for(1500);
    for other in world.cores() {
        if other != isolated {
            world.partition_pair(isolated, other);
        }
    }
    world.evacuate(isolated, ZONE, late);
    match early_call {
        None => evacuate_until_acknowledged(&mut world, leader, !late),
        Some(call) => {
            world.run_for(2500);
            assert!(was_committed(&world, call), "seed {seed}: not acknowledged");
        }
    }
    world.heal();
    world.run_for(SETTLE_MS);
    world
}

/// Guards against a pending call that undoes a newer one which was acknowledged without
/// an effect, as the zone was in the state that it asked for.
#[test]
fn a_pending_call_does_not_undo_a_newer_one_without_effect() {
    for (late, bound_early) in [(false, false), (true, false), (false, true), (true, true)] {
        for seed in seeds(5490..5500) {
            let world = with_acknowledged_repetition(seed, late, bound_early);
            let context = format!(
                "seed {seed}, {bound_early}: the last call asked for {}",
                !late
            );
            assert_evacuated(&world, !late, &context);
        }
    }
    let detected = detected_by(Invariant::EvacuationCounted, 5490..5500, |seed| {
        !evacuated_at_cores(&with_acknowledged_repetition(seed, false, false)).1
    });
    assert!(detected.is_some(), "evacuate-counted was not detected");
}

/// Guards against taking the oldest count that is kept for that of an even older time.
#[test]
fn a_call_older_than_the_kept_history_has_no_effect() {
    let mut world = ready_world(5486);
    let core = world.leader().unwrap_or(0);
    let call = world.evacuate_late(core, ZONE, true, 300_000);
    for evacuated in [true, false] {
        evacuate_until_acknowledged(&mut world, core, evacuated);
    }
    world.run_for(200_000);
    for evacuated in [true, false] {
        evacuate_until_acknowledged(&mut world, core, evacuated);
    }
    world.run_for(120_000);
    assert_eq!(world.changes[call].outcome, Some(ProposalOutcome::Unknown));
    assert_evacuated(&world, false, "an old call");
}

/// Guards against a call that would hold for whatever state it meets.
#[test]
fn an_evacuation_without_a_condition_is_rejected() {
    let mut world = ready_world(5487);
    let evacuated = true;
    let (core, edge) = (world.cores()[0], world.cores().len());
    for process in [core, edge] {
        let command = Command::EvacuateUnversioned {
            zone: ZONE,
            evacuated,
        };
        let change = world.change(process, command);
        let end = world.now + 5000;
        world.run_until(end, |world| world.changes[change].outcome.is_some());
        let outcome = &world.changes[change].outcome;
        assert_eq!(*outcome, Some(ProposalOutcome::Rejected));
    }
    world.run_for(SETTLE_MS);
    assert_evacuated(&world, false, "without a condition");
}

/// A zone that changes again and again is never stuck: each call is acknowledged.
#[test]
fn every_call_of_a_series_is_acknowledged() {
    for seed in seeds(5480..5484) {
        let mut world = ready_world(seed);
        let cores = world.cores();
        for step in 0..12 {
            let core = cores[step % cores.len()];
            let evacuated = step % 2 == 0;
            evacuate_until_acknowledged(&mut world, core, evacuated);
        }
        world.run_for(SETTLE_MS);
        assert_evacuated(&world, false, &format!("seed {seed}"));
    }
}
