//! A site founded by its seeds: of further cores as many become voters as the
//! losses to be borne ask for, the rest stand by; a blank one gets its place
//! back, and none of it loses what was acknowledged.

use super::*;
use sorreldoor::consensus::Member;
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::types::Millis;
use sorreldoor::wire::OpOutcome;
use std::net::SocketAddr;
use testbed::site::Storm;

/// Three seeds, and as many cores again that are no seeds.
pub fn six(seed: u64) -> World {
    let mut w = World::new(seed, press());
    w.grow = true;
    w.tolerate = 2;
    w.replace_ms = 1500;
    for (z, (name, region)) in w.site.zones.clone().into_iter().enumerate() {
        let addr: SocketAddr = ([127, 0, 0, 1], 7050 + z as u16).into();
        let p = w.add(&format!("more-{name}"), true, z as u16, region, Some(addr));
        let wait = w.rng.below(200);
        w.after(wait, move |w| w.start(p));
    }
    w
}

/// The members as the leader knows them, and whether a change is under way.
pub fn members(w: &World) -> (Vec<Member>, bool) {
    let a = w
        .leader()
        .and_then(|c| w.controller(c))
        .and_then(|h| h.consensus());
    a.map_or((Vec::new(), false), |a| {
        (a.members().to_vec(), !a.members_settled())
    })
}

pub fn voters(w: &World) -> Vec<u64> {
    let (ms, _) = members(w);
    ms.iter().filter(|m| m.voter).map(|m| m.id).collect()
}

/// The identities of the cores that are up.
pub fn ids(w: &World) -> Vec<u64> {
    let up = w.cores().into_iter().filter(|c| w.procs[*c].up);
    let mut ids: Vec<u64> = up.map(|c| w.procs[c].id).collect();
    ids.sort();
    ids
}

/// All cores that are up are the members, and nobody else; as many of them
/// vote as are wanted, or all; and no change is under way.
pub fn whole(w: &World) -> bool {
    let (ms, changing) = members(w);
    let mut all: Vec<u64> = ms.iter().map(|m| m.id).collect();
    all.sort();
    let wanted = (2 * w.tolerate + 1).min(all.len());
    !all.is_empty() && !changing && all == ids(w) && voters(w).len() == wanted
}

fn all_six(w: &World) -> bool {
    ids(w).len() == 6 && whole(w)
}

pub fn grown(seed: u64) -> World {
    let mut w = six(seed);
    let end = w.now + 8000;
    assert!(w.run_until(end, all_six), "seed {seed}: {:?}", voters(&w));
    for c in w.cores() {
        w.procs[c].bootstrap = false;
    }
    w
}

pub fn put(w: &mut World, base: u64) -> bool {
    let doc = testbed::fleet::configuration(&w.preset);
    let at = w.cores().into_iter().find(|c| w.procs[*c].up);
    let at = at.expect("a core is up");
    let c = w.change(
        at,
        Command::Put {
            base,
            new_version: None,
            document: doc,
        },
    );
    let end = w.now + 10_000;
    w.run_until(end, |w| w.changes[c].outcome.is_some());
    let taken = Outcome::Applied { version: base + 1 };
    w.changes[c].outcome == Some(OpOutcome::Got(taken))
}

#[test]
fn six_cores_grow_from_three_seeds() {
    for seed in seeds(7000..7010) {
        let mut w = six(seed);
        let end = w.now + 8000;
        assert!(w.run_until(end, all_six), "seed {seed}: {:?}", voters(&w));
        println!("seed {seed}: five voters and a standby after {} ms", w.now);
        assert!(put(&mut w, 0), "seed {seed}");
        // any two of six may be lost
        let all = w.cores();
        w.crash(all[(seed % 6) as usize]);
        w.crash(all[((seed + 3) % 6) as usize]);
        assert!(put(&mut w, 1), "seed {seed}");
        w.run_for(4000);
        sound(&w, seed);
    }
}

/// Its disk is gone: it has another identity and no word on what it was told
/// before, and its seat is its own again long before any silence would count.
#[test]
fn a_wiped_core_gets_its_seat_back_soon() {
    for seed in seeds(7100..7115) {
        let mut w = grown(seed);
        w.replace_ms = 60_000;
        assert!(put(&mut w, 0));
        let c = w.cores()[(seed % 6) as usize];
        let was = w.procs[c].id;
        w.crash(c);
        w.wipe(c);
        w.start(c);
        let from = w.now;
        let back = w.run_until(from + 5000, whole);
        assert!(back, "seed {seed}: {:?} of {:?}", voters(&w), ids(&w));
        assert!(!voters(&w).contains(&was));
        println!("seed {seed}: seat back after {} ms", w.now - from);
        assert!(put(&mut w, 1), "seed {seed}");
        w.run_for(2000);
        w.run_for(4000);
        sound(&w, seed);
    }
}

/// A site of three that does not grow does the same.
#[test]
fn a_wiped_core_of_three_gets_its_seat_back_soon() {
    for seed in 7200..7206 {
        let mut w = World::ready(seed, press());
        let c = w.cores()[(seed % 3) as usize];
        w.crash(c);
        w.wipe(c);
        w.start(c);
        let from = w.now;
        assert!(w.run_until(from + 5000, whole), "seed {seed}");
        w.run_for(3000);
        w.run_for(4000);
        sound(&w, seed);
    }
}

#[test]
fn a_core_lost_for_good_is_replaced_at_a_new_address() {
    for seed in seeds(7300..7310) {
        let mut w = grown(seed);
        assert!(put(&mut w, 0));
        let c = w.cores()[(seed % 6) as usize];
        w.crash(c);
        let wait = w.rng.below(1500);
        w.run_for(wait);
        let n = w.replace_core(c);
        w.procs[n].bootstrap = false;
        let from = w.now;
        let done = w.run_until(from + 8000, whole);
        assert!(done, "seed {seed}: {:?} of {:?}", voters(&w), ids(&w));
        println!("seed {seed}: replaced after {} ms", w.now - from);
        assert!(put(&mut w, 1), "seed {seed}");
        w.run_for(4000);
        sound(&w, seed);
    }
}

/// One that was away so long that it was given up joins again by its log.
#[test]
fn a_core_that_was_given_up_comes_back() {
    for seed in 7400..7405 {
        let mut w = grown(seed);
        let c = w.cores()[(seed % 6) as usize];
        w.isolate(c);
        w.run_for(30_000);
        // the standby votes in its place, and it is no member any more
        let given_up = w.procs[c].id;
        let (ms, _) = members(&w);
        assert!(ms.iter().all(|m| m.id != given_up), "seed {seed}");
        assert_eq!(voters(&w).len(), 5, "seed {seed}");
        w.cuts.clear();
        let end = w.now + 10_000;
        assert!(w.run_until(end, whole), "seed {seed}: {:?}", voters(&w));
        assert!(put(&mut w, 0));
        w.run_for(4000);
        sound(&w, seed);
    }
}

#[test]
fn a_blank_core_without_leave_never_founds() {
    for seed in 7500..7510 {
        let mut w = six(seed);
        for c in w.cores() {
            w.procs[c].bootstrap = false;
        }
        w.run_for(20_000);
        let founded = |c: &usize| w.controller(*c).is_some_and(|h| h.consensus().is_some());
        assert!(!w.cores().iter().any(founded), "seed {seed}");
    }
    // nor by what it promised in a life in which it had leave
    for seed in 7510..7520 {
        let mut w = six(seed);
        let promised = |w: &World| {
            w.cores().iter().all(|c| {
                let seed = *c < 3;
                !seed || w.procs[*c].promise.is_some()
            })
        };
        let end = w.now + 5000;
        assert!(w.run_until(end, promised), "seed {seed}");
        let all = w.cores();
        for c in &all {
            w.crash(*c);
            w.procs[*c].bootstrap = false;
            w.procs[*c].disk = Default::default();
        }
        all.iter().for_each(|c| w.start(*c));
        w.run_for(20_000);
        let founded = |c: &usize| w.controller(*c).is_some_and(|h| h.consensus().is_some());
        assert!(!w.cores().iter().any(founded), "seed {seed}");
    }
}

/// One core at a time is killed, wiped or replaced, under changes; whatever
/// was acknowledged stays, and the site is whole in the end.
#[test]
fn growth_under_losses_keeps_what_was_acked() {
    for seed in seeds(7600..7620) {
        let mut w = grown(seed);
        assert!(put(&mut w, 0));
        let mut base = 1;
        for _ in 0..5 {
            let up: Vec<usize> = w.cores().into_iter().filter(|c| w.procs[*c].up).collect();
            let c = up[w.rng.below(up.len() as u64) as usize];
            w.crash(c);
            match w.rng.below(3) {
                0 => {
                    w.wipe(c);
                    w.start(c);
                }
                1 => {
                    let n = w.replace_core(c);
                    w.procs[n].bootstrap = false;
                }
                _ => w.start(c),
            }
            if put(&mut w, base) {
                base += 1;
            }
            let wait: Millis = 4000 + w.rng.below(3000);
            w.run_for(wait);
        }
        let end = w.now + 12_000;
        let done = w.run_until(end, whole);
        assert!(done, "seed {seed}: {:?} of {:?}", voters(&w), ids(&w));
        assert!(base > 1, "seed {seed}");
        w.run_for(4000);
        sound(&w, seed);
    }
}

/// Storms over six cores: kills, freezes and cuts, no disk lost.
#[test]
fn storms_over_six_cores() {
    for seed in seeds(7700..7706) {
        let mut w = grown(seed);
        assert!(put(&mut w, 0));
        let end = w.now + 20_000;
        w.storm(Storm::all(), end);
        w.run_for(20_000);
        w.heal();
        w.run_for(30_000);
        assert!(w.leader().is_some(), "seed {seed}");
        w.run_for(4000);
        sound(&w, seed);
    }
}
