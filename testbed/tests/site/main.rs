//! Simulated complete sites under every kind of fault: no invariant is violated, and
//! service recovers within its bounds.

mod absences;
mod changes;
mod claims;
mod configurations;
mod evacuations;
mod founding;
mod freshness;
mod growth;
mod half_open;
mod herd;
mod linearizability;
mod loads;
mod members;
mod mutants;
mod pacing;
mod power_loss;
mod regions;
mod replacing;
mod requests;
mod restarts;
mod retry_after;
mod support;
mod tuning;
mod zones;

use support::*;
use testbed::fleet::{archive, press};
use testbed::site::{check, ClientOutcome, World};

#[test]
fn without_faults_nearly_every_request_is_served() {
    for seed in 0..2 {
        let mut world = ready_world(seed);
        let end = world.now + 10_000;
        world.traffic(100, end, |_, _| true);
        world.run_for(40_000);
        assert_no_violations(&world, seed);
        let (ok, all) = served(&world);
        println!("seed {seed}: {ok} of {all} served");
        assert!(all > 800 && ok * 100 >= all * 99, "{ok} of {all}");
    }
}
