//! How soon each edge goes by what was acknowledged, while a core is cut off
//! from the other cores: every shape of cut, over several layouts of cores.

mod starts;
mod watch;

use super::*;
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::freshness::FreshnessBudget;
use sorreldoor::invariants::{break_only, Invariant};
use sorreldoor::log_events::LogEvent;
use sorreldoor::pacing::Pacing;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::{Millis, ProposalId};
use sorreldoor::wire::OpOutcome;
use std::time::Duration;
use testbed::site::Cut;
use watch::{top, Watch};

/// Within so long of an acknowledgement every edge goes by it.
const APPLY_MS: Millis = 3000;
/// Within so long the majority's side acknowledges an order.
const ACK_MS: Millis = 5000;
/// An operator goes on to another core after so long, and gives up at last.
const SILENCE_MS: Millis = 1000;
const GIVEN_UP_MS: Millis = 20_000;
/// Between reads of the configuration at every core, and the longest that one
/// may be held.
const READ_EVERY_MS: Millis = 200;
const READ_MS: Millis = 900;
/// Between orders.
const EVERY_MS: Millis = 700;
const CUT_MS: Millis = 20_000;
/// Of six voters two may be lost: the session's, and one tried in vain; two
/// more are allowed for.
const MOST_USELESS: u64 = 3;

/// As on machines where bytes and calls are dear.
fn hosted_pacing() -> Pacing {
    let budget = FreshnessBudget::for_apply(APPLY_MS);
    Pacing {
        tick_ms: 20,
        beat_ms: Some(150),
        renew_ms: budget.renew_ms,
        hedge_ms: budget.hedge_ms,
        ping_ms: 500,
        gather: false,
        claims: false,
        accounts: false,
        unverified_after_ms: Some(0),
        ..Pacing::default()
    }
}

fn one_region() -> testbed::fleet::SitePreset {
    testbed::fleet::SitePreset {
        regions: vec![("north", vec!["n1", "n2", "n3"], 10)],
        ..press()
    }
}

fn three_regions() -> testbed::fleet::SitePreset {
    testbed::fleet::SitePreset {
        regions: vec![
            ("north", vec!["n1"], 10),
            ("south", vec!["s1"], 8),
            ("west", vec!["w1"], 4),
        ],
        far: Duration::from_millis(35),
        ..press()
    }
}

/// A site with `more` cores beyond one a zone.
fn site(seed: u64, preset: testbed::fleet::SitePreset, more: usize) -> World {
    let spills = r#"{"north": {"south": 50}, "south": {"north": 50}}"#;
    let doc = match preset.regions.len() {
        1 => testbed::fleet::configuration(&press()).replace(spills, "{}"),
        _ => testbed::fleet::configuration(&preset),
    };
    let mut w = World::ready_by(seed, preset, &doc, |w| {
        w.holder_polls = Some(500);
        w.pacing = hosted_pacing();
        w.grow = true;
        w.replace_ms = 2000;
        w.tolerate = if more > 0 { 2 } else { 1 };
        for n in 0..more {
            let zones = w.site.zones.clone();
            let zone = n % zones.len();
            let addr = ([127, 0, 0, 1], 7050 + n as u16).into();
            let name = format!("more-{n}");
            let p = w.add(&name, true, zone as u16, zones[zone].1, Some(addr));
            w.after(100, move |w| w.start(p));
        }
    });
    // of six cores one stands by
    let voters = w.cores().len().min(2 * w.tolerate + 1);
    let end = w.now + 10_000;
    let whole = w.run_until(end, |w| {
        let a = w.leader().and_then(|c| w.controller(c));
        let a = a.and_then(|h| h.consensus());
        a.is_some_and(|a| a.members().iter().filter(|m| m.voter).count() == voters)
    });
    assert!(whole, "seed {seed}: the wanted voters are there");
    w
}

fn layout(n: u64) -> (&'static str, testbed::fleet::SitePreset, usize) {
    match n {
        0 => ("one region", one_region(), 0),
        1 => ("two regions", press(), 0),
        2 => ("two regions, the far one", archive(), 0),
        3 => ("three regions", three_regions(), 0),
        4 => ("five cores", press(), 2),
        _ => ("six cores", press(), 3),
    }
}

fn day(seed: u64, layout_no: u64, cut: Cut) -> Watch {
    let (_, preset, more) = layout(layout_no);
    let mut w = site(seed, preset, more);
    let mut watch = Watch::default();
    let wait = w.rng.below(1500);
    watch.run(&mut w, 1500 + wait);
    let l = w.leader().expect("led");
    w.cut_off(l, cut);
    watch.run(&mut w, CUT_MS);
    w.heal();
    watch.run(&mut w, 6000);
    w.run_for(2000);
    sound(&w, seed);
    watch
}

/// What is over a bound in some days of a layout and a cut.
fn over_bounds(cut: Cut, layout_no: u64, days: std::ops::Range<u64>) -> Vec<String> {
    let (name, ..) = layout(layout_no);
    let mut over = Vec::new();
    let (mut stale, mut ack, mut read) = (0, 0, 0);
    for seed in seeds(days) {
        let watch = day(seed, layout_no, cut);
        stale = stale.max(watch.stale);
        ack = ack.max(watch.ack);
        read = read.max(watch.read);
        if watch.stale > APPLY_MS {
            over.push(format!(
                "stale: {cut:?}, {name}, {seed}: {}",
                watch.stale_at
            ));
        }
        if watch.ack > ACK_MS {
            over.push(format!("late: {cut:?}, {name}, {seed}: {} ms", watch.ack));
        }
        if watch.read > READ_MS {
            over.push(format!("held: {cut:?}, {name}, {seed}: {} ms", watch.read));
        }
        let wrong = watch.wrong.into_iter();
        over.extend(wrong.map(|w| format!("old: {cut:?}, {name}, {seed}: {w}")));
    }
    println!("{cut:?}, {name}: stale {stale} ms, acknowledged {ack} ms, read {read} ms");
    over
}

/// The leader is cut off in every shape: each edge goes by what was
/// acknowledged within the bound, the majority's side acknowledges each order,
/// and no core shows as current what is not.
#[test]
fn edges_follow_within_the_bound_whatever_the_cut() {
    let all = Cut::ALL
        .iter()
        .flat_map(|cut| (0..6).map(move |n| (*cut, n)));
    let over: Vec<String> = all
        .flat_map(|(cut, n)| over_bounds(cut, n, 9000..9003))
        .collect();
    assert!(over.is_empty(), "{over:#?}");
}

/// Each part of the mechanism taken away is seen by a bound that breaks.
#[test]
fn each_part_of_freshness_is_needed() {
    for (rule, word) in [
        (Invariant::Hedge, "stale"),
        (Invariant::Proof, "old"),
        (Invariant::StepDown, "stale"),
    ] {
        break_only(Some(rule));
        let over = over_bounds(Cut::Deaf, 1, 9000..9003);
        break_only(None);
        let seen = over.iter().find(|o| o.starts_with(word));
        println!("{}: {seen:?}", rule.name());
        assert!(seen.is_some(), "{} broken was not seen", rule.name());
    }
}

/// The parts of the bound add up to less than it, with as many useless cores
/// as the largest group may lose.
#[test]
fn the_parts_of_the_budget_add_up() {
    for apply_ms in [3000, 4000] {
        let budget = FreshnessBudget::for_apply(apply_ms);
        let worst = budget.worst_ms(MOST_USELESS);
        println!("{budget:?}: {worst} ms with {MOST_USELESS} useless cores");
        assert!(worst < apply_ms, "{worst}");
        assert!(budget.renew_ms + budget.hedge_ms < budget.lease_ms);
    }
}

/// A core behind a cut refuses an order at once, once an election's time has
/// gone by, so that its operator goes on to another.
#[test]
fn a_core_that_is_cut_off_says_so_at_once() {
    for seed in seeds(9100..9103) {
        let mut w = site(seed, press(), 0);
        let cut_off = w.leader().expect("led");
        w.cut_off(cut_off, Cut::Silent);
        w.run_for(4000);
        let (base, zone, evacuated) = (top(&w), 0, false);
        let c = w.change(
            cut_off,
            Command::EvacuateZone {
                base,
                zone,
                evacuated,
            },
        );
        w.run_for(20);
        let outcome = &w.changes[c].outcome;
        assert_eq!(*outcome, Some(OpOutcome::Unknown), "seed {seed}");
        sound(&w, seed);
    }
}
