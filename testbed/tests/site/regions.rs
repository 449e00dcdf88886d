//! Regions lost and back.

use super::*;
use sorreldoor::error::ErrorCode;

/// A region's workers all die and come back cold while traffic goes on.
#[test]
fn a_returning_region_is_served_within_twelve_seconds() {
    for seed in seeds(1000..1008) {
        let mut w = world(seed);
        let end = w.now + 45_000;
        w.traffic(60, end, |_, _| true);
        w.run_for(3000);
        let south: Vec<usize> = (0..w.workers.len())
            .filter(|k| w.workers[*k].region == 1 && w.workers[*k].model)
            .collect();
        for k in &south {
            w.worker_dies(*k);
        }
        w.run_for(12_000);
        let back = w.now;
        for k in &south {
            w.worker_starts(*k);
            w.workers[*k].most_here = 0;
        }
        w.run_for(20_000);
        let of = |from: u64, to: u64| {
            let all: Vec<_> = w
                .callers
                .values()
                .filter(|c| c.start >= from && c.start < to && w.procs[c.edge].region == 1)
                .collect();
            let n = all.iter().filter(|c| ok(&c.got)).count();
            (n, all.len())
        };
        let (n, all) = of(back + 12_000, back + 14_000);
        println!(
            "seed {seed}: 12 s after, {n} of {all} served; before {:?}",
            of(back - 4000, back)
        );
        assert!(n * 10 >= all * 9, "seed {seed}: {n} of {all}");
        let most = south.iter().map(|k| w.workers[*k].most_here).max();
        println!("seed {seed}: at most {most:?} at a cold worker");
        assert!(most <= Some(6), "{most:?}");
        let counts = w.edges().into_iter().filter_map(|e| w.edge_controller(e));
        let (first, again) = counts.fold((0, 0), |(f, a), h| {
            let c = &h.table.counters;
            (f + c.accepted, a + c.retries)
        });
        println!("seed {seed}: {again} retries of {first}");
        assert!(again * 5 <= first);
        w.run_for(60_000);
        sound(&w, seed);
    }
}

/// While a region is lost, what is bound to it is shed at once and honestly.
#[test]
fn home_bound_errands_of_a_lost_region_are_shed_at_once() {
    for seed in seeds(1100..1110) {
        let mut w = world(seed);
        for k in 0..w.workers.len() {
            if w.workers[k].region == 0 && w.workers[k].model {
                w.worker_dies(k);
            }
        }
        w.run_for(5000);
        for e in w.edges() {
            let n = w.ask(e, "question", "", Some(0));
            w.run_for(400);
            let c = &w.callers[&n];
            assert_eq!(c.got, Got::Shed(ErrorCode::NoWorker), "seed {seed}");
        }
        sound(&w, seed);
    }
}
