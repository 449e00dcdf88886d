//! Leaders and candidates with lost peers or one-way links: the group elects a leader
//! and commits within the limits, and without each mechanism exceeds them.

use super::assert_invariants;
use sorreldoor::consensus::{InjectedFault, StateChange, Timing};
use sorreldoor::pacing::Pacing;
use sorreldoor::types::{Millis, RegionId};
use testbed::sim::Sim;

const SEEDS: u64 = 40;
/// More seeds, since a deaf candidate matters only if campaigns coincide.
const DEAF_SEEDS: u64 = 400;
const REGION_DELAY_MS: Millis = 35;
/// Limit from the loss of a relay until a change is acknowledged.
const COMMIT_MS: Millis = 1500;
/// Limit from the moment when the leader receives nothing any more until another core
/// leads.
const DEAF_LEADER_MS: Millis = 2600;
/// Limit from the loss of a leader whose region then has no majority until a change is
/// acknowledged.
const LOST_REGION_MS: Millis = 1300;

fn settled(seed: u64, regions: &[RegionId], fault: InjectedFault) -> (Sim, usize) {
    let pacing = Pacing {
        heartbeat_ms: Some(150),
        ..Pacing::default()
    };
    let timing = Timing {
        injected_fault: fault,
        ..pacing.timing(2000)
    };
    let mut sim = Sim::new(seed, regions, timing);
    sim.inter_region_delay_ms = REGION_DELAY_MS;
    // the first elections of a new group may be contested
    sim.run_for(3000);
    let leader = sim.leader().expect("a healthy group has a leader");
    let version = sim.highest_version();
    sim.propose_change(leader, version);
    sim.run_for(2000);
    let leader = sim.leader().expect("a healthy group has a leader");
    (sim, leader)
}

fn domain_leader_of(sim: &Sim, region: RegionId) -> Option<usize> {
    (0..sim.nodes.len()).find(|i| {
        let consensus = sim.nodes[*i].consensus.as_ref();
        sim.nodes[*i].region == region && consensus.is_some_and(|c| c.leads_domain())
    })
}

/// How often, over all seeds, a leader steps down that loses the other region's Domain
/// Leader (its relay) and a voter of its own region at once.
fn step_downs_without_relay(fault: InjectedFault) -> usize {
    let mut step_downs = 0;
    for seed in 0..SEEDS {
        let (mut sim, leader) = settled(seed, &[0, 0, 0, 1, 1, 1], fault);
        let own = sim.nodes[leader].region;
        let Some(relay) = domain_leader_of(&sim, 1 - own) else {
            continue;
        };
        let fellow = (0..6).find(|i| *i != leader && sim.nodes[*i].region == own);
        sim.crash(relay);
        sim.crash(fellow.expect("three in each region"));
        let lost_at = sim.now;
        sim.run_for(3000);
        let stepped_down = |(at, _, change): &&(Millis, u64, StateChange)| {
            *at >= lost_at && matches!(change, StateChange::SteppedDown { .. })
        };
        step_downs += sim.state_changes.iter().filter(stepped_down).count();
        let latency = sim.commit_latency(leader, COMMIT_MS);
        assert!(latency.is_some(), "seed {seed}");
        assert_invariants(&sim);
    }
    step_downs
}

#[test]
fn a_leader_reaches_a_region_whose_relay_is_lost() {
    assert_eq!(step_downs_without_relay(InjectedFault::None), 0);
}

#[test]
fn relying_on_a_silent_relay_is_detected() {
    let step_downs = step_downs_without_relay(InjectedFault::KeepSilentRelay);
    println!("{step_downs} times");
    assert!(step_downs > 0);
}

/// The longest time until another core leads after the leader became deaf: it sends,
/// but receives nothing.
fn longest_with_deaf_leader(fault: InjectedFault) -> Millis {
    let mut longest = 0;
    for seed in 0..DEAF_SEEDS {
        let (mut sim, deaf) = settled(seed, &[1, 0, 0], fault);
        // of two coinciding campaigns the one with the higher node id continues
        if deaf != 2 {
            continue;
        }
        for other in (0..3).filter(|i| *i != deaf) {
            sim.blocked_links.insert((other, deaf));
        }
        let from = sim.now;
        let end = from + 10_000;
        let led = |sim: &Sim| sim.leader().is_some_and(|leader| leader != deaf);
        assert!(sim.run_until(end, led), "seed {seed}");
        longest = longest.max(sim.now - from);
        sim.heal();
        sim.run_for(3000);
        assert_invariants(&sim);
    }
    println!("longest {longest} ms");
    longest
}

#[test]
fn a_deaf_candidate_does_not_keep_others_from_leading() {
    let longest = longest_with_deaf_leader(InjectedFault::None);
    assert!(longest <= DEAF_LEADER_MS, "{longest}");
}

#[test]
fn always_yielding_to_a_deaf_candidate_is_detected() {
    let longest = longest_with_deaf_leader(InjectedFault::YieldAlways);
    assert!(longest > DEAF_LEADER_MS, "{longest}");
}

/// The longest time until a change is acknowledged after the loss of a leader without
/// which its region has no majority.
fn longest_without_region(fault: InjectedFault) -> Millis {
    let mut longest = 0;
    for seed in 0..SEEDS {
        let (mut sim, leader) = settled(seed, &[0, 0, 1], fault);
        if sim.nodes[leader].region != 0 {
            continue;
        }
        sim.crash(leader);
        let from = sim.now;
        assert!(sim.run_until(from + 10_000, |sim| sim.leader().is_some()));
        let next = sim.leader().expect("a leader");
        let latency = sim.commit_latency(next, 5000);
        assert!(latency.is_some(), "seed {seed}");
        longest = longest.max(sim.now - from);
        assert_invariants(&sim);
    }
    println!("longest {longest} ms");
    longest
}

#[test]
fn commits_do_not_wait_for_a_region_without_a_majority() {
    let longest = longest_without_region(InjectedFault::None);
    assert!(longest <= LOST_REGION_MS, "{longest}");
}

#[test]
fn waiting_for_silent_regions_is_detected() {
    let longest = longest_without_region(InjectedFault::WaitForSilentRegions);
    assert!(longest > LOST_REGION_MS, "{longest}");
}
