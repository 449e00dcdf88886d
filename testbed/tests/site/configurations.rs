//! Random configuration changes under traffic and faults: requests are forwarded only
//! as a committed configuration that is current allows.

use super::*;
use sorreldoor::replicated_state::Outcome;
use sorreldoor::wire::ProposalOutcome;
use std::collections::BTreeMap;
use testbed::site::FaultMix;

pub fn configuration_changes(seed: u64, faults: Option<FaultMix>) -> World {
    let preset = preset_for(seed);
    let doc = testbed::fleet::configuration(&preset);
    let mut world = World::ready_customized(seed, preset, &doc, World::split_worker_groups);
    let end = world.now + 20_000;
    world.home_region_traffic(90, end);
    world.random_document_changes(500, end);
    if let Some(s) = faults {
        world.inject_faults(s, end);
    }
    world.run_for(21_000);
    world.heal();
    world.run_for(65_000);
    world
}

fn count_outcomes(world: &World) -> BTreeMap<&'static str, usize> {
    let mut n = BTreeMap::new();
    for c in &world.changes {
        let k = match &c.outcome {
            Some(ProposalOutcome::Committed(Outcome::Applied { .. })) => "taken",
            Some(ProposalOutcome::Committed(Outcome::Invalid { .. })) => "faulty",
            Some(ProposalOutcome::Committed(Outcome::Stale { .. })) => "stale",
            Some(ProposalOutcome::Rejected) => "not taken",
            _ => "unknown",
        };
        *n.entry(k).or_default() += 1;
    }
    n
}

#[test]
fn requests_go_only_where_a_configuration_allows() {
    let mut sum: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut n, mut of) = (0, 0);
    let mut violations = Vec::new();
    for seed in seeds(2000..2030) {
        let mut s = FaultMix::all();
        s.changes = seed % 3 == 0;
        let world = configuration_changes(seed, Some(s).filter(|_| seed % 5 != 0));
        let all = check(&world)
            .into_iter()
            .chain(world.lost_acknowledged_changes());
        violations.extend(all.map(|s| format!("seed {seed}: {s}")));
        for (k, c) in count_outcomes(&world) {
            *sum.entry(k).or_default() += c;
        }
        let (ok, all) = served(&world);
        n += ok;
        of += all;
        let open = world
            .clients
            .values()
            .filter(|c| c.outcome == ClientOutcome::Pending)
            .count();
        assert_eq!(open, 0, "seed {seed}: clients are still pending");
    }
    println!("{} violations", violations.len());
    violations.truncate(20);
    assert!(violations.is_empty(), "{violations:#?}");
    println!("changes: {sum:?}; served {n} of {of}");
    assert!(sum["taken"] > 200 && sum["faulty"] > 50 && sum["stale"] > 50);
}
