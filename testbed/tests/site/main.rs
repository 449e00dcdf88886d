//! What must never happen, caused in virtual time over whole sites.

mod changes;
mod claims;
mod configurations;
mod errands;
mod founding;
mod freshness;
mod growth;
mod loads;
mod members;
mod mutants;
mod orders;
mod pacing;
mod regions;
mod replacing;
mod returns;
mod swings;
mod waves;
mod zones;

use testbed::fleet::{archive, press};
use testbed::site::{check, Got, World};

pub fn sound(w: &World, seed: u64) {
    let mut wrong = check(w);
    wrong.extend(w.kept());
    wrong.extend(w.retried_too_much());
    wrong.truncate(20);
    assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
}

/// The seeds of a test, and as many more times over as SORRELDOOR_SEEDS says.
pub fn seeds(of: std::ops::Range<u64>) -> impl Iterator<Item = u64> {
    let times = std::env::var("SORRELDOOR_SEEDS").ok();
    let times: u64 = times.and_then(|n| n.parse().ok()).unwrap_or(1);
    (0..times).flat_map(move |k| of.clone().map(move |s| s + k * 10_000))
}

pub fn ok(g: &Got) -> bool {
    matches!(g, Got::Whole(_) | Got::Stream)
}

pub fn served(w: &World) -> (usize, usize) {
    let n = w.callers.values().filter(|c| ok(&c.got)).count();
    (n, w.callers.len())
}

pub fn world(seed: u64) -> World {
    if seed.is_multiple_of(2) {
        World::ready(seed, press())
    } else {
        World::ready(seed, archive())
    }
}

#[test]
fn a_calm_day_serves_everyone() {
    for seed in 0..2 {
        let mut w = world(seed);
        let end = w.now + 10_000;
        w.traffic(100, end, |_, _| true);
        w.run_for(40_000);
        sound(&w, seed);
        let (ok, all) = served(&w);
        println!("seed {seed}: {ok} of {all} served");
        assert!(all > 800 && ok * 100 >= all * 99, "{ok} of {all}");
    }
}
