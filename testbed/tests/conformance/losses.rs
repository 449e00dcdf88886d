//! How long it takes to a new Global Leader, in virtual time, as a site with
//! dear bytes is set: after all cores have died, and after the leader alone.

use super::sound;
use sorreldoor::consensus::Event;
use sorreldoor::pacing::Pacing;
use sorreldoor::types::{Millis, RegionId};
use testbed::sim::Sim;

/// Regions of the cores, and the way between two regions.
const SITES: [(&[RegionId], Millis); 5] = [
    (&[0, 0, 1], 35),
    (&[0, 0, 1], 55),
    (&[0, 1, 2], 55),
    (&[0, 0, 0], 1),
    (&[0, 0, 0, 1, 1], 55),
];

fn site(seed: u64, preset: &[RegionId], far: Millis) -> Sim {
    let pacing = Pacing {
        beat_ms: Some(150),
        ..Pacing::default()
    };
    let mut s = Sim::new(seed, preset, pacing.timing(2000));
    s.inter_region_delay_ms = far;
    let l = s.wait_for_leader();
    let version = s.highest_version();
    s.propose_change(l, version);
    s.run_for(2000);
    s
}

/// The median and the longest of what `f` gives for many seeds.
fn spread(preset: &[RegionId], far: Millis, f: impl Fn(&mut Sim) -> Millis) -> (Millis, Millis) {
    let mut all: Vec<Millis> = (0..40)
        .map(|seed| {
            let mut s = site(seed, preset, far);
            let ms = f(&mut s);
            s.run_for(3000);
            sound(&s);
            ms
        })
        .collect();
    all.sort_unstable();
    (all[all.len() / 2], all[all.len() - 1])
}

fn till_led(s: &mut Sim) -> Millis {
    let from = s.now;
    assert!(s.run_until(from + 10_000, |s| s.leader().is_some()));
    s.now - from
}

fn die(s: &mut Sim) -> Millis {
    (0..s.nodes.len()).for_each(|i| s.crash(i));
    s.run_for(1000);
    for i in 0..s.nodes.len() {
        let wait = s.rng.below(60);
        s.run_for(wait);
        s.start(i);
    }
    till_led(s)
}

/// What the others hear when its process ends.
fn end(s: &mut Sim, l: usize) {
    s.crash(l);
    let id = s.nodes[l].id;
    (0..s.nodes.len()).for_each(|i| s.deliver(i, Event::Disconnected { id }));
}

#[test]
fn cores_that_all_died_soon_have_a_leader() {
    for (preset, far) in SITES {
        let (mid, most) = spread(preset, far, die);
        println!("all died, {preset:?} at {far} ms: median {mid} ms, most {most} ms");
        assert!(mid < 400 && most < 900, "{preset:?} {far}: {mid} {most}");
    }
}

#[test]
fn a_leader_whose_process_ends_is_soon_replaced() {
    for (preset, far) in SITES {
        let (mid, most) = spread(preset, far, |s| {
            let l = s.wait_for_leader();
            end(s, l);
            till_led(s)
        });
        println!("leader killed, {preset:?} at {far} ms: median {mid} ms, most {most} ms");
        assert!(mid < 500 && most < 1600, "{preset:?} {far}: {mid} {most}");
    }
}

#[test]
fn a_leader_that_is_silent_is_replaced() {
    for (preset, far) in SITES {
        let (mid, most) = spread(preset, far, |s| {
            let l = s.wait_for_leader();
            s.isolate(l);
            let from = s.now;
            let other = |s: &Sim| {
                let leads = |i: &usize| s.nodes[*i].consensus.as_ref().map(|a| a.leads_globally());
                (0..s.nodes.len()).any(|i| i != l && leads(&i) == Some(true))
            };
            assert!(s.run_until(from + 10_000, other));
            let took = s.now - from;
            s.heal();
            took
        });
        println!("leader silent, {preset:?} at {far} ms: median {mid} ms, most {most} ms");
        assert!(mid < 1300 && most < 2500, "{preset:?} {far}: {mid} {most}");
    }
}

/// One that only lost its line to the leader, which goes on, unseats nobody.
#[test]
fn a_closed_line_alone_unseats_no_leader() {
    for (seed, (preset, far)) in (0..).zip(SITES) {
        let mut s = site(seed, preset, far);
        let l = s.wait_for_leader();
        let id = s.nodes[l].id;
        let other = (l + 1) % preset.len();
        for _ in 0..20 {
            s.deliver(other, Event::Disconnected { id });
            s.run_for(100);
            assert_eq!(s.leader(), Some(l), "{preset:?} {far}");
        }
        // and one that starts anew asks in vain
        s.crash(other);
        s.run_for(200);
        s.start(other);
        s.run_for(3000);
        assert_eq!(s.leader(), Some(l), "{preset:?} {far}");
        sound(&s);
    }
}
