//! Errands, under everything that can fail around them.

use super::*;
use sorreldoor::error::ErrorCode;
use testbed::site::Storm;

pub fn stormy(seed: u64, s: Storm) -> World {
    let mut w = world(seed);
    let end = w.now + 15_000;
    w.traffic(60, end, |_, _| true);
    w.storm(s, end);
    w.run_for(16_000);
    w.heal();
    w.run_for(45_000);
    w
}

#[test]
fn storms_over_whole_sites_break_no_rule() {
    let (mut n, mut of) = (0, 0);
    let mut kinds = std::collections::BTreeMap::<String, usize>::new();
    for seed in seeds(0..60) {
        let w = stormy(seed, Storm::all());
        sound(&w, seed);
        let open: Vec<_> = w.callers.values().filter(|c| c.got == Got::Open).collect();
        assert!(
            open.is_empty(),
            "seed {seed}: without any result: {open:#?}"
        );
        for c in w.callers.values() {
            *kinds
                .entry(if matches!(c.got, Got::Whole(_)) {
                    "Whole".into()
                } else {
                    format!("{:?}", c.got)
                })
                .or_insert(0) += 1;
        }
        let (ok, all) = served(&w);
        n += ok;
        of += all;
    }
    println!("{kinds:?}");
    println!("served in storms: {n} of {of}");
    // zones stand empty and nodes die every 0.7 s: about half is served
    assert!(n * 100 > of * 45, "{n} of {of}");
}

#[test]
fn workers_that_die_and_freeze_run_nothing_twice() {
    let s = Storm {
        workers: true,
        every: 150,
        cores: false,
        edges: false,
        cuts: false,
        clocks: false,
        changes: false,
    };
    for seed in seeds(100..130) {
        let w = stormy(seed, s);
        sound(&w, seed);
        let (mut first, mut again) = (0, 0);
        for e in w.edges() {
            let c = &w
                .edge_controller(e)
                .expect("no edge was hurt")
                .table
                .counters;
            first += c.accepted;
            again += c.retries;
        }
        assert!(
            again * 5 <= first,
            "seed {seed}: {again} retries of {first}"
        );
    }
}

#[test]
fn edges_that_die_while_giving_up_run_nothing_after_a_refusal() {
    let s = Storm {
        edges: true,
        workers: true,
        every: 200,
        cores: false,
        cuts: false,
        clocks: true,
        changes: false,
    };
    for seed in seeds(200..230) {
        sound(&stormy(seed, s), seed);
    }
}

#[test]
fn given_up_is_answered_at_once() {
    for seed in seeds(300..310) {
        let mut w = world(seed);
        for k in 0..w.workers.len() {
            w.worker_dies(k);
        }
        w.run_for(3000);
        let e = w.edges()[0];
        let n = w.ask(e, "page", "", None);
        w.run_for(10_000);
        let c = &w.callers[&n];
        assert!(matches!(
            c.got,
            Got::Shed(ErrorCode::NotSent | ErrorCode::NoWorker)
        ));
        let took = c.end - c.start;
        println!("seed {seed}: given up after {took} ms of 5000");
        // never later than the cutoff and one alarm
        assert!(took <= 5040, "{took}");
    }
}

/// Callers that hear nothing, or not enough, ask again under the same id at
/// another edge, while edges, cores and workers die.
#[test]
fn the_same_id_at_another_edge_does_not_run_again() {
    let (mut asked, mut again) = (0, 0);
    for seed in seeds(1200..1240) {
        let w = super::mutants::asked_twice(seed);
        again += w.callers.values().filter(|c| c.retried).count();
        asked += w.callers.len();
        sound(&w, seed);
    }
    println!("{again} of {asked} errands were asked again");
    assert!(again > 500);
}
