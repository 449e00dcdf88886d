//! The product's own rules, broken one at a time, and the check of its point
//! that must say so. With the rule kept, the same runs must be found sound.

use super::configurations::week;
use super::*;
use sorreldoor::invariants::{break_only, Invariant};
use sorreldoor::replicated_state::Command;
use testbed::site::Storm;

type Run = fn(u64) -> World;

/// The first seed by which the word shows up, with the rule broken.
fn caught(rule: Invariant, word: &str, run: Run) {
    break_only(Some(rule));
    let all_wrong = |w: &World| {
        let mut all = all_wrong(w);
        // other setups warm workers up otherwise
        all.extend(w.flooded().into_iter().filter(|_| rule == Invariant::Warm));
        all
    };
    let seed = (0..30).find(|seed| all_wrong(&run(*seed)).iter().any(|w| w.contains(word)));
    break_only(None);
    println!("{}: caught by seed {seed:?} ({word})", rule.name());
    let seed = seed.unwrap_or_else(|| panic!("{} broken was not seen", rule.name()));
    let kept = all_wrong(&run(seed));
    assert!(kept.is_empty(), "{} kept: {kept:#?}", rule.name());
}

fn all_wrong(w: &World) -> Vec<String> {
    let mut all = check(w);
    all.extend(w.kept());
    all.extend(w.retried_too_much());
    all
}

/// An edge cut off, one asleep, while a zone is emptied.
fn emptied_behind_a_cut(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 14_000;
    w.traffic(120, end, |_, _| true);
    let (cut, asleep) = (w.edges()[1], w.edges()[6]);
    w.isolate(cut);
    w.freeze(asleep, 6000, true);
    let at = w.edges()[0];
    let (base, zone, evacuated) = (1, 0, true);
    w.change(
        at,
        Command::EvacuateZone {
            base,
            zone,
            evacuated,
        },
    );
    w.run_for(15_000);
    w.heal();
    w.run_for(60_000);
    w
}

/// A core with the sessions of its region's edges, cut off from the others.
fn core_cut_off(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 14_000;
    w.traffic(120, end, |_, _| true);
    let e = w.edges()[8];
    let at = w.edge_controller(e).and_then(|h| h.pull.dialled);
    let alone = w.cores().into_iter().find(|c| w.procs[*c].addr == at);
    let alone = alone.expect("an edge that serves has a core");
    for c in w.cores() {
        if c != alone {
            w.cut_both(c, alone);
        }
    }
    w.after(3000, move |w| {
        let at = w.cores().into_iter().find(|c| *c != alone).unwrap_or(0);
        let (base, zone, evacuated) = (1, 0, true);
        w.change(
            at,
            Command::EvacuateZone {
                base,
                zone,
                evacuated,
            },
        );
    });
    w.run_for(15_000);
    w.heal();
    w.run_for(60_000);
    w
}

fn worker_leaves(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 9000;
    w.traffic(120, end, |_, _| true);
    for k in 0..5 {
        w.leave(k);
    }
    w.run_for(70_000);
    w
}

fn workers_die(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 10_000;
    w.traffic(100, end, |_, _| true);
    let only = Storm {
        workers: true,
        every: 100,
        ..Storm::none()
    };
    w.storm(only, end);
    w.run_for(11_000);
    w.heal();
    w.run_for(60_000);
    w
}

/// Most workers cannot be reached from the edges, though the cores reach them.
fn workers_out_of_reach(seed: u64) -> World {
    let mut w = world(seed);
    for e in w.edges() {
        for k in 0..w.workers.len() {
            if w.rng.chance(70) {
                w.worker_cuts.insert((e, k));
            }
        }
    }
    let end = w.now + 12_000;
    w.traffic(150, end, |_, _| true);
    w.run_for(80_000);
    w
}

fn region_back(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 15_000;
    w.traffic(150, end, |_, _| true);
    let mine: Vec<usize> = (0..w.workers.len())
        .filter(|k| w.workers[*k].region == 1 && w.workers[*k].model)
        .collect();
    for k in &mine {
        w.worker_dies(*k);
    }
    w.run_for(6000);
    for k in &mine {
        w.worker_starts(*k);
    }
    w.run_for(70_000);
    w
}

/// Callers that ask again under their id elsewhere, while nodes die.
pub fn asked_twice(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 12_000;
    w.traffic(60, end, |_, _| true);
    let s = Storm {
        clocks: false,
        changes: false,
        every: 400,
        ..Storm::all()
    };
    w.storm(s, end);
    while w.now < end + 4000 {
        w.run_for(100);
        let unsure: Vec<u64> = w
            .callers
            .iter()
            .filter(|(_, c)| c.route != "page" && !c.retried && !ok(&c.got))
            .filter(|(_, c)| w.now - c.start > 1200)
            .map(|(n, _)| *n)
            .collect();
        for n in unsure {
            let edges = w.edges();
            let e = edges[w.rng.below(edges.len() as u64) as usize];
            w.ask_again(n, e);
        }
    }
    w.heal();
    w.run_for(60_000);
    w
}

/// All cores killed together, again and again, under callers who ask again.
fn cores_killed_at_once(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 9000;
    w.traffic(150, end, |_, _| true);
    while w.now < end {
        let gap = 300 + w.rng.below(900);
        w.run_for(gap);
        for c in w.cores() {
            w.procs[c].disk.sync_ms = 60;
            w.crash(c);
            w.start(c);
        }
        let unsure: Vec<u64> = w
            .callers
            .iter()
            .filter(|(_, c)| c.route != "page" && !c.retried && !ok(&c.got))
            .filter(|(_, c)| w.now - c.start < 200)
            .map(|(n, _)| *n)
            .collect();
        for n in unsure {
            let e = w.edges()[w.rng.below(9) as usize];
            w.ask_again(n, e);
        }
    }
    w.heal();
    w.run_for(60_000);
    w
}

fn races(seed: u64) -> World {
    let mut w = world(seed);
    for _ in 0..20 {
        let top = w.cores().into_iter().filter_map(|c| w.version_at(c)).max();
        for _ in 0..3 {
            let p = w.rng.below(w.procs.len() as u64) as usize;
            let base = top.unwrap_or(0);
            let mark = w.number();
            let doc =
                testbed::fleet::configuration(&w.preset).replace("pages", &format!("p{mark}"));
            w.change(
                p,
                Command::Put {
                    base,
                    new_version: None,
                    document: doc,
                },
            );
        }
        w.run_for(150);
    }
    let end = w.now + 3000;
    w.traffic(60, end, |_, _| true);
    w.run_for(60_000);
    w
}

fn quiet_week(seed: u64) -> World {
    week(seed, None)
}

fn late_claims(seed: u64) -> World {
    let mut w = world(seed);
    let end = w.now + 6000;
    w.traffic(80, end, |_, _| true);
    for k in 0..w.workers.len() {
        w.workers[k].tail = 2000;
    }
    for e in w.edges() {
        let (a, b) = (w.rng.below(4000), w.rng.below(3000));
        w.after(a, move |w| w.freeze(e, 300 + b, true));
    }
    w.run_for(80_000);
    w
}

#[test]
fn permits_and_proofs() {
    caught(Invariant::Lease, "acted on serial", emptied_behind_a_cut);
    caught(Invariant::Woken, "acted on serial", emptied_behind_a_cut);
    caught(Invariant::Proof, "acted on serial", core_cut_off);
    caught(Invariant::Evacuated, "emptied zone", emptied_behind_a_cut);
    caught(Invariant::Leaving, "leaving", worker_leaves);
}

#[test]
fn what_a_setup_allows() {
    caught(Invariant::Allowed, "no share of", quiet_week);
    caught(Invariant::Spill, "no spill", quiet_week);
    caught(Invariant::Home, "bound to", quiet_week);
    caught(Invariant::Home, "body of", quiet_week);
}

#[test]
fn what_runs_once() {
    caught(Invariant::Repeat, "times", workers_die);
    caught(Invariant::Unknown, "was refused", workers_die);
    caught(Invariant::Refusal, "was refused", late_claims);
    caught(Invariant::Claim, "times", asked_twice);
    caught(
        Invariant::Learned,
        "times",
        super::claims::blank_core_hears_of_one_only,
    );
    caught(Invariant::ClaimSynced, "times", cores_killed_at_once);
}

#[test]
fn what_is_bounded() {
    caught(Invariant::Budget, "retries", workers_out_of_reach);
    caught(Invariant::Warm, "held", region_back);
}

#[test]
fn who_wins() {
    caught(Invariant::Base, "taken as", races);
    caught(Invariant::Loser, "nobody got a yes for", races);
}

/// A yes that is nowhere to be read back, written by hand.
#[test]
fn a_lost_yes_is_caught() {
    use sorreldoor::replicated_state::Outcome;
    use sorreldoor::wire::OpOutcome;
    let mut w = world(1);
    let at = w.edges()[0];
    let (base, zone, evacuated) = (8, 0, false);
    let c = w.change(
        at,
        Command::EvacuateZone {
            base,
            zone,
            evacuated,
        },
    );
    w.changes[c].outcome = Some(OpOutcome::Got(Outcome::Applied { version: 9 }));
    assert!(w.kept().iter().any(|s| s.contains("9 was acked")));
}
