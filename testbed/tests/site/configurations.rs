//! Whole setups and edits under traffic and faults: no service that no setup
//! allowed, nothing of a refused or losing document, no old one.

use super::*;
use sorreldoor::replicated_state::Outcome;
use sorreldoor::wire::OpOutcome;
use std::collections::BTreeMap;
use testbed::site::Storm;

pub fn week(seed: u64, storm: Option<Storm>) -> World {
    let preset = if seed.is_multiple_of(2) {
        press()
    } else {
        archive()
    };
    let doc = testbed::fleet::configuration(&preset);
    let mut w = World::ready_by(seed, preset, &doc, World::regroup);
    let end = w.now + 20_000;
    w.homed_traffic(90, end);
    w.operators(500, end);
    if let Some(s) = storm {
        w.storm(s, end);
    }
    w.run_for(21_000);
    w.heal();
    w.run_for(65_000);
    w
}

fn heard(w: &World) -> BTreeMap<&'static str, usize> {
    let mut n = BTreeMap::new();
    for c in &w.changes {
        let k = match &c.outcome {
            Some(OpOutcome::Got(Outcome::Applied { .. })) => "taken",
            Some(OpOutcome::Got(Outcome::Invalid { .. })) => "faulty",
            Some(OpOutcome::Got(Outcome::Stale { .. })) => "stale",
            Some(OpOutcome::NotTaken) => "not taken",
            _ => "unknown",
        };
        *n.entry(k).or_default() += 1;
    }
    n
}

#[test]
fn no_errand_goes_where_no_setup_allowed() {
    let mut sum: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut n, mut of) = (0, 0);
    let mut wrong = Vec::new();
    for seed in seeds(2000..2030) {
        let mut s = Storm::all();
        s.changes = seed % 3 == 0;
        let w = week(seed, Some(s).filter(|_| seed % 5 != 0));
        let all = check(&w).into_iter().chain(w.kept());
        wrong.extend(all.map(|s| format!("seed {seed}: {s}")));
        for (k, c) in heard(&w) {
            *sum.entry(k).or_default() += c;
        }
        let (ok, all) = served(&w);
        n += ok;
        of += all;
        let open = w.callers.values().filter(|c| c.got == Got::Open).count();
        assert_eq!(open, 0, "seed {seed}: without any result");
    }
    println!("{} things wrong", wrong.len());
    wrong.truncate(20);
    assert!(wrong.is_empty(), "{wrong:#?}");
    println!("changes: {sum:?}; served {n} of {of}");
    assert!(sum["taken"] > 200 && sum["faulty"] > 50 && sum["stale"] > 50);
}
