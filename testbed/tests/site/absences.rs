//! Nodes that come back after an absence in which every core that they knew was
//! replaced by one at another address.

use super::*;
use sorreldoor::consensus::Member;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::types::Millis;

/// How long an edge is frozen or cut off.
const EDGE_ABSENCE_MS: Millis = 20_000;
/// How long a core is frozen or cut off: longer, so that it is removed meanwhile.
const CORE_ABSENCE_MS: Millis = 40_000;
/// Time for a replacement to become a voter.
const REPLACED_MS: Millis = 8000;
/// Time after which a node that is back is in touch again (`contactMs` of the
/// stricter site).
const CONTACT_MS: Millis = 4000;
/// Time from the acknowledgement of a change until edges in touch apply it.
const APPLY_MS: Millis = 3000;

/// How a node is absent.
#[derive(Clone, Copy, Debug)]
enum Absence {
    Frozen,
    CutOff,
}

impl Absence {
    const ALL: [Absence; 2] = [Absence::Frozen, Absence::CutOff];

    /// Makes a process absent for some time.
    fn begin(self, world: &mut World, process: usize, ms: Millis) {
        match self {
            Absence::Frozen => world.freeze(process, ms, false),
            Absence::CutOff => {
                world.isolate(process);
                world.after(ms, |world| world.blocked_links.clear());
            }
        }
    }

    /// Extends the absence of a process to one that has just been added.
    fn extend_to(self, world: &mut World, process: usize, added: usize) {
        if matches!(self, Absence::CutOff) {
            world.partition_pair(process, added);
        }
    }
}

/// A site founded by its seeds, whose lost cores are replaced soon.
fn replaceable_world(seed: u64) -> World {
    let preset = preset_for(seed);
    let document = testbed::fleet::configuration(&preset);
    let mut world = World::ready_customized(seed, preset, &document, |world| {
        world.only_seeds_bootstrap = true;
        world.replace_after_ms = 1500;
        world.pacing = frugal_pacing();
    });
    for core in world.cores() {
        world.processes[core].may_bootstrap = false;
    }
    world
}

/// The members according to the leader, leaving out a frozen one, and whether a
/// membership change is in progress.
fn members(world: &World) -> (Vec<Member>, bool) {
    let runs = |core: &usize| world.processes[*core].frozen_until <= world.now;
    let cores = world.cores().into_iter().filter(runs);
    let controllers = cores.filter_map(|core| world.controller(core));
    let leader = controllers
        .filter_map(|controller| controller.consensus())
        .find(|consensus| consensus.leads_globally());
    leader.map_or((Vec::new(), false), |leader| {
        (leader.members().to_vec(), !leader.has_stable_membership())
    })
}

/// Has the settings file name the cores that are up, without an absent one.
fn name_current_cores(world: &mut World, absent: Option<usize>) {
    let cores = world.cores().into_iter();
    let running = cores.filter(|core| world.processes[*core].up && Some(*core) != absent);
    world.settings_seeds = running.filter_map(|c| world.processes[c].addr).collect();
}

/// Starts a core in the zone of `old`, whose settings do not name an absent core.
fn start_replacement(world: &mut World, old: usize, absent: Option<usize>) -> usize {
    name_current_cores(world, absent);
    let new = world.replace_core(old);
    world.processes[new].may_bootstrap = false;
    new
}

/// Waits until a new core votes in place of an old one.
fn wait_until_replaced(world: &mut World, old: usize, new: usize) {
    let (old_id, new_id) = (world.processes[old].id, world.processes[new].id);
    let replaced = move |world: &World| {
        let (members, in_change) = members(world);
        let votes = |id| members.iter().any(|member| member.id == id && member.voter);
        votes(new_id) && !votes(old_id) && !in_change
    };
    let end = world.now + REPLACED_MS;
    let done = world.run_until(end, replaced);
    assert!(done, "core {new} does not vote: {:?}", members(world));
}

/// Changes the configuration at a core; returns its version.
fn change_configuration(world: &mut World, core: usize) -> u64 {
    let (base, document) = (
        newest_version(world),
        testbed::fleet::configuration(&world.preset),
    );
    let change = world.change(core, replacement(base, document));
    let end = world.now + 5000;
    world.run_until(end, |world| world.changes[change].outcome.is_some());
    assert!(was_committed(world, change), "the change is not committed");
    newest_version(world)
}

/// Replaces each of the cores, which are lost for good unless they are absent; returns
/// the last new one.
fn replace_all(world: &mut World, cores: &[usize], absent: Option<(usize, Absence)>) -> usize {
    let mut last = None;
    for core in cores {
        let is_absent = absent.is_some_and(|(process, _)| process == *core);
        if !is_absent {
            world.crash(*core);
        }
        let new = start_replacement(world, *core, absent.map(|(process, _)| process));
        if let Some((process, absence)) = absent {
            absence.extend_to(world, process, new);
        }
        wait_until_replaced(world, *core, new);
        last = Some(new);
    }
    last.expect("a core to replace")
}

fn is_member(world: &World, id: u64) -> bool {
    members(world).0.iter().any(|member| member.id == id)
}

/// Has an edge miss the replacement of every core. Returns whether it applies a later
/// change once it is in touch, and how long after its return.
fn returns_to_new_cores(seed: u64, absence: Absence) -> (bool, Millis) {
    let mut world = replaceable_world(seed);
    let edge = world.edges()[seed as usize % world.edges().len()];
    let back_at = world.now + EDGE_ABSENCE_MS;
    absence.begin(&mut world, edge, EDGE_ABSENCE_MS);
    let cores = world.cores();
    let core = replace_all(&mut world, &cores, Some((edge, absence)));
    assert!(world.now < back_at, "seed {seed}: replaced too late");
    world.run_for(back_at - world.now);
    let version = change_configuration(&mut world, core);
    let end = (back_at + CONTACT_MS).max(world.now + APPLY_MS);
    let applied = world.run_until(end, |world| world.version_at(edge) == Some(version));
    (applied, world.now - back_at)
}

#[test]
fn an_edge_that_was_absent_while_every_core_was_replaced_applies_new_configurations() {
    for seed in seeds(9600..9603) {
        for absence in Absence::ALL {
            let (applied, after_ms) = returns_to_new_cores(seed, absence);
            assert!(applied, "seed {seed}, {absence:?}: an old configuration");
            println!("seed {seed}, {absence:?}: after {after_ms} ms");
        }
    }
}

#[test]
fn without_the_search_the_test_above_fails() {
    disable_only(Some(Invariant::IsolatedNodeSearches));
    let (applied, _) = returns_to_new_cores(9600, Absence::Frozen);
    disable_only(None);
    assert!(!applied, "the mutant is not seen");
}

#[test]
fn a_core_that_was_absent_while_the_others_were_replaced_joins_again() {
    for seed in seeds(9610..9613) {
        for absence in Absence::ALL {
            let mut world = replaceable_world(seed);
            let cores = world.cores();
            let absent = cores[seed as usize % cores.len()];
            let id = world.processes[absent].id;
            let back_at = world.now + CORE_ABSENCE_MS;
            absence.begin(&mut world, absent, CORE_ABSENCE_MS);
            let others = cores.into_iter().filter(|core| *core != absent);
            let all: Vec<usize> = [absent].into_iter().chain(others).collect();
            replace_all(&mut world, &all, Some((absent, absence)));
            let removed = world.run_until(back_at, |world| !is_member(world, id));
            assert!(removed, "seed {seed}: {:?}", members(&world));
            world.run_for(back_at - world.now);
            let joined = world.run_until(back_at + CONTACT_MS, |world| is_member(world, id));
            assert!(
                joined,
                "seed {seed}, {absence:?}: the core is no member: {:?}",
                members(&world)
            );
            println!("seed {seed}, {absence:?}: after {} ms", world.now - back_at);
        }
    }
}

/// The rounds of a random run, each with absences and one replacement.
const ROUNDS: usize = 6;

/// Random nodes are absent for 20 s each, frozen, cut off or down, while cores are
/// replaced one after the other. In the end every node is in touch.
#[test]
fn every_node_is_in_touch_after_random_absences_and_replacements() {
    for seed in seeds(9630..9634) {
        let mut world = replaceable_world(seed);
        for _ in 0..ROUNDS {
            let edges = world.edges();
            let edge = edges[world.rng.below(edges.len() as u64) as usize];
            begin_random_absence(&mut world, edge);
            replace_random_core(&mut world);
        }
        world.run_for(CORE_ABSENCE_MS);
        name_current_cores(&mut world, None);
        world.run_for(CONTACT_MS);
        let core = up_cores(&world)[0];
        let version = change_configuration(&mut world, core);
        let end = world.now + APPLY_MS;
        world.run_until(end, |world| outdated_nodes(world, version).is_empty());
        let outdated = outdated_nodes(&world, version);
        assert!(
            outdated.is_empty(),
            "seed {seed}: {outdated:?} lack {version}"
        );
        assert_no_violations(&world, seed);
    }
}

fn up_cores(world: &World) -> Vec<usize> {
    let cores = world.cores().into_iter();
    cores.filter(|core| world.processes[*core].up).collect()
}

/// The nodes that are up and have not applied the version.
fn outdated_nodes(world: &World, version: u64) -> Vec<String> {
    let all = world.edges().into_iter().chain(up_cores(world));
    let outdated = all.filter(|node| world.version_at(*node) != Some(version));
    outdated
        .map(|node| world.processes[node].name.clone())
        .collect()
}

fn begin_random_absence(world: &mut World, edge: usize) {
    match world.rng.below(3) {
        0 => Absence::Frozen.begin(world, edge, EDGE_ABSENCE_MS),
        1 => Absence::CutOff.begin(world, edge, EDGE_ABSENCE_MS),
        _ if world.processes[edge].up => {
            world.crash(edge);
            world.after(EDGE_ABSENCE_MS, move |world| world.start(edge));
        }
        _ => {}
    }
}

/// Replaces a core that is lost, or that stands still and comes back later.
fn replace_random_core(world: &mut World) {
    let cores = up_cores(world);
    let running = cores
        .iter()
        .filter(|c| world.processes[**c].frozen_until <= world.now);
    let running: Vec<usize> = running.copied().collect();
    let old = running[world.rng.below(running.len() as u64) as usize];
    if world.rng.chance(50) {
        world.crash(old);
    } else {
        world.freeze(old, CORE_ABSENCE_MS, false);
    }
    let new = start_replacement(world, old, Some(old));
    let new_id = world.processes[new].id;
    let votes = move |world: &World| {
        let (members, in_change) = members(world);
        members.iter().any(|m| m.id == new_id && m.voter) && !in_change
    };
    let end = world.now + REPLACED_MS;
    world.run_until(end, votes);
}

/// A machine that starts while none of its seeds exists any more, until its settings
/// file is written again.
#[test]
fn nodes_that_start_with_seeds_that_are_gone_follow_the_settings_file() {
    for seed in seeds(9620..9623) {
        let mut world = replaceable_world(seed);
        let old_seeds = world.settings_seeds.clone();
        let cores = world.cores();
        let last = replace_all(&mut world, &cores, None);
        world.settings_seeds = old_seeds;
        let edge = world.edges()[seed as usize % world.edges().len()];
        world.crash(edge);
        world.start(edge);
        let joiner = world.replace_core(last);
        world.processes[joiner].may_bootstrap = false;
        world.run_for(5000);
        name_current_cores(&mut world, None);
        let version = change_configuration(&mut world, last);
        let id = world.processes[joiner].id;
        let end = world.now + CONTACT_MS;
        let is_back =
            |world: &World| world.version_at(edge) == Some(version) && is_member(world, id);
        assert!(
            world.run_until(end, is_back),
            "seed {seed}: edge has {:?}, not {version}; members {:?}",
            world.version_at(edge),
            members(&world)
        );
    }
}
