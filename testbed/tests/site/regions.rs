//! Loss and return of a region's workers.

use super::*;
use sorreldoor::error::ErrorCode;

/// All workers of a region crash and return with cold caches under traffic.
#[test]
fn a_returning_region_is_served_within_twelve_seconds() {
    for seed in seeds(1000..1008) {
        let mut world = ready_world(seed);
        let end = world.now + 45_000;
        world.traffic(60, end, |_, _| true);
        world.run_for(3000);
        let south: Vec<usize> = (0..world.workers.len())
            .filter(|k| world.workers[*k].region == 1 && world.workers[*k].model)
            .collect();
        for k in &south {
            world.crash_worker(*k);
        }
        world.run_for(12_000);
        let back = world.now;
        for k in &south {
            world.restart_worker(*k);
            world.workers[*k].peak_in_flight = 0;
        }
        world.run_for(20_000);
        let of = |from: u64, to: u64| {
            let all: Vec<_> = world
                .clients
                .values()
                .filter(|c| c.start >= from && c.start < to && world.processes[c.edge].region == 1)
                .collect();
            let n = all.iter().filter(|c| ok(&c.outcome)).count();
            (n, all.len())
        };
        let (n, all) = of(back + 12_000, back + 14_000);
        println!(
            "seed {seed}: 12 s after, {n} of {all} served; before {:?}",
            of(back - 4000, back)
        );
        assert!(n * 10 >= all * 9, "seed {seed}: {n} of {all}");
        let most = south.iter().map(|k| world.workers[*k].peak_in_flight).max();
        println!("seed {seed}: at most {most:?} at a cold worker");
        assert!(most <= Some(6), "{most:?}");
        let counts = world
            .edges()
            .into_iter()
            .filter_map(|e| world.edge_controller(e));
        let (first, retries) = counts.fold((0, 0), |(f, a), controller| {
            let c = &controller.table.counters;
            (f + c.accepted, a + c.retries)
        });
        println!("seed {seed}: {retries} retries of {first}");
        assert!(retries * 5 <= first);
        world.run_for(60_000);
        assert_no_violations(&world, seed);
    }
}

/// While a region has no workers, requests bound to it are rejected at once.
#[test]
fn home_bound_requests_of_a_lost_region_are_rejected_at_once() {
    for seed in seeds(1100..1110) {
        let mut world = ready_world(seed);
        for k in 0..world.workers.len() {
            if world.workers[k].region == 0 && world.workers[k].model {
                world.crash_worker(k);
            }
        }
        world.run_for(5000);
        for e in world.edges() {
            let n = world.send_request(e, "question", "", Some(0));
            world.run_for(400);
            let c = &world.clients[&n];
            assert_eq!(
                c.outcome,
                ClientOutcome::Rejected(ErrorCode::NoWorker),
                "seed {seed}"
            );
        }
        assert_no_violations(&world, seed);
    }
}
