//! A site bootstrapped by its seeds, with further cores: as many become voters as the
//! tolerated losses require, the others are standbys; lost and blank cores are replaced,
//! and no acknowledged change is lost.

use super::*;
use sorreldoor::consensus::Member;
use sorreldoor::replicated_state::Outcome;
use sorreldoor::types::Millis;
use sorreldoor::wire::ProposalOutcome;
use std::net::SocketAddr;
use testbed::site::FaultMix;

/// A new site with three seed cores and three others.
pub fn six_cores(seed: u64) -> World {
    let mut world = World::new(seed, press());
    world.only_seeds_bootstrap = true;
    world.tolerated_core_losses = 2;
    world.replace_after_ms = 1500;
    for (z, (name, region)) in world.site.zones.clone().into_iter().enumerate() {
        let addr: SocketAddr = ([127, 0, 0, 1], 7050 + z as u16).into();
        let p = world.add(&format!("more-{name}"), true, z as u16, region, Some(addr));
        let wait = world.rng.below(200);
        world.after(wait, move |world| world.start(p));
    }
    world
}

/// The members according to the leader, and whether a membership change is in progress.
pub fn members(world: &World) -> (Vec<Member>, bool) {
    let a = world
        .leader()
        .and_then(|c| world.controller(c))
        .and_then(|controller| controller.consensus());
    a.map_or((Vec::new(), false), |a| {
        (a.members().to_vec(), !a.has_stable_membership())
    })
}

pub fn voters(world: &World) -> Vec<u64> {
    let (ms, _) = members(world);
    ms.iter().filter(|m| m.voter).map(|m| m.id).collect()
}

/// The identities of the cores that are up.
pub fn ids(world: &World) -> Vec<u64> {
    let up = world.cores().into_iter().filter(|c| world.processes[*c].up);
    let mut ids: Vec<u64> = up.map(|c| world.processes[c].id).collect();
    ids.sort();
    ids
}

/// Whether exactly the cores that are up are members, the target number of them (or
/// all) vote, and no membership change is in progress.
pub fn membership_is_stable(world: &World) -> bool {
    let (ms, changing) = members(world);
    let mut all: Vec<u64> = ms.iter().map(|m| m.id).collect();
    all.sort();
    let wanted = (2 * world.tolerated_core_losses + 1).min(all.len());
    !all.is_empty() && !changing && all == ids(world) && voters(world).len() == wanted
}

fn all_six(world: &World) -> bool {
    ids(world).len() == 6 && membership_is_stable(world)
}

pub fn grown(seed: u64) -> World {
    let mut world = six_cores(seed);
    let end = world.now + 8000;
    assert!(
        world.run_until(end, all_six),
        "seed {seed}: {:?}",
        voters(&world)
    );
    for c in world.cores() {
        world.processes[c].may_bootstrap = false;
    }
    world
}

pub fn replace_configuration(world: &mut World, base: u64) -> bool {
    let doc = testbed::fleet::configuration(&world.preset);
    let at = world.cores().into_iter().find(|c| world.processes[*c].up);
    let at = at.expect("a core is up");
    let c = world.change(at, replacement(base, doc));
    let end = world.now + 10_000;
    world.run_until(end, |world| world.changes[c].outcome.is_some());
    let applied = Outcome::Applied { version: base + 1 };
    world.changes[c].outcome == Some(ProposalOutcome::Committed(applied))
}

#[test]
fn six_cores_grow_from_three_seeds() {
    for seed in seeds(7000..7010) {
        let mut world = six_cores(seed);
        let end = world.now + 8000;
        assert!(
            world.run_until(end, all_six),
            "seed {seed}: {:?}",
            voters(&world)
        );
        println!(
            "seed {seed}: five voters and a standby after {} ms",
            world.now
        );
        assert!(replace_configuration(&mut world, 0), "seed {seed}");
        // any two of six cores may be lost
        let all = world.cores();
        world.crash(all[(seed % 6) as usize]);
        world.crash(all[((seed + 3) % 6) as usize]);
        assert!(replace_configuration(&mut world, 1), "seed {seed}");
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

/// A core that lost its disk rejoins under a new identity, long before it would count as
/// lost.
#[test]
fn a_wiped_core_is_a_member_again_soon() {
    for seed in seeds(7100..7115) {
        let mut world = grown(seed);
        world.replace_after_ms = 60_000;
        assert!(replace_configuration(&mut world, 0));
        let c = world.cores()[(seed % 6) as usize];
        let was = world.processes[c].id;
        world.crash(c);
        world.wipe(c);
        world.start(c);
        let from = world.now;
        let back = world.run_until(from + 5000, membership_is_stable);
        assert!(
            back,
            "seed {seed}: {:?} of {:?}",
            voters(&world),
            ids(&world)
        );
        assert!(!voters(&world).contains(&was));
        println!("seed {seed}: member again after {} ms", world.now - from);
        assert!(replace_configuration(&mut world, 1), "seed {seed}");
        world.run_for(2000);
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

/// The same on a site of three seed cores.
#[test]
fn a_wiped_core_of_three_is_a_member_again_soon() {
    for seed in 7200..7206 {
        let mut world = World::ready(seed, press());
        let c = world.cores()[(seed % 3) as usize];
        world.crash(c);
        world.wipe(c);
        world.start(c);
        let from = world.now;
        assert!(
            world.run_until(from + 5000, membership_is_stable),
            "seed {seed}"
        );
        world.run_for(3000);
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

#[test]
fn a_core_lost_for_good_is_replaced_at_a_new_address() {
    for seed in seeds(7300..7310) {
        let mut world = grown(seed);
        assert!(replace_configuration(&mut world, 0));
        let c = world.cores()[(seed % 6) as usize];
        world.crash(c);
        let wait = world.rng.below(1500);
        world.run_for(wait);
        let n = world.replace_core(c);
        world.processes[n].may_bootstrap = false;
        let from = world.now;
        let done = world.run_until(from + 8000, membership_is_stable);
        assert!(
            done,
            "seed {seed}: {:?} of {:?}",
            voters(&world),
            ids(&world)
        );
        println!("seed {seed}: replaced after {} ms", world.now - from);
        assert!(replace_configuration(&mut world, 1), "seed {seed}");
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

/// A core that was partitioned until it was removed rejoins and catches up.
#[test]
fn a_removed_core_joins_again() {
    for seed in 7400..7405 {
        let mut world = grown(seed);
        let c = world.cores()[(seed % 6) as usize];
        world.isolate(c);
        world.run_for(30_000);
        // the standby votes in its place, and the core is no longer a member
        let removed = world.processes[c].id;
        let (ms, _) = members(&world);
        assert!(ms.iter().all(|m| m.id != removed), "seed {seed}");
        assert_eq!(voters(&world).len(), 5, "seed {seed}");
        world.blocked_links.clear();
        let end = world.now + 10_000;
        assert!(
            world.run_until(end, membership_is_stable),
            "seed {seed}: {:?}",
            voters(&world)
        );
        assert!(replace_configuration(&mut world, 0));
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

#[test]
fn a_blank_core_without_permission_never_bootstraps() {
    for seed in 7500..7510 {
        let mut world = six_cores(seed);
        for c in world.cores() {
            world.processes[c].may_bootstrap = false;
        }
        world.run_for(20_000);
        let founded = |c: &usize| {
            world
                .controller(*c)
                .is_some_and(|controller| controller.consensus().is_some())
        };
        assert!(!world.cores().iter().any(founded), "seed {seed}");
    }
    // nor after a restart without permission, if it promised founders before
    for seed in 7510..7520 {
        let mut world = six_cores(seed);
        let promised = |world: &World| {
            world.cores().iter().all(|c| {
                let seed = *c < 3;
                !seed || world.processes[*c].promised_founders.is_some()
            })
        };
        let end = world.now + 5000;
        assert!(world.run_until(end, promised), "seed {seed}");
        let all = world.cores();
        for c in &all {
            world.crash(*c);
            world.processes[*c].may_bootstrap = false;
            world.processes[*c].disk = Default::default();
        }
        all.iter().for_each(|c| world.start(*c));
        world.run_for(20_000);
        let founded = |c: &usize| {
            world
                .controller(*c)
                .is_some_and(|controller| controller.consensus().is_some())
        };
        assert!(!world.cores().iter().any(founded), "seed {seed}");
    }
}

/// One core at a time is crashed, wiped or replaced, under changes; no acknowledged
/// change is lost, and the membership becomes stable again.
#[test]
fn growth_under_losses_keeps_acknowledged_changes() {
    for seed in seeds(7600..7620) {
        let mut world = grown(seed);
        assert!(replace_configuration(&mut world, 0));
        let mut base = 1;
        for _ in 0..5 {
            let up: Vec<usize> = world
                .cores()
                .into_iter()
                .filter(|c| world.processes[*c].up)
                .collect();
            let c = up[world.rng.below(up.len() as u64) as usize];
            world.crash(c);
            match world.rng.below(3) {
                0 => {
                    world.wipe(c);
                    world.start(c);
                }
                1 => {
                    let n = world.replace_core(c);
                    world.processes[n].may_bootstrap = false;
                }
                _ => world.start(c),
            }
            if replace_configuration(&mut world, base) {
                base += 1;
            }
            let wait: Millis = 4000 + world.rng.below(3000);
            world.run_for(wait);
        }
        let end = world.now + 12_000;
        let done = world.run_until(end, membership_is_stable);
        assert!(
            done,
            "seed {seed}: {:?} of {:?}",
            voters(&world),
            ids(&world)
        );
        assert!(base > 1, "seed {seed}");
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

/// Random faults over six cores, without lost disks.
#[test]
fn random_faults_over_six_cores() {
    for seed in seeds(7700..7706) {
        let mut world = grown(seed);
        assert!(replace_configuration(&mut world, 0));
        let end = world.now + 20_000;
        world.inject_faults(FaultMix::all(), end);
        world.run_for(20_000);
        world.heal();
        world.run_for(30_000);
        assert!(world.leader().is_some(), "seed {seed}");
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}
