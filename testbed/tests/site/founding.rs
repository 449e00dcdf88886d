//! Bootstrapping a site under faults: there is never more than one group of voters.

use super::*;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::types::Millis;
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

/// `contactMs` of the users' sites.
const CONTACT_MS: Millis = 4000;
/// How long a killed core is down.
const DOWN_MS: Millis = 500;

/// Kills the cores that run at `at`, of the first `count`; they start again with what their
/// disks have, and settings that no longer allow them to bootstrap.
fn kill_at_first_start(seed: u64, at: Millis, count: usize) -> World {
    let mut world = World::new(seed, press());
    world.only_seeds_bootstrap = true;
    world.run_for(at);
    let mut killed = world.cores();
    killed.truncate(count);
    killed.retain(|core| world.processes[*core].up);
    for core in &killed {
        world.crash(*core);
        world.processes[*core].may_bootstrap = false;
    }
    world.run_for(DOWN_MS);
    killed.iter().for_each(|core| world.start(*core));
    world
}

fn is_founded(world: &World) -> bool {
    let consensus = |core: &usize| world.controller(*core).and_then(|c| c.consensus());
    let cores = world.cores();
    let all_members = cores
        .iter()
        .all(|core| consensus(core).is_some_and(|c| c.members().len() == cores.len()));
    all_members
        && cores
            .iter()
            .any(|core| consensus(core).is_some_and(|c| c.leads_globally()))
}

/// How many of these first starts end in a site, each in time.
fn count_founded() -> (usize, usize) {
    let (mut founded, mut all) = (0, 0);
    for at in (0..=600).step_by(50) {
        for count in [1, 3] {
            for seed in 0..4 {
                let mut world = kill_at_first_start(seed, at, count);
                let end = world.now + CONTACT_MS + world.ack_ms;
                founded += usize::from(world.run_until(end, is_founded));
                assert!(voter_sets(&world).len() <= 1, "seed {seed} at {at}");
                all += 1;
            }
        }
    }
    (founded, all)
}

#[test]
fn a_kill_at_the_first_start_does_not_prevent_the_founding() {
    let (founded, all) = count_founded();
    assert_eq!(founded, all);
    disable_only(Some(Invariant::FoundingRemembered));
    let (without, _) = count_founded();
    disable_only(None);
    println!("{founded} of {all} founded; {without} if the first start is forgotten");
    assert!(without < all, "the mutant was not detected");
}
