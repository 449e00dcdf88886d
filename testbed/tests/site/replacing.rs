//! Planned replacements of cores and faults right after them: a quorum remains, and no
//! acknowledged change is lost.

use super::growth::{grown, ids, members, membership_is_stable, voters};
use super::*;
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::types::Millis;

/// Time for a new core to catch up on a small site.
const SYNC_MS: Millis = 4000;

/// Three cores, each in a zone of its own.
fn three_core_world(seed: u64) -> World {
    let mut world = World::new(seed, preset_for(seed));
    world.only_seeds_bootstrap = true;
    world.replace_after_ms = 1500;
    let end = world.now + 8000;
    // two cores may bootstrap the site before the third joins
    let ready = |world: &World| {
        let has = |c: &usize| {
            world
                .controller(*c)
                .is_some_and(|controller| controller.consensus().is_some())
        };
        membership_is_stable(world) && world.cores().iter().all(has)
    };
    assert!(
        world.run_until(end, ready),
        "seed {seed}: {:?}",
        members(&world)
    );
    for c in world.cores() {
        world.processes[c].may_bootstrap = false;
    }
    world
}

/// Stops a core as on SIGTERM: its process ends 300 ms later.
fn stop(world: &mut World, core: usize) {
    world.core_step(core, ControllerEvent::Stop);
    let incarnation = world.processes[core].incarnation;
    world.after(300, move |world| {
        if world.processes[core].up && world.processes[core].incarnation == incarnation {
            world.crash(core);
        }
    });
}

/// Starts a replacement, and a second later stops the old core.
fn replace_planned(world: &mut World, core: usize) -> usize {
    let standby = world.replace_core(core);
    world.processes[standby].may_bootstrap = false;
    world.run_for(1000);
    stop(world, core);
    standby
}

fn up(world: &World) -> Vec<usize> {
    world
        .cores()
        .into_iter()
        .filter(|c| world.processes[*c].up)
        .collect()
}

/// Proposes one configuration change at a core other than `excluded`; whether
/// it was committed within `wait` milliseconds.
fn put_within(world: &mut World, excluded: Option<usize>, wait: Millis) -> bool {
    let Some(core) = up(world).into_iter().find(|c| Some(*c) != excluded) else {
        world.run_for(100);
        return false;
    };
    let (base, doc) = (
        newest_version(world),
        testbed::fleet::configuration(&world.preset),
    );
    let c = world.change(core, replacement(base, doc));
    let end = world.now + wait;
    world.run_until(end, |world| world.changes[c].outcome.is_some());
    was_committed(world, c)
}

fn replace_configuration(world: &mut World) -> bool {
    put_within(world, None, 5000)
}

/// Changes the configuration every 700 ms until `end`; returns how many changes
/// were committed.
fn changes_until(world: &mut World, excluded: Option<usize>, end: Millis) -> usize {
    let mut committed = 0;
    while world.now < end {
        let next = world.now + 700;
        committed += usize::from(put_within(world, excluded, 700));
        let rest = next.saturating_sub(world.now);
        world.run_for(rest);
    }
    committed
}

/// Asserts that changes are committed and the membership is stable within the limits.
fn recovers(world: &mut World, seed: u64) {
    assert!(
        replace_configuration(world),
        "seed {seed}: {:?}",
        members(world)
    );
    let end = world.now + 8000;
    let done = world.run_until(end, membership_is_stable);
    assert!(
        done,
        "seed {seed}: {:?} of {:?}",
        members(world),
        ids(world)
    );
    world.run_for(4000);
    assert_no_violations(world, seed);
}

#[derive(Clone, Copy, Debug)]
enum Second {
    Replaced,
    Power,
    Zone,
    Wiped,
    Frozen,
    Partition,
    /// All cores crash, and one loses its disk.
    AllCrash,
}

const SECONDS: [Second; 7] = [
    Second::Replaced,
    Second::Power,
    Second::Zone,
    Second::Wiped,
    Second::Frozen,
    Second::Partition,
    Second::AllCrash,
];

fn inject_second_fault(world: &mut World, core: usize, second: Second) {
    match second {
        Second::Replaced => {
            world.crash(core);
            world.after(2000, move |world| {
                let standby = world.replace_core(core);
                world.processes[standby].may_bootstrap = false;
            });
        }
        Second::Power => {
            world.crash(core);
            world.after(3000, move |world| world.start(core));
        }
        Second::Zone => {
            let zone = world.processes[core].zone;
            world.crash_zone(zone);
            world.after(3000, move |world| world.start(core));
        }
        Second::Wiped => {
            world.crash(core);
            world.wipe(core);
            world.after(1000, move |world| world.start(core));
        }
        Second::Frozen => world.freeze(core, 4000, false),
        Second::Partition => {
            world.isolate(core);
            world.after(5000, |world| world.blocked_links.clear());
        }
        Second::AllCrash => {
            for c in up(world) {
                world.crash(c);
                if c == core {
                    world.wipe(c);
                }
                world.after(1000, move |world| world.start(c));
            }
        }
    }
}

fn replaced_then(seed: u64, second: Second, mut world: World, sync_ms: Millis) {
    assert!(replace_configuration(&mut world), "seed {seed}");
    let all = up(&world);
    let stopping = all[(seed as usize) % all.len()];
    let stopped_at = world.now;
    replace_planned(&mut world, stopping);
    // afterwards the old core is no longer needed
    changes_until(&mut world, None, stopped_at + sync_ms);
    let rest: Vec<usize> = up(&world);
    let other = rest[world.rng.below(rest.len() as u64) as usize];
    inject_second_fault(&mut world, other, second);
    // no changes are proposed at the faulty core
    let end = world.now + 6000;
    let committed = changes_until(&mut world, Some(other), end);
    println!("seed {seed}, {second:?}: {committed} changes committed after it");
    assert!(
        committed >= 3,
        "seed {seed}, {second:?}: {:?}",
        members(&world)
    );
    world.run_for(2000);
    recovers(&mut world, seed);
}

#[test]
fn three_cores_tolerate_any_loss_after_a_planned_replacement() {
    for seed in seeds(7800..7806) {
        for second in SECONDS {
            replaced_then(seed, second, three_core_world(seed), SYNC_MS);
        }
    }
}

#[test]
fn six_cores_tolerate_any_loss_after_a_planned_replacement() {
    for seed in seeds(7900..7904) {
        for second in SECONDS {
            replaced_then(seed, second, grown(seed), SYNC_MS + 2000);
        }
    }
}

/// A caught-up standby replaces a voter that shuts down at once, and a crashed
/// one within two seconds.
#[test]
fn a_standby_takes_over_soon() {
    for seed in seeds(8000..8008) {
        for graceful in [true, false] {
            let mut world = three_core_world(seed);
            assert!(replace_configuration(&mut world), "seed {seed}");
            let stopping = up(&world)[(seed as usize) % 3];
            let old_id = world.processes[stopping].id;
            let standby = world.replace_core(stopping);
            world.processes[standby].may_bootstrap = false;
            let id = world.processes[standby].id;
            let joined = |world: &World| members(world).0.iter().any(|m| m.id == id);
            let end = world.now + 3000;
            assert!(world.run_until(end, joined), "seed {seed}");
            world.run_for(500);
            assert!(
                !voters(&world).contains(&id),
                "the standby votes beside three voters"
            );
            let stopped_at = world.now;
            if graceful {
                stop(&mut world, stopping);
            } else {
                world.crash(stopping);
            }
            let standby_is_voter = |world: &World| {
                let v = voters(world);
                v.contains(&id) && !v.contains(&old_id) && !members(world).1
            };
            // a crashed leader requires an election first
            let limit_ms = if graceful { 1200 } else { 3200 };
            let done = world.run_until(stopped_at + limit_ms, standby_is_voter);
            assert!(
                done,
                "seed {seed}, graceful {graceful}: {:?}",
                members(&world)
            );
            println!(
                "seed {seed}, graceful {graceful}: after {} ms",
                world.now - stopped_at
            );
        }
    }
}

/// A core that stops without a standby stays a member, and returns.
#[test]
fn a_restart_without_a_standby_changes_no_member() {
    for seed in seeds(8100..8104) {
        let mut world = three_core_world(seed);
        let before = members(&world).0;
        for core in up(&world) {
            stop(&mut world, core);
            world.run_for(2500);
            world.start(core);
            world.run_for(SYNC_MS);
            assert_eq!(members(&world).0, before, "seed {seed}");
        }
        assert!(replace_configuration(&mut world), "seed {seed}");
        world.run_for(4000);
        assert_no_violations(&world, seed);
    }
}

/// A leader that shuts down gracefully transfers leadership first.
#[test]
fn a_stopping_leader_transfers_leadership() {
    for seed in seeds(8200..8210) {
        let mut world = three_core_world(seed);
        assert!(replace_configuration(&mut world), "seed {seed}");
        let leader = world.leader().expect("a leader");
        stop(&mut world, leader);
        let stopped_at = world.now;
        let other = |world: &World| world.leader().is_some_and(|l| l != leader);
        assert!(world.run_until(stopped_at + 300, other), "seed {seed}");
        println!(
            "seed {seed}: another leads after {} ms",
            world.now - stopped_at
        );
    }
}
