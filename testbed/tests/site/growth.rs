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

/// The first cores, at the seed addresses.
const SEEDS: usize = 3;
/// The port of the first core that is no seed.
const FIRST_OTHER_PORT: u16 = 7050;
/// The cores of a new site start within this time of each other.
const START_SPREAD_MS: Millis = 200;

/// A new site with three seed cores and three others.
pub fn six_cores(seed: u64) -> World {
    let mut world = World::new(seed, press());
    world.only_seeds_bootstrap = true;
    world.tolerated_core_losses = 2;
    world.replace_after_ms = 1500;
    for (zone, (name, region)) in world.site.zones.clone().into_iter().enumerate() {
        let zone = zone as u16;
        let addr: SocketAddr = ([127, 0, 0, 1], FIRST_OTHER_PORT + zone).into();
        let core = world.add(&format!("more-{name}"), true, zone, region, Some(addr));
        let wait = world.rng.below(START_SPREAD_MS);
        world.after(wait, move |world| world.start(core));
    }
    world
}

/// The members according to the leader, and whether a membership change is in progress.
pub fn members(world: &World) -> (Vec<Member>, bool) {
    let consensus = world
        .leader()
        .and_then(|core| world.controller(core))
        .and_then(|controller| controller.consensus());
    consensus.map_or((Vec::new(), false), |consensus| {
        let is_changing = !consensus.has_stable_membership();
        (consensus.members().to_vec(), is_changing)
    })
}

pub fn voters(world: &World) -> Vec<u64> {
    let (members, _) = members(world);
    let voters = members.iter().filter(|member| member.voter);
    voters.map(|member| member.id).collect()
}

/// The identities of the cores that are up.
pub fn ids(world: &World) -> Vec<u64> {
    let cores = cores_up(world).into_iter();
    let mut ids: Vec<u64> = cores.map(|core| world.processes[core].id).collect();
    ids.sort();
    ids
}

fn cores_up(world: &World) -> Vec<usize> {
    let cores = world.cores().into_iter();
    cores.filter(|core| world.processes[*core].up).collect()
}

/// Whether a core belongs to a bootstrapped site.
pub fn is_founded(world: &World, core: usize) -> bool {
    let controller = world.controller(core);
    controller.is_some_and(|controller| controller.consensus().is_some())
}

/// From now on a core that starts blank may only join.
pub fn forbid_bootstrap(world: &mut World, cores: &[usize]) {
    for core in cores {
        world.processes[*core].may_bootstrap = false;
    }
}

fn assert_stable_within(world: &mut World, seed: u64, duration: Millis) {
    let end = world.now + duration;
    assert!(
        world.run_until(end, membership_is_stable),
        "seed {seed}: {:?} of {:?}",
        voters(world),
        ids(world)
    );
}

/// Whether exactly the cores that are up are members, the target number of them (or
/// all) vote, and no membership change is in progress.
pub fn membership_is_stable(world: &World) -> bool {
    let (members, is_changing) = members(world);
    let mut all: Vec<u64> = members.iter().map(|member| member.id).collect();
    all.sort();
    let wanted = (2 * world.tolerated_core_losses + 1).min(all.len());
    !all.is_empty() && !is_changing && all == ids(world) && voters(world).len() == wanted
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
    let cores = world.cores();
    forbid_bootstrap(&mut world, &cores);
    world
}

pub fn replace_configuration(world: &mut World, base: u64) -> bool {
    let document = testbed::fleet::configuration(&world.preset);
    let core = *cores_up(world).first().expect("a core is up");
    let change = world.change(core, replacement(base, document));
    let end = world.now + 10_000;
    world.run_until(end, |world| world.changes[change].outcome.is_some());
    let applied = Outcome::Applied { version: base + 1 };
    world.changes[change].outcome == Some(ProposalOutcome::Committed(applied))
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
        let core = world.cores()[(seed % 6) as usize];
        let lost = world.processes[core].id;
        world.crash(core);
        world.wipe(core);
        world.start(core);
        let from = world.now;
        assert_stable_within(&mut world, seed, 5000);
        assert!(!voters(&world).contains(&lost));
        println!("seed {seed}: member again after {} ms", world.now - from);
        assert!(replace_configuration(&mut world, 1), "seed {seed}");
        world.run_for(6000);
        assert_no_violations(&world, seed);
    }
}

/// The same on a site of three seed cores.
#[test]
fn a_wiped_core_of_three_is_a_member_again_soon() {
    for seed in 7200..7206 {
        let mut world = World::ready(seed, press());
        let core = world.cores()[(seed % 3) as usize];
        world.crash(core);
        world.wipe(core);
        world.start(core);
        assert_stable_within(&mut world, seed, 5000);
        world.run_for(7000);
        assert_no_violations(&world, seed);
    }
}

#[test]
fn a_core_lost_for_good_is_replaced_at_a_new_address() {
    for seed in seeds(7300..7310) {
        let mut world = grown(seed);
        assert!(replace_configuration(&mut world, 0));
        let lost = world.cores()[(seed % 6) as usize];
        world.crash(lost);
        let wait = world.rng.below(1500);
        world.run_for(wait);
        let new = world.replace_core(lost);
        forbid_bootstrap(&mut world, &[new]);
        let from = world.now;
        assert_stable_within(&mut world, seed, 8000);
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
        let core = world.cores()[(seed % 6) as usize];
        world.isolate(core);
        world.run_for(30_000);
        // the standby votes in its place, and the core is no longer a member
        let removed = world.processes[core].id;
        let (remaining, _) = members(&world);
        let is_removed = remaining.iter().all(|member| member.id != removed);
        assert!(is_removed, "seed {seed}");
        assert_eq!(voters(&world).len(), 5, "seed {seed}");
        world.blocked_links.clear();
        assert_stable_within(&mut world, seed, 10_000);
        assert!(replace_configuration(&mut world, 0));
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

fn assert_never_founded(world: &mut World, seed: u64) {
    world.run_for(20_000);
    let mut cores = world.cores().into_iter();
    assert!(!cores.any(|core| is_founded(world, core)), "seed {seed}");
}

#[test]
fn a_blank_core_without_permission_never_bootstraps() {
    for seed in 7500..7510 {
        let mut world = six_cores(seed);
        let cores = world.cores();
        forbid_bootstrap(&mut world, &cores);
        assert_never_founded(&mut world, seed);
    }
}

/// A promise without the seeds of the first start is no permission: disks of the release
/// before have it so.
#[test]
fn a_core_with_a_promise_alone_never_bootstraps() {
    for seed in 7510..7520 {
        let mut world = six_cores(seed);
        let promised = |world: &World| {
            let mut seeds = world.cores().into_iter().take(SEEDS);
            seeds.all(|core| world.processes[core].promised_founders.is_some())
        };
        let end = world.now + 5000;
        assert!(world.run_until(end, promised), "seed {seed}");
        let cores = world.cores();
        forbid_bootstrap(&mut world, &cores);
        for core in &cores {
            world.crash(*core);
            world.processes[*core].disk = Default::default();
        }
        cores.iter().for_each(|core| world.start(*core));
        assert_never_founded(&mut world, seed);
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
            let up = cores_up(&world);
            let core = up[world.rng.below(up.len() as u64) as usize];
            world.crash(core);
            match world.rng.below(3) {
                0 => {
                    world.wipe(core);
                    world.start(core);
                }
                1 => {
                    let new = world.replace_core(core);
                    forbid_bootstrap(&mut world, &[new]);
                }
                _ => world.start(core),
            }
            if replace_configuration(&mut world, base) {
                base += 1;
            }
            let wait: Millis = 4000 + world.rng.below(3000);
            world.run_for(wait);
        }
        assert_stable_within(&mut world, seed, 12_000);
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
