//! Restarts of all processes: edges serve by committed state before there is a leader,
//! and no edge ever goes back to older state.

use super::*;
use sorreldoor::types::Millis;

/// A site with the pacing for expensive traffic.
fn frugal_world(seed: u64) -> World {
    let preset = preset_for(seed);
    let doc = testbed::fleet::configuration(&preset);
    World::ready_customized(seed, preset, &doc, |world| {
        world.singleton_poll_ms = Some(500);
        world.pacing = frugal_pacing();
    })
}

fn change(world: &mut World) {
    let base = world
        .edge_controller(world.edges()[0])
        .map_or(0, |controller| controller.cluster.snapshot.view.version);
    let (zone, at) = (0, world.cores()[0]);
    let evacuated = false;
    let c = world.change(at, zone_change(base, zone, evacuated));
    let end = world.now + 4000;
    world.run_until(end, |world| world.changes[c].outcome.is_some());
}

fn crash_all(world: &mut World) {
    (0..world.processes.len()).for_each(|p| world.crash(p));
    world.run_for(1000);
}

fn start_all(world: &mut World) {
    let mut all: Vec<usize> = (0..world.processes.len()).collect();
    while !all.is_empty() {
        let i = world.rng.below(all.len() as u64) as usize;
        world.start(all.swap_remove(i));
        let wait = world.rng.below(15);
        world.run_for(wait);
    }
}

fn ready(world: &World, e: usize) -> bool {
    world.edge_controller(e).is_some_and(|controller| {
        controller.ready().is_ok() && controller.cluster.snapshot.registry.version > 0
    })
}

/// The versions that each edge applies; none decreases while the process runs.
fn versions(world: &World) -> Vec<(u64, u64, u64)> {
    let of = |e: &usize| {
        let controller = world.edge_controller(*e)?;
        Some((
            controller.pull.known_versions.record,
            controller.cluster.snapshot.view.version,
            controller.pull.known_versions.registry,
        ))
    };
    world
        .edges()
        .iter()
        .map(|e| of(e).unwrap_or_default())
        .collect()
}

/// Runs until `f` holds and returns the time taken; asserts that no edge's version
/// decreases.
fn time_until(world: &mut World, limit_ms: Millis, f: impl Fn(&World) -> bool) -> Option<Millis> {
    let from = world.now;
    let mut was = versions(world);
    while world.now < from + limit_ms {
        if f(world) {
            return Some(world.now - from);
        }
        world.run_for(5);
        let is = versions(world);
        let grew =
            |(a, b): (&(u64, u64, u64), &(u64, u64, u64))| a.0 <= b.0 && a.1 <= b.1 && a.2 <= b.2;
        assert!(was.iter().zip(&is).all(grew), "{was:?} {is:?}");
        was = is;
    }
    None
}

#[test]
fn after_a_full_restart_edges_serve_before_there_is_a_leader() {
    let (mut first_serving_ms, mut all_serving_ms, mut leader_elected_ms) =
        (Vec::new(), Vec::new(), Vec::new());
    for seed in seeds(8200..8220) {
        let mut world = frugal_world(seed);
        change(&mut world);
        if seed % 3 == 0 {
            world.run_for(2000);
        }
        crash_all(&mut world);
        start_all(&mut world);
        let edges = world.edges();
        let first_serving = time_until(&mut world, 2000, |world| {
            edges.iter().any(|e| ready(world, *e))
        });
        let all_serving = time_until(&mut world, 2000, |world| {
            edges.iter().all(|e| ready(world, *e))
        });
        let leader_elected = time_until(&mut world, 4000, |world| world.leader().is_some());
        let (first_serving, all_serving, leader_elected) = (
            first_serving.expect("one"),
            all_serving.expect("all"),
            leader_elected.expect("led"),
        );
        first_serving_ms.push(first_serving);
        all_serving_ms.push(first_serving + all_serving);
        leader_elected_ms.push(first_serving + all_serving + leader_elected);
        // every edge has the acknowledged change and serves by verified state
        let top = 2;
        // the leader may have been elected just now
        let there = |world: &World| newest_version(world) >= top;
        assert!(time_until(&mut world, 500, there).is_some(), "seed {seed}");
        let proved = |world: &World| {
            edges
                .iter()
                .all(|e| version_of(world, *e) >= top && ready(world, *e))
        };
        assert!(
            time_until(&mut world, 3000, proved).is_some(),
            "seed {seed}"
        );
        // a follower may learn of the newest commit with the next heartbeat
        let everywhere = |world: &World| world.lost_acknowledged_changes().is_empty();
        assert!(
            time_until(&mut world, 500, everywhere).is_some(),
            "seed {seed}"
        );
        assert_no_violations(&world, seed);
    }
    let show = |what: &str, v: &mut Vec<Millis>| {
        v.sort_unstable();
        let (median, longest) = (v[v.len() / 2], v[v.len() - 1]);
        println!("{what}: median {median} ms, most {longest} ms after the last start");
        longest
    };
    show("a first edge serves", &mut first_serving_ms);
    let longest = show("every edge serves", &mut all_serving_ms);
    show("and a leader leads", &mut leader_elected_ms);
    assert!(longest <= 800, "{longest}");
}

fn version_of(world: &World, e: usize) -> u64 {
    world
        .edge_controller(e)
        .map_or(0, |controller| controller.cluster.snapshot.view.version)
}

/// An edge ignores the empty state of a core that lost its disk.
#[test]
fn the_empty_state_of_a_wiped_core_is_no_update() {
    for seed in seeds(8300..8310) {
        let mut world = frugal_world(seed);
        change(&mut world);
        world.run_for(1000);
        let (cs, e) = (world.cores(), world.edges()[0]);
        let wiped = cs[seed as usize % 3];
        let top = version_of(&world, e);
        crash_all(&mut world);
        world.wipe(wiped);
        world.processes[wiped].may_bootstrap = false;
        // this edge reaches only the wiped core, which reaches no other core
        let others: Vec<usize> = cs.iter().copied().filter(|c| *c != wiped).collect();
        for c in &others {
            world.partition_pair(e, *c);
            world.partition_pair(wiped, *c);
        }
        start_all(&mut world);
        let has = |world: &World| {
            world
                .edge_controller(e)
                .is_some_and(|controller| controller.pull.known_versions.record > 0)
        };
        assert_eq!(time_until(&mut world, 3000, has), None, "seed {seed}");
        world.blocked_links.clear();
        let back = |world: &World| ready(world, e) && version_of(world, e) >= top;
        assert!(time_until(&mut world, 8000, back).is_some(), "seed {seed}");
        // the edge may be back before the wiped core has its log again
        let all_changes_present = |world: &World| world.lost_acknowledged_changes().is_empty();
        assert!(
            time_until(&mut world, 4000, all_changes_present).is_some(),
            "seed {seed}"
        );
        assert_no_violations(&world, seed);
    }
}

/// An edge that starts at a partitioned core serves by its unverified state, then finds
/// a core with a quorum and applies its newer state.
#[test]
fn an_unverified_session_looks_for_a_quorum() {
    for seed in seeds(8400..8410) {
        let mut world = frugal_world(seed);
        let (cs, e) = (world.cores(), world.edges()[seed as usize % 3]);
        let l = world.leader().expect("led");
        let cut = cs.iter().copied().find(|c| *c != l).expect("another");
        for c in cs.iter().filter(|c| **c != cut) {
            world.partition_pair(cut, *c);
        }
        world.run_for(3000);
        world.crash(e);
        // it connects to the partitioned core first
        let others: Vec<usize> = cs.iter().copied().filter(|c| *c != cut).collect();
        others.iter().for_each(|c| world.partition_pair(e, *c));
        world.run_for(500);
        world.start(e);
        assert!(
            time_until(&mut world, 2000, |world| ready(world, e)).is_some(),
            "seed {seed}"
        );
        let at = world.cores().into_iter().find(|c| *c == l).expect("there");
        let base = version_of(&world, world.edges()[4]);
        let zone = 0;
        let c = world.change(at, zone_change(base, zone, false));
        let end = world.now + 4000;
        world.run_until(end, |world| world.changes[c].outcome.is_some());
        for c in &others {
            world.blocked_links.remove(&(e, *c));
            world.blocked_links.remove(&(*c, e));
        }
        let newest = |world: &World| version_of(world, e) > base;
        let elapsed_ms = time_until(&mut world, 3000, newest);
        println!("seed {seed}: proved after {elapsed_ms:?} ms");
        assert!(elapsed_ms.is_some(), "seed {seed}");
        world.blocked_links.clear();
        world.run_for(3000);
        assert_no_violations(&world, seed);
    }
}
