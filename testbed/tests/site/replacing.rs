//! Planned replacements of cores, and losses right after them: a majority is
//! left, and nothing acknowledged is lost.

use super::growth::{grown, ids, members, voters, whole};
use super::*;
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::types::Millis;
use sorreldoor::wire::OpOutcome;

/// What a new machine has to get ready, on small sites.
const SYNC_MS: Millis = 4000;

/// Three cores, each in a zone of its own.
fn three(seed: u64) -> World {
    let mut w = World::new(
        seed,
        if seed.is_multiple_of(2) {
            press()
        } else {
            archive()
        },
    );
    w.grow = true;
    w.replace_ms = 1500;
    let end = w.now + 8000;
    // two of them may found the site before the third has heard of it
    let ready = |w: &World| {
        let has = |c: &usize| w.controller(*c).is_some_and(|h| h.consensus().is_some());
        whole(w) && w.cores().iter().all(has)
    };
    assert!(w.run_until(end, ready), "seed {seed}: {:?}", members(&w));
    for c in w.cores() {
        w.procs[c].bootstrap = false;
    }
    w
}

/// SIGTERM: the process ends by itself a little later.
fn stop(w: &mut World, core: usize) {
    w.core_step(core, ControllerEvent::Stop);
    let incarnation = w.procs[core].incarnation;
    w.after(300, move |w| {
        if w.procs[core].up && w.procs[core].incarnation == incarnation {
            w.crash(core);
        }
    });
}

/// The new one first, and a second later SIGTERM to the old one.
fn replace_planned(w: &mut World, core: usize) -> usize {
    let new = w.replace_core(core);
    w.procs[new].bootstrap = false;
    w.run_for(1000);
    stop(w, core);
    new
}

fn up(w: &World) -> Vec<usize> {
    w.cores().into_iter().filter(|c| w.procs[*c].up).collect()
}

/// The newest serial that any core has applied.
fn newest(w: &World) -> u64 {
    let held = |c: usize| {
        let a = w.controller(c).and_then(|h| h.consensus());
        a.map_or(0, |a| a.state_machine().version())
    };
    w.cores().into_iter().map(held).max().unwrap_or(0)
}

/// One change of the configuration, asked of a core other than `not`; whether
/// it was taken within `wait` milliseconds.
fn put_within(w: &mut World, not: Option<usize>, wait: Millis) -> bool {
    let Some(at) = up(w).into_iter().find(|c| Some(*c) != not) else {
        w.run_for(100);
        return false;
    };
    let (base, doc) = (newest(w), testbed::fleet::configuration(&w.preset));
    let to = None;
    let c = w.change(
        at,
        Command::Put {
            base,
            new_version: to,
            document: doc,
        },
    );
    let end = w.now + wait;
    w.run_until(end, |w| w.changes[c].outcome.is_some());
    let outcome = &w.changes[c].outcome;
    matches!(outcome, Some(OpOutcome::Got(Outcome::Applied { .. })))
}

fn put(w: &mut World) -> bool {
    put_within(w, None, 5000)
}

/// Changes of the configuration, one each 700 ms, until `end`; how many were
/// taken.
fn changes_until(w: &mut World, not: Option<usize>, end: Millis) -> usize {
    let mut taken = 0;
    while w.now < end {
        let next = w.now + 700;
        taken += usize::from(put_within(w, not, 700));
        let rest = next.saturating_sub(w.now);
        w.run_for(rest);
    }
    taken
}

/// Every core that is up is a member, and voters of that many are right.
fn recovers(w: &mut World, seed: u64) {
    assert!(put(w), "seed {seed}: {:?}", members(w));
    let end = w.now + 8000;
    let done = w.run_until(end, whole);
    assert!(done, "seed {seed}: {:?} of {:?}", members(w), ids(w));
    w.run_for(4000);
    sound(w, seed);
}

#[derive(Clone, Copy, Debug)]
enum Second {
    Replaced,
    Power,
    Zone,
    Wiped,
    Frozen,
    Cut,
    /// All lose power, and one loses its disk as well.
    Closing,
}

const SECONDS: [Second; 7] = [
    Second::Replaced,
    Second::Power,
    Second::Zone,
    Second::Wiped,
    Second::Frozen,
    Second::Cut,
    Second::Closing,
];

fn strike(w: &mut World, core: usize, second: Second) {
    match second {
        Second::Replaced => {
            w.crash(core);
            w.after(2000, move |w| {
                let new = w.replace_core(core);
                w.procs[new].bootstrap = false;
            });
        }
        Second::Power => {
            w.crash(core);
            w.after(3000, move |w| w.start(core));
        }
        Second::Zone => {
            let zone = w.procs[core].zone;
            w.zone_dies(zone);
            w.after(3000, move |w| w.start(core));
        }
        Second::Wiped => {
            w.crash(core);
            w.wipe(core);
            w.after(1000, move |w| w.start(core));
        }
        Second::Frozen => w.freeze(core, 4000, false),
        Second::Cut => {
            w.isolate(core);
            w.after(5000, |w| w.cuts.clear());
        }
        Second::Closing => {
            for c in up(w) {
                w.crash(c);
                if c == core {
                    w.wipe(c);
                }
                w.after(1000, move |w| w.start(c));
            }
        }
    }
}

fn replaced_then(seed: u64, second: Second, mut w: World, sync_ms: Millis) {
    assert!(put(&mut w), "seed {seed}");
    let all = up(&w);
    let old = all[(seed as usize) % all.len()];
    let from = w.now;
    replace_planned(&mut w, old);
    // from here on the old one does not count any more
    changes_until(&mut w, None, from + sync_ms);
    let rest: Vec<usize> = up(&w);
    let other = rest[w.rng.below(rest.len() as u64) as usize];
    strike(&mut w, other, second);
    // the one that is struck is not asked meanwhile
    let end = w.now + 6000;
    let taken = changes_until(&mut w, Some(other), end);
    println!("seed {seed}, {second:?}: {taken} changes taken after it");
    assert!(taken >= 3, "seed {seed}, {second:?}: {:?}", members(&w));
    w.run_for(2000);
    recovers(&mut w, seed);
}

#[test]
fn three_cores_bear_any_loss_after_a_planned_replacement() {
    for seed in seeds(7800..7806) {
        for second in SECONDS {
            replaced_then(seed, second, three(seed), SYNC_MS);
        }
    }
}

#[test]
fn six_cores_bear_any_loss_after_a_planned_replacement() {
    for seed in seeds(7900..7904) {
        for second in SECONDS {
            replaced_then(seed, second, grown(seed), SYNC_MS + 2000);
        }
    }
}

/// With its standby caught up, a voter that stops, or is silent, is out at
/// once, or within two seconds.
#[test]
fn a_standby_takes_over_soon() {
    for seed in seeds(8000..8008) {
        for told in [true, false] {
            let mut w = three(seed);
            assert!(put(&mut w), "seed {seed}");
            let old = up(&w)[(seed as usize) % 3];
            let was = w.procs[old].id;
            let new = w.replace_core(old);
            w.procs[new].bootstrap = false;
            let id = w.procs[new].id;
            let joined = |w: &World| members(w).0.iter().any(|m| m.id == id);
            let end = w.now + 3000;
            assert!(w.run_until(end, joined), "seed {seed}");
            w.run_for(500);
            assert!(!voters(&w).contains(&id), "three voters are enough");
            let from = w.now;
            if told {
                stop(&mut w, old);
            } else {
                w.crash(old);
            }
            let swapped = |w: &World| {
                let v = voters(w);
                v.contains(&id) && !v.contains(&was) && !members(w).1
            };
            // a leader that is lost is followed by another first
            let most = if told { 1200 } else { 3200 };
            let done = w.run_until(from + most, swapped);
            assert!(done, "seed {seed}, told {told}: {:?}", members(&w));
            println!("seed {seed}, told {told}: after {} ms", w.now - from);
        }
    }
}

/// One that stops with nobody to take its place keeps it, and comes back.
#[test]
fn a_restart_without_a_standby_changes_no_member() {
    for seed in seeds(8100..8104) {
        let mut w = three(seed);
        let before = members(&w).0;
        for core in up(&w) {
            stop(&mut w, core);
            w.run_for(2500);
            w.start(core);
            w.run_for(SYNC_MS);
            assert_eq!(members(&w).0, before, "seed {seed}");
        }
        assert!(put(&mut w), "seed {seed}");
        w.run_for(4000);
        sound(&w, seed);
    }
}

/// A leader told to stop hands over before it ends.
#[test]
fn a_leader_that_stops_hands_over() {
    for seed in seeds(8200..8210) {
        let mut w = three(seed);
        assert!(put(&mut w), "seed {seed}");
        let leader = w.leader().expect("a leader");
        stop(&mut w, leader);
        let from = w.now;
        let other = |w: &World| w.leader().is_some_and(|l| l != leader);
        assert!(w.run_until(from + 300, other), "seed {seed}");
        println!("seed {seed}: another leads after {} ms", w.now - from);
    }
}
