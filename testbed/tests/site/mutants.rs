//! Mutation tests of the checker: each of the product's invariants is broken in
//! turn, and the checker must report it. With the invariant upheld, the same
//! runs must show no violation.

use super::configurations::configuration_changes;
use super::*;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::types::Millis;
use testbed::site::FaultMix;

type Run = fn(u64) -> World;

/// Asserts that some seed shows a violation with the expected text if the invariant is
/// broken, and none at all if it is upheld.
fn assert_detected(invariant: Invariant, expected: &str, run: Run) {
    disable_only(Some(invariant));
    let all_violations = |world: &World| {
        let mut all = all_violations(world);
        // configurations with another slow start violate this check
        all.extend(
            world
                .slow_start_violations()
                .into_iter()
                .filter(|_| invariant == Invariant::SlowStart),
        );
        all
    };
    let seed = (0..30).find(|seed| {
        all_violations(&run(*seed))
            .iter()
            .any(|violation| violation.contains(expected))
    });
    disable_only(None);
    println!(
        "{}: detected by seed {seed:?} ({expected})",
        invariant.name()
    );
    let seed = seed.unwrap_or_else(|| panic!("{} broken was not detected", invariant.name()));
    let with_invariant = all_violations(&run(seed));
    assert!(
        with_invariant.is_empty(),
        "{} upheld: {with_invariant:#?}",
        invariant.name()
    );
}

fn all_violations(world: &World) -> Vec<String> {
    let mut all = check(world);
    all.extend(world.lost_acknowledged_changes());
    all.extend(world.retry_budget_violations());
    all
}

/// Heals all faults and leaves all requests time to finish.
fn heal_and_finish(world: &mut World) {
    world.heal();
    world.run_for(60_000);
}

/// Clients of routes that are not idempotent which were not served and have
/// not retried, by the age of their requests.
fn unserved_clients(world: &World, of_age: impl Fn(Millis) -> bool) -> Vec<u64> {
    let unserved = world
        .clients
        .iter()
        .filter(|(_, c)| c.route != "page" && !c.retried && !ok(&c.outcome))
        .filter(|(_, c)| of_age(world.now - c.start));
    unserved.map(|(n, _)| *n).collect()
}

/// An edge partitioned, one frozen, while a zone is evacuated.
fn evacuation_behind_a_partition(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 14_000;
    world.traffic(120, end, |_, _| true);
    let (isolated, frozen) = (world.edges()[1], world.edges()[6]);
    world.isolate(isolated);
    world.freeze(frozen, 6000, true);
    let at = world.edges()[0];
    world.change(at, zone_change(1, 0, true));
    world.run_for(15_000);
    heal_and_finish(&mut world);
    world
}

/// A core with the sessions of its region's edges, partitioned from the others.
fn partitioned_core(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 14_000;
    world.traffic(120, end, |_, _| true);
    let e = world.edges()[8];
    let at = world
        .edge_controller(e)
        .and_then(|controller| controller.pull.session_addr);
    let alone = world
        .cores()
        .into_iter()
        .find(|c| world.processes[*c].addr == at);
    let alone = alone.expect("an edge that serves has a core");
    for c in world.cores() {
        if c != alone {
            world.partition_pair(c, alone);
        }
    }
    world.after(3000, move |world| {
        let at = world.cores().into_iter().find(|c| *c != alone).unwrap_or(0);
        world.change(at, zone_change(1, 0, true));
    });
    world.run_for(15_000);
    heal_and_finish(&mut world);
    world
}

fn draining_workers(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 9000;
    world.traffic(120, end, |_, _| true);
    for k in 0..5 {
        world.drain_worker(k);
    }
    world.run_for(70_000);
    world
}

fn crashing_workers(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 10_000;
    world.traffic(100, end, |_, _| true);
    let only = FaultMix {
        workers: true,
        max_interval_ms: 100,
        ..FaultMix::none()
    };
    world.inject_faults(only, end);
    world.run_for(11_000);
    heal_and_finish(&mut world);
    world
}

/// Most workers cannot be reached from the edges, though the cores reach them.
fn unreachable_workers(seed: u64) -> World {
    let mut world = ready_world(seed);
    for e in world.edges() {
        for k in 0..world.workers.len() {
            if world.rng.chance(70) {
                world.blocked_worker_links.insert((e, k));
            }
        }
    }
    let end = world.now + 12_000;
    world.traffic(150, end, |_, _| true);
    world.run_for(80_000);
    world
}

fn returning_region(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 15_000;
    world.traffic(150, end, |_, _| true);
    let mine: Vec<usize> = (0..world.workers.len())
        .filter(|k| world.workers[*k].region == 1 && world.workers[*k].model)
        .collect();
    for k in &mine {
        world.crash_worker(*k);
    }
    world.run_for(6000);
    for k in &mine {
        world.restart_worker(*k);
    }
    world.run_for(70_000);
    world
}

/// Clients that retry under the same id at other edges, while nodes crash.
pub fn retries_elsewhere(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 12_000;
    world.traffic(60, end, |_, _| true);
    let s = FaultMix {
        clocks: false,
        changes: false,
        max_interval_ms: 400,
        ..FaultMix::all()
    };
    world.inject_faults(s, end);
    while world.now < end + 4000 {
        world.run_for(100);
        for n in unserved_clients(&world, |age_ms| age_ms > 1200) {
            let edges = world.edges();
            let e = edges[world.rng.below(edges.len() as u64) as usize];
            world.retry_request(n, e);
        }
    }
    heal_and_finish(&mut world);
    world
}

/// All cores are killed together repeatedly, while clients retry.
fn cores_killed_at_once(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 9000;
    world.traffic(150, end, |_, _| true);
    while world.now < end {
        let gap_ms = 300 + world.rng.below(900);
        world.run_for(gap_ms);
        for c in world.cores() {
            world.processes[c].disk.sync_ms = 60;
            world.crash(c);
            world.start(c);
        }
        for n in unserved_clients(&world, |age_ms| age_ms < 200) {
            let e = world.edges()[world.rng.below(9) as usize];
            world.retry_request(n, e);
        }
    }
    heal_and_finish(&mut world);
    world
}

fn races(seed: u64) -> World {
    let mut world = ready_world(seed);
    for _ in 0..20 {
        let top = world
            .cores()
            .into_iter()
            .filter_map(|c| world.version_at(c))
            .max();
        for _ in 0..3 {
            let p = world.rng.below(world.processes.len() as u64) as usize;
            let base = top.unwrap_or(0);
            let mark = world.number();
            let doc =
                testbed::fleet::configuration(&world.preset).replace("pages", &format!("p{mark}"));
            world.change(p, replacement(base, doc));
        }
        world.run_for(150);
    }
    let end = world.now + 3000;
    world.traffic(60, end, |_, _| true);
    world.run_for(60_000);
    world
}

fn changes_without_faults(seed: u64) -> World {
    configuration_changes(seed, None)
}

fn late_claims(seed: u64) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 6000;
    world.traffic(80, end, |_, _| true);
    for k in 0..world.workers.len() {
        world.workers[k].tail_ms = 2000;
    }
    for e in world.edges() {
        let (a, b) = (world.rng.below(4000), world.rng.below(3000));
        world.after(a, move |world| world.freeze(e, 300 + b, true));
    }
    world.run_for(80_000);
    world
}

#[test]
fn broken_leases_and_proofs_are_detected() {
    assert_detected(
        Invariant::Lease,
        "acted on version",
        evacuation_behind_a_partition,
    );
    assert_detected(
        Invariant::LeaseVoidAfterSuspension,
        "acted on version",
        evacuation_behind_a_partition,
    );
    assert_detected(
        Invariant::QuorumConfirmedRead,
        "acted on version",
        partitioned_core,
    );
    assert_detected(
        Invariant::EvacuatedZone,
        "evacuated zone",
        evacuation_behind_a_partition,
    );
    assert_detected(Invariant::DrainingWorker, "draining", draining_workers);
}

#[test]
fn forbidden_destinations_are_detected() {
    assert_detected(
        Invariant::AllowedWorker,
        "no share of",
        changes_without_faults,
    );
    assert_detected(Invariant::SpillLimit, "no spill", changes_without_faults);
    assert_detected(Invariant::HomeRegion, "bound to", changes_without_faults);
    assert_detected(Invariant::HomeRegion, "body of", changes_without_faults);
}

#[test]
fn repeated_executions_are_detected() {
    assert_detected(Invariant::RetryOnlyIdempotent, "times", crashing_workers);
    assert_detected(Invariant::UnknownOutcome, "was rejected", crashing_workers);
    assert_detected(Invariant::AbandonedNotSent, "was rejected", late_claims);
    assert_detected(Invariant::ClaimBeforeSend, "times", retries_elsewhere);
    assert_detected(
        Invariant::ClaimsCaughtUp,
        "times",
        super::claims::blank_core_reaches_one_peer_only,
    );
    assert_detected(Invariant::ClaimSynced, "times", cores_killed_at_once);
}

#[test]
fn exceeded_bounds_are_detected() {
    assert_detected(Invariant::RetryBudget, "retries", unreachable_workers);
    assert_detected(Invariant::SlowStart, "beyond slow start", returning_region);
}

#[test]
fn wrong_winners_of_racing_changes_are_detected() {
    assert_detected(Invariant::BaseVersion, "committed as", races);
    assert_detected(
        Invariant::RejectionLeavesNoTrace,
        "unacknowledged configuration",
        races,
    );
}

/// A change recorded as acknowledged that no core has is reported.
#[test]
fn a_lost_acknowledgement_is_detected() {
    use sorreldoor::replicated_state::Outcome;
    use sorreldoor::wire::ProposalOutcome;
    let mut world = ready_world(1);
    let at = world.edges()[0];
    let c = world.change(at, zone_change(8, 0, false));
    world.changes[c].outcome = Some(ProposalOutcome::Committed(Outcome::Applied { version: 9 }));
    assert!(world
        .lost_acknowledged_changes()
        .iter()
        .any(|s| s.contains("9 was acked")));
}
