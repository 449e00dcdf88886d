//! How soon each edge applies an acknowledged change while a core is partitioned from
//! the other cores: every kind of partition, over several layouts of cores.

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

/// Limit from the acknowledgement of a change until every edge applies it.
const APPLY_MS: Millis = 3000;
/// Limit from a proposal until a core acknowledges it.
const ACK_MS: Millis = 5000;
/// Time without an answer after which an operator retries at another core, and after
/// which it stops retrying.
const SILENCE_MS: Millis = 1000;
const GIVEN_UP_MS: Millis = 20_000;
/// Interval between reads at every core, and the limit of a read's duration.
const READ_EVERY_MS: Millis = 200;
const READ_MS: Millis = 900;
/// Interval between proposals.
const EVERY_MS: Millis = 700;
const CUT_MS: Millis = 20_000;
/// Cores that an edge may try in vain before it reaches a useful one.
const MOST_USELESS: u64 = 3;

/// Pacing for sites with expensive traffic, within the freshness budget.
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
        region_delay: Duration::from_millis(35),
        ..press()
    }
}

/// A site with one core per zone and `more` further ones.
fn site(seed: u64, preset: testbed::fleet::SitePreset, more: usize) -> World {
    let spills = r#"{"north": {"south": 50}, "south": {"north": 50}}"#;
    let doc = match preset.regions.len() {
        1 => testbed::fleet::configuration(&press()).replace(spills, "{}"),
        _ => testbed::fleet::configuration(&preset),
    };
    let mut world = World::ready_customized(seed, preset, &doc, |world| {
        world.singleton_poll_ms = Some(500);
        world.pacing = hosted_pacing();
        world.only_seeds_bootstrap = true;
        world.replace_after_ms = 2000;
        world.tolerated_core_losses = if more > 0 { 2 } else { 1 };
        for n in 0..more {
            let zones = world.site.zones.clone();
            let zone = n % zones.len();
            let addr = ([127, 0, 0, 1], 7050 + n as u16).into();
            let name = format!("more-{n}");
            let p = world.add(&name, true, zone as u16, zones[zone].1, Some(addr));
            world.after(100, move |world| world.start(p));
        }
    });
    // one of six cores is a standby
    let voters = world.cores().len().min(2 * world.tolerated_core_losses + 1);
    let end = world.now + 10_000;
    let voters_complete = world.run_until(end, |world| {
        let a = world.leader().and_then(|c| world.controller(c));
        let a = a.and_then(|controller| controller.consensus());
        a.is_some_and(|a| a.members().iter().filter(|m| m.voter).count() == voters)
    });
    assert!(voters_complete, "seed {seed}: expected {voters} voters");
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

/// The bounds that runs of a layout and a partition exceeded.
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
        over.extend(
            violations.map(|violation| format!("old: {cut:?}, {name}, {seed}: {violation}")),
        );
    }
    println!("{cut:?}, {name}: stale {max_staleness_ms} ms, acknowledged {max_ack_ms} ms, read {max_read_ms} ms");
    over
}

/// With any partition of the leader, edges apply acknowledged changes and cores
/// acknowledge proposals within the limits, and no core returns an old version.
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

/// With any one part of the mechanism disabled a freshness bound is exceeded.
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
        let detected = over.iter().find(|o| o.starts_with(word));
        println!("{}: {detected:?}", rule.name());
        assert!(
            detected.is_some(),
            "{} broken was not detected",
            rule.name()
        );
    }
}

/// The parts of the freshness budget add up to less than its total.
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

/// After an election timeout a partitioned core rejects proposals at once, so that
/// operators retry at another.
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
