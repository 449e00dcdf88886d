//! All processes die and come back: what was committed serves at once, by
//! older records too, and nothing an edge has had is ever undone.

use super::*;
use sorreldoor::pacing::Pacing;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;

/// As on machines where bytes and calls are dear.
fn dear(seed: u64) -> World {
    let preset = if seed.is_multiple_of(2) {
        press()
    } else {
        archive()
    };
    let doc = testbed::fleet::configuration(&preset);
    World::ready_by(seed, preset, &doc, |w| {
        w.holder_polls = Some(500);
        w.pacing = Pacing {
            tick_ms: 20,
            beat_ms: Some(150),
            renew_ms: 500,
            ping_ms: 500,
            gather: false,
            claims: false,
            accounts: false,
            unverified_after_ms: Some(0),
            ..Pacing::default()
        };
    })
}

fn change(w: &mut World) {
    let base = w
        .edge_controller(w.edges()[0])
        .map_or(0, |h| h.cluster.snapshot.view.version);
    let (zone, at) = (0, w.cores()[0]);
    let evacuated = false;
    let c = w.change(
        at,
        Command::EvacuateZone {
            base,
            zone,
            evacuated,
        },
    );
    let end = w.now + 4000;
    w.run_until(end, |w| w.changes[c].outcome.is_some());
}

fn all_die(w: &mut World) {
    (0..w.procs.len()).for_each(|p| w.crash(p));
    w.run_for(1000);
}

fn all_start(w: &mut World) {
    let mut all: Vec<usize> = (0..w.procs.len()).collect();
    while !all.is_empty() {
        let i = w.rng.below(all.len() as u64) as usize;
        w.start(all.swap_remove(i));
        let wait = w.rng.below(15);
        w.run_for(wait);
    }
}

fn ready(w: &World, e: usize) -> bool {
    w.edge_controller(e)
        .is_some_and(|h| h.ready().is_ok() && h.cluster.snapshot.registry.version > 0)
}

/// What each edge acts by, which must only grow within its life.
fn marks(w: &World) -> Vec<(u64, u64, u64)> {
    let of = |e: &usize| {
        let h = w.edge_controller(*e)?;
        Some((
            h.pull.have.record,
            h.cluster.snapshot.view.version,
            h.pull.have.registry,
        ))
    };
    w.edges()
        .iter()
        .map(|e| of(e).unwrap_or_default())
        .collect()
}

/// Run until `f` holds, with an eye on what edges act by at every step.
fn watched(w: &mut World, most: Millis, f: impl Fn(&World) -> bool) -> Option<Millis> {
    let from = w.now;
    let mut was = marks(w);
    while w.now < from + most {
        if f(w) {
            return Some(w.now - from);
        }
        w.run_for(5);
        let is = marks(w);
        let grew =
            |(a, b): (&(u64, u64, u64), &(u64, u64, u64))| a.0 <= b.0 && a.1 <= b.1 && a.2 <= b.2;
        assert!(was.iter().zip(&is).all(grew), "{was:?} {is:?}");
        was = is;
    }
    None
}

#[test]
fn all_killed_and_back_serve_before_there_is_a_leader() {
    let (mut one, mut last, mut led) = (Vec::new(), Vec::new(), Vec::new());
    for seed in seeds(8200..8220) {
        let mut w = dear(seed);
        change(&mut w);
        if seed % 3 == 0 {
            w.run_for(2000);
        }
        all_die(&mut w);
        all_start(&mut w);
        let es = w.edges();
        let any = watched(&mut w, 2000, |w| es.iter().any(|e| ready(w, *e)));
        let most = watched(&mut w, 2000, |w| es.iter().all(|e| ready(w, *e)));
        let lead = watched(&mut w, 4000, |w| w.leader().is_some());
        let (any, most, lead) = (any.expect("one"), most.expect("all"), lead.expect("led"));
        one.push(any);
        last.push(any + most);
        led.push(any + most + lead);
        // what is acknowledged is there, and proved, by every edge
        let top = 2;
        // a leader may have been elected this very moment
        let there = |w: &World| highest_version(w) >= top;
        assert!(watched(&mut w, 500, there).is_some(), "seed {seed}");
        let proved = |w: &World| es.iter().all(|e| marks_of(w, *e) >= top && ready(w, *e));
        assert!(watched(&mut w, 3000, proved).is_some(), "seed {seed}");
        sound(&w, seed);
    }
    let show = |what: &str, v: &mut Vec<Millis>| {
        v.sort_unstable();
        let (mid, most) = (v[v.len() / 2], v[v.len() - 1]);
        println!("{what}: median {mid} ms, most {most} ms after the last start");
        most
    };
    show("a first edge serves", &mut one);
    let most = show("every edge serves", &mut last);
    show("and a leader leads", &mut led);
    assert!(most <= 800, "{most}");
}

/// The newest version that any core has applied.
fn highest_version(w: &World) -> u64 {
    let versions = w.cores().into_iter().filter_map(|c| w.version_at(c));
    versions.max().unwrap_or(0)
}

fn marks_of(w: &World, e: usize) -> u64 {
    w.edge_controller(e)
        .map_or(0, |h| h.cluster.snapshot.view.version)
}

/// A core that lost its disk has nothing to tell, and says nothing for news.
#[test]
fn the_emptiness_of_a_wiped_core_is_no_news() {
    for seed in seeds(8300..8310) {
        let mut w = dear(seed);
        change(&mut w);
        w.run_for(1000);
        let (cs, e) = (w.cores(), w.edges()[0]);
        let wiped = cs[seed as usize % 3];
        let top = marks_of(&w, e);
        all_die(&mut w);
        w.wipe(wiped);
        w.procs[wiped].bootstrap = false;
        // this edge reaches none but the wiped core, which reaches no other
        let others: Vec<usize> = cs.iter().copied().filter(|c| *c != wiped).collect();
        for c in &others {
            w.cut_both(e, *c);
            w.cut_both(wiped, *c);
        }
        all_start(&mut w);
        let has = |w: &World| w.edge_controller(e).is_some_and(|h| h.pull.have.record > 0);
        assert_eq!(watched(&mut w, 3000, has), None, "seed {seed}");
        w.cuts.clear();
        let back = |w: &World| ready(w, e) && marks_of(w, e) >= top;
        assert!(watched(&mut w, 8000, back).is_some(), "seed {seed}");
        // the edge may be back before the wiped core has its log again
        let kept = |w: &World| w.kept().is_empty();
        assert!(watched(&mut w, 4000, kept).is_some(), "seed {seed}");
        sound(&w, seed);
    }
}

/// A core cut off from the others serves what it has to an edge that starts;
/// the edge finds those that a majority reaches, and goes by their record.
#[test]
fn an_unproved_session_looks_for_a_proof() {
    for seed in seeds(8400..8410) {
        let mut w = dear(seed);
        let (cs, e) = (w.cores(), w.edges()[seed as usize % 3]);
        let l = w.leader().expect("led");
        let cut = cs.iter().copied().find(|c| *c != l).expect("another");
        for c in cs.iter().filter(|c| **c != cut) {
            w.cut_both(cut, *c);
        }
        w.run_for(3000);
        w.crash(e);
        // it comes to the cut one first
        let others: Vec<usize> = cs.iter().copied().filter(|c| *c != cut).collect();
        others.iter().for_each(|c| w.cut_both(e, *c));
        w.run_for(500);
        w.start(e);
        assert!(
            watched(&mut w, 2000, |w| ready(w, e)).is_some(),
            "seed {seed}"
        );
        let at = w.cores().into_iter().find(|c| *c == l).expect("there");
        let base = marks_of(&w, w.edges()[4]);
        let zone = 0;
        let c = w.change(
            at,
            Command::EvacuateZone {
                base,
                zone,
                evacuated: false,
            },
        );
        let end = w.now + 4000;
        w.run_until(end, |w| w.changes[c].outcome.is_some());
        for c in &others {
            w.cuts.remove(&(e, *c));
            w.cuts.remove(&(*c, e));
        }
        let newest = |w: &World| marks_of(w, e) > base;
        let took = watched(&mut w, 3000, newest);
        println!("seed {seed}: proved after {took:?} ms");
        assert!(took.is_some(), "seed {seed}");
        w.cuts.clear();
        w.run_for(3000);
        sound(&w, seed);
    }
}
