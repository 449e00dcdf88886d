//! Bootstrapping a site under faults: there is never more than one group of voters.

use super::*;
use std::collections::BTreeSet;

fn voter_sets(world: &World) -> BTreeSet<Vec<u64>> {
    world
        .cores()
        .into_iter()
        .filter_map(|c| {
            world
                .controller(c)
                .and_then(|controller| controller.consensus())
        })
        .filter(|a| a.members().iter().any(|m| m.voter))
        .map(|a| {
            a.members()
                .iter()
                .filter(|m| m.voter)
                .map(|m| m.id)
                .collect()
        })
        .collect()
}

/// Cores are partitioned, crashed and wiped during the bootstrap; there is never more
/// than one site.
#[test]
fn no_two_sites_are_ever_bootstrapped() {
    let mut founded = 0;
    for seed in 0..80 {
        let mut world = World::new(seed, press());
        let cores = world.cores();
        for _ in 0..8 {
            let wait = world.rng.below(250);
            world.run_for(wait);
            let c = cores[world.rng.below(3) as usize];
            match world.rng.below(4) {
                0 => {
                    world.crash(c);
                    world.start(c);
                }
                1 => {
                    world.crash(c);
                    world.wipe(c);
                    world.start(c);
                }
                2 => {
                    let d = cores[world.rng.below(3) as usize];
                    world.partition_pair(c, d);
                }
                _ => world.blocked_links.clear(),
            }
        }
        world.blocked_links.clear();
        world.run_for(40_000);
        let leaders: Vec<usize> = world
            .cores()
            .into_iter()
            .filter(|c| {
                let a = world
                    .controller(*c)
                    .and_then(|controller| controller.consensus());
                a.is_some_and(|a| a.leads_globally())
            })
            .collect();
        assert!(leaders.len() <= 1, "seed {seed}: {leaders:?}");
        let s = voter_sets(&world);
        assert!(s.len() <= 1, "seed {seed}: {s:?}");
        founded += usize::from(!leaders.is_empty());
    }
    println!("{founded} of 80 sites were bootstrapped");
    assert!(founded > 20, "{founded}");
}
