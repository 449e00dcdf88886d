//! How soon each edge goes by what was acknowledged, while a core is partitioned
//! from the other cores: every shape of cut, over several layouts of cores.

mod halves;
mod monitor;
mod starts;

use super::*;
use monitor::FreshnessMonitor;
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::freshness::FreshnessBudget;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::log_events::LogEvent;
use sorreldoor::pacing::Pacing;
use sorreldoor::types::{Millis, ProposalId};
use sorreldoor::wire::ProposalOutcome;
use std::time::Duration;
use testbed::site::Partition;

/// Within so long of an acknowledgement every edge goes by it.
const APPLY_MS: Millis = 3000;
/// Within so long the majority's side acknowledges a proposal.
const ACK_MS: Millis = 5000;
/// An operator goes on to another core after so long, and gives up at last.
const SILENCE_MS: Millis = 1000;
const GIVEN_UP_MS: Millis = 20_000;
/// Between reads of the configuration at every core, and the longest that one
/// may be held.
const READ_EVERY_MS: Millis = 200;
const READ_MS: Millis = 900;
/// Between proposals.
const EVERY_MS: Millis = 700;
const CUT_MS: Millis = 20_000;
/// Of six voters two may be lost: the session's, and one tried in vain; two
/// more are allowed for.
const MOST_USELESS: u64 = 3;

/// As on machines where bytes and calls are dear.
fn hosted_pacing() -> Pacing {
    let budget = FreshnessBudget::for_apply(APPLY_MS);
    Pacing {
        renew_ms: budget.renew_ms,
        hedge_ms: budget.hedge_ms,
        ..frugal_pacing()
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
    let mut world = World::ready_customized(seed, preset, &doc, |world| {
        world.singleton_poll_ms = Some(500);
        world.pacing = hosted_pacing();
        world.grow = true;
        world.replace_ms = 2000;
        world.tolerate = if more > 0 { 2 } else { 1 };
        for n in 0..more {
            let zones = world.site.zones.clone();
            let zone = n % zones.len();
            let addr = ([127, 0, 0, 1], 7050 + n as u16).into();
            let name = format!("more-{n}");
            let p = world.add(&name, true, zone as u16, zones[zone].1, Some(addr));
            world.after(100, move |world| world.start(p));
        }
    });
    // of six cores one stands by
    let voters = world.cores().len().min(2 * world.tolerate + 1);
    let end = world.now + 10_000;
    let voters_complete = world.run_until(end, |world| {
        let a = world.leader().and_then(|c| world.controller(c));
        let a = a.and_then(|controller| controller.consensus());
        a.is_some_and(|a| a.members().iter().filter(|m| m.voter).count() == voters)
    });
    assert!(voters_complete, "seed {seed}: the wanted voters are there");
    world
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

fn run_day(seed: u64, layout_index: u64, cut: Partition) -> FreshnessMonitor {
    let (_, preset, more) = layout(layout_index);
    let mut world = site(seed, preset, more);
    let mut monitor = FreshnessMonitor::default();
    let wait = world.rng.below(1500);
    monitor.run(&mut world, 1500 + wait);
    let l = world.leader().expect("led");
    world.partition_core(l, cut);
    monitor.run(&mut world, CUT_MS);
    world.heal();
    monitor.run(&mut world, 6000);
    world.run_for(2000);
    assert_no_violations(&world, seed);
    monitor
}

/// What is over a bound in some days of a layout and a cut.
fn bounds_exceeded(cut: Partition, layout_index: u64, days: std::ops::Range<u64>) -> Vec<String> {
    let (name, ..) = layout(layout_index);
    let mut over = Vec::new();
    let (mut max_staleness_ms, mut max_ack_ms, mut max_read_ms) = (0, 0, 0);
    for seed in seeds(days) {
        let monitor = run_day(seed, layout_index, cut);
        max_staleness_ms = max_staleness_ms.max(monitor.max_staleness_ms);
        max_ack_ms = max_ack_ms.max(monitor.max_ack_ms);
        max_read_ms = max_read_ms.max(monitor.max_read_ms);
        if monitor.max_staleness_ms > APPLY_MS {
            over.push(format!(
                "stale: {cut:?}, {name}, {seed}: {}",
                monitor.max_staleness_at
            ));
        }
        if monitor.max_ack_ms > ACK_MS {
            over.push(format!(
                "late: {cut:?}, {name}, {seed}: {} ms",
                monitor.max_ack_ms
            ));
        }
        if monitor.max_read_ms > READ_MS {
            over.push(format!(
                "held: {cut:?}, {name}, {seed}: {} ms",
                monitor.max_read_ms
            ));
        }
        let violations = monitor.violations.into_iter();
        over.extend(violations.map(|world| format!("old: {cut:?}, {name}, {seed}: {world}")));
    }
    println!("{cut:?}, {name}: stale {max_staleness_ms} ms, acknowledged {max_ack_ms} ms, read {max_read_ms} ms");
    over
}

/// The leader is partitioned in every shape: each edge goes by what was
/// acknowledged within the bound, the majority's side acknowledges each proposal,
/// and no core shows as current what is not.
#[test]
fn edges_follow_within_the_bound_under_any_partition() {
    let all = Partition::ALL
        .iter()
        .flat_map(|cut| (0..6).map(move |n| (*cut, n)));
    let over: Vec<String> = all
        .flat_map(|(cut, n)| bounds_exceeded(cut, n, 9000..9003))
        .collect();
    assert!(over.is_empty(), "{over:#?}");
}

/// Without any one part of the mechanism a freshness bound is exceeded.
#[test]
fn each_part_of_freshness_is_needed() {
    for (rule, word) in [
        (Invariant::HedgedRenewal, "stale"),
        (Invariant::QuorumConfirmedRead, "old"),
        (Invariant::StepDown, "stale"),
    ] {
        disable_only(Some(rule));
        let over = bounds_exceeded(Partition::InboundBlocked, 1, 9000..9003);
        disable_only(None);
        let received_events = over.iter().find(|o| o.starts_with(word));
        println!("{}: {received_events:?}", rule.name());
        assert!(
            received_events.is_some(),
            "{} broken was not seen",
            rule.name()
        );
    }
}

/// The parts of the bound add up to less than it, with as many useless cores
/// as the largest group may lose.
#[test]
fn the_parts_of_the_budget_add_up() {
    for apply_ms in [3000, 4000] {
        let budget = FreshnessBudget::for_apply(apply_ms);
        let worst = budget.worst_case_ms(MOST_USELESS);
        println!("{budget:?}: {worst} ms with {MOST_USELESS} useless cores");
        assert!(worst < apply_ms, "{worst}");
        assert!(budget.renew_ms + budget.hedge_ms < budget.lease_ms);
    }
}

/// A core behind a cut refuses a proposal at once, once an election's time has
/// gone by, so that its operator goes on to another.
#[test]
fn a_partitioned_core_rejects_changes_at_once() {
    for seed in seeds(9100..9103) {
        let mut world = site(seed, press(), 0);
        let isolated_core = world.leader().expect("led");
        world.partition_core(isolated_core, Partition::Blackhole);
        world.run_for(4000);
        let change = zone_change(newest_version(&world), 0, false);
        let c = world.change(isolated_core, change);
        world.run_for(20);
        let outcome = &world.changes[c].outcome;
        assert_eq!(*outcome, Some(ProposalOutcome::Unknown), "seed {seed}");
        assert_no_violations(&world, seed);
    }
}
