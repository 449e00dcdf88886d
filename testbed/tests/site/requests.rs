//! Requests under random faults.

use super::*;
use sorreldoor::error::ErrorCode;
use testbed::site::FaultMix;

pub fn under_random_faults(seed: u64, s: FaultMix) -> World {
    let mut world = ready_world(seed);
    let end = world.now + 15_000;
    world.traffic(60, end, |_, _| true);
    world.inject_faults(s, end);
    world.run_for(16_000);
    world.heal();
    world.run_for(45_000);
    world
}

#[test]
fn random_faults_violate_no_invariant() {
    let (mut n, mut of) = (0, 0);
    let mut kinds = std::collections::BTreeMap::<String, usize>::new();
    for seed in seeds(0..60) {
        let world = under_random_faults(seed, FaultMix::all());
        assert_no_violations(&world, seed);
        let open: Vec<_> = world
            .clients
            .values()
            .filter(|c| c.outcome == ClientOutcome::Pending)
            .collect();
        assert!(
            open.is_empty(),
            "seed {seed}: clients are still pending: {open:#?}"
        );
        for c in world.clients.values() {
            *kinds
                .entry(if matches!(c.outcome, ClientOutcome::Complete(_)) {
                    "Whole".into()
                } else {
                    format!("{:?}", c.outcome)
                })
                .or_insert(0) += 1;
        }
        let (ok, all) = served(&world);
        n += ok;
        of += all;
    }
    println!("{kinds:?}");
    println!("served under random faults: {n} of {of}");
    // with zones evacuated and a fault every 0.7 s about half is served
    assert!(n * 100 > of * 45, "{n} of {of}");
}

#[test]
fn crashed_and_frozen_workers_execute_nothing_twice() {
    let s = FaultMix {
        workers: true,
        max_interval_ms: 150,
        cores: false,
        edges: false,
        links: false,
        clocks: false,
        changes: false,
    };
    for seed in seeds(100..130) {
        let world = under_random_faults(seed, s);
        assert_no_violations(&world, seed);
        let (mut first, mut retries) = (0, 0);
        for e in world.edges() {
            let c = &world
                .edge_controller(e)
                .expect("the edge is up")
                .table
                .counters;
            first += c.accepted;
            retries += c.retries;
        }
        assert!(
            retries * 5 <= first,
            "seed {seed}: {retries} retries of {first}"
        );
    }
}

#[test]
fn crashing_edges_execute_nothing_after_a_rejection() {
    let s = FaultMix {
        edges: true,
        workers: true,
        max_interval_ms: 200,
        cores: false,
        links: false,
        clocks: true,
        changes: false,
    };
    for seed in seeds(200..230) {
        assert_no_violations(&under_random_faults(seed, s), seed);
    }
}

#[test]
fn an_abandoned_request_is_answered_at_once() {
    for seed in seeds(300..310) {
        let mut world = ready_world(seed);
        for k in 0..world.workers.len() {
            world.crash_worker(k);
        }
        world.run_for(3000);
        let e = world.edges()[0];
        let n = world.send_request(e, "page", "", None);
        world.run_for(10_000);
        let c = &world.clients[&n];
        assert!(matches!(
            c.outcome,
            ClientOutcome::Rejected(ErrorCode::NotSent | ErrorCode::NoWorker)
        ));
        let elapsed_ms = c.end - c.start;
        println!("seed {seed}: given up after {elapsed_ms} ms of 5000");
        // at the latest one tick after the deadline
        assert!(elapsed_ms <= 5040, "{elapsed_ms}");
    }
}

/// Clients without a complete response retry under the same id at another edge, while
/// edges, cores and workers crash.
#[test]
fn a_retry_at_another_edge_does_not_execute_again() {
    let (mut requests, mut retries) = (0, 0);
    for seed in seeds(1200..1240) {
        let world = super::mutants::retries_elsewhere(seed);
        retries += world.clients.values().filter(|c| c.retried).count();
        requests += world.clients.len();
        assert_no_violations(&world, seed);
    }
    println!("{retries} of {requests} requests were retried");
    assert!(retries > 500);
}
