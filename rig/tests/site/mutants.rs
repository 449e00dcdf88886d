//! Every check can fail: one thing is broken on purpose, and the check that
//! watches over it must say so.

use super::*;
use sorreldoor::record::Cmd;

fn caught(name: &str, word: &str, run: impl Fn(u64) -> World) {
    let seed = (0..20).find(|seed| check(&run(*seed)).iter().any(|w| w.contains(word)));
    println!("{name}: caught by seed {seed:?}");
    assert!(seed.is_some(), "{name} was not caught");
}

fn doc(from: &str, to: &str) -> String {
    let d = rig::fleet::setup(&press());
    assert!(d.contains(from));
    d.replace(from, to)
}

/// A permit that outlasts its bound lets old setups and emptied zones live.
#[test]
fn too_long_a_permit_is_caught() {
    let run = |seed: u64| {
        let d = rig::fleet::setup(&press());
        let mut w = World::ready_by(seed, press(), &d, |w| w.permit_ms = 60_000);
        let end = w.now + 14_000;
        w.traffic(120, end, |_, _| true);
        let cut = w.edges()[1];
        w.isolate(cut);
        let at = w.edges()[0];
        let (base, zone, emptied) = (1, 0, true);
        w.change(
            at,
            Cmd::Zone {
                base,
                zone,
                emptied,
            },
        );
        w.run_for(15_000);
        w
    };
    caught("permit too long, setup", "acted on serial", run);
    caught("permit too long, zone", "emptied zone", run);
}

/// A platform whose news of a leaving worker does not arrive.
#[test]
fn news_of_leaving_that_is_lost_is_caught() {
    caught("leaving not heard of", "leaving", |seed| {
        let mut w = world(seed);
        let end = w.now + 9000;
        w.traffic(120, end, |_, _| true);
        let now = w.now;
        for k in 0..w.workers.len() {
            w.left_at.insert(k, now);
        }
        w.run_for(10_000);
        w
    });
}

/// A setup that lets drafts be repeated, against callers who must not have it.
#[test]
fn repeating_what_may_not_be_repeated_is_caught() {
    caught("drafts repeated", "times", |seed| {
        let d = doc(
            r#""draft": {"kind": "decode","#,
            r#""draft": {"kind": "decode", "repeatable": true,"#,
        );
        let mut w = World::ready_with(seed, press(), &d);
        let end = w.now + 8000;
        w.traffic(100, end, |_, _| true);
        for i in 0..40 {
            w.after(i * 200, move |w| {
                let k = w.rng.below(18) as usize;
                w.worker_dies(k);
                w.after(150, move |w| w.worker_starts(k));
            });
        }
        w.run_for(30_000);
        w
    });
}

/// A setup that forgot that questions are bound to their home.
#[test]
fn leaving_home_is_caught() {
    let run = |seed: u64| {
        let d = doc(r#""home": true,"#, "");
        let mut w = World::ready_with(seed, press(), &d);
        let end = w.now + 5000;
        w.traffic(100, end, |_, _| true);
        w.run_for(20_000);
        w
    };
    caught("home forgotten, worker", "home-bound", run);
    caught("home forgotten, body", "body of", run);
}

/// Two yeses to one serial, or a yes that is nowhere, written by hand.
#[test]
fn false_yeses_are_caught() {
    use sorreldoor::record::Outcome;
    use sorreldoor::wire::OpOutcome;
    let yes = |w: &mut World, base: u64, serial: u64| {
        let at = w.edges()[0];
        let cmd = Cmd::Zone {
            base,
            zone: 0,
            emptied: false,
        };
        let c = w.change(at, cmd);
        w.changes[c].outcome = Some(OpOutcome::Got(Outcome::Taken { serial }));
    };
    let mut w = world(1);
    yes(&mut w, 1, 2);
    yes(&mut w, 1, 2);
    assert!(check(&w).iter().any(|s| s.contains("two changes")));
    yes(&mut w, 8, 9);
    assert!(w.kept().iter().any(|s| s.contains("9 was acked")));
}
