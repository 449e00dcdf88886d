//! Virtual time to a new Global Leader with the pacing for sites with expensive
//! traffic: after all cores have crashed, and after the leader alone.

use super::assert_invariants;
use sorreldoor::consensus::Event;
use sorreldoor::pacing::Pacing;
use sorreldoor::types::{Millis, RegionId};
use testbed::sim::Sim;

/// Regions of the cores, and the one-way delay between two regions.
const SITES: [(&[RegionId], Millis); 5] = [
    (&[0, 0, 1], 35),
    (&[0, 0, 1], 55),
    (&[0, 1, 2], 55),
    (&[0, 0, 0], 1),
    (&[0, 0, 0, 1, 1], 55),
];

fn settled_sim(seed: u64, regions: &[RegionId], inter_region_ms: Millis) -> Sim {
    let pacing = Pacing {
        heartbeat_ms: Some(150),
        ..Pacing::default()
    };
    let mut sim = Sim::new(seed, regions, pacing.timing(2000));
    sim.inter_region_delay_ms = inter_region_ms;
    let leader = sim.wait_for_leader();
    let version = sim.highest_version();
    sim.propose_change(leader, version);
    sim.run_for(2000);
    sim
}

/// The median and the maximum of `f` over 40 seeds.
fn median_and_longest(
    regions: &[RegionId],
    inter_region_ms: Millis,
    f: impl Fn(&mut Sim) -> Millis,
) -> (Millis, Millis) {
    let mut all: Vec<Millis> = (0..40)
        .map(|seed| {
            let mut sim = settled_sim(seed, regions, inter_region_ms);
            let ms = f(&mut sim);
            sim.run_for(3000);
            assert_invariants(&sim);
            ms
        })
        .collect();
    all.sort_unstable();
    (all[all.len() / 2], all[all.len() - 1])
}

fn time_to_leader(sim: &mut Sim) -> Millis {
    let from = sim.now;
    assert!(sim.run_until(from + 10_000, |sim| sim.leader().is_some()));
    sim.now - from
}

fn restart_all_cores(sim: &mut Sim) -> Millis {
    (0..sim.nodes.len()).for_each(|i| sim.crash(i));
    sim.run_for(1000);
    for i in 0..sim.nodes.len() {
        let wait = sim.rng.below(60);
        sim.run_for(wait);
        sim.start(i);
    }
    time_to_leader(sim)
}

/// Crashes the leader and closes its peers' connections to it.
fn end_process(sim: &mut Sim, leader: usize) {
    sim.crash(leader);
    let id = sim.nodes[leader].id;
    (0..sim.nodes.len()).for_each(|i| sim.deliver(i, Event::Disconnected { id }));
}

#[test]
fn a_leader_is_elected_soon_after_all_cores_crash() {
    for (regions, inter_region_ms) in SITES {
        let (median, longest) = median_and_longest(regions, inter_region_ms, restart_all_cores);
        println!(
            "all crashed, {regions:?} at {inter_region_ms} ms: median {median} ms, most {longest} ms"
        );
        assert!(
            median < 400 && longest < 900,
            "{regions:?} {inter_region_ms}: {median} {longest}"
        );
    }
}

#[test]
fn a_crashed_leader_is_replaced_soon() {
    for (regions, inter_region_ms) in SITES {
        let (median, longest) = median_and_longest(regions, inter_region_ms, |sim| {
            let leader = sim.wait_for_leader();
            end_process(sim, leader);
            time_to_leader(sim)
        });
        println!("leader crashed, {regions:?} at {inter_region_ms} ms: median {median} ms, most {longest} ms");
        assert!(
            median < 500 && longest < 1600,
            "{regions:?} {inter_region_ms}: {median} {longest}"
        );
    }
}

#[test]
fn an_isolated_leader_is_replaced() {
    for (regions, inter_region_ms) in SITES {
        let (median, longest) = median_and_longest(regions, inter_region_ms, |sim| {
            let leader = sim.wait_for_leader();
            sim.isolate(leader);
            let from = sim.now;
            let other = |sim: &Sim| {
                let leads =
                    |i: &usize| sim.nodes[*i].consensus.as_ref().map(|a| a.leads_globally());
                (0..sim.nodes.len()).any(|i| i != leader && leads(&i) == Some(true))
            };
            assert!(sim.run_until(from + 10_000, other));
            let elapsed = sim.now - from;
            sim.heal();
            elapsed
        });
        println!("leader isolated, {regions:?} at {inter_region_ms} ms: median {median} ms, most {longest} ms");
        assert!(
            median < 1300 && longest < 2500,
            "{regions:?} {inter_region_ms}: {median} {longest}"
        );
    }
}

/// A core that lost only its connection to a running leader does not depose it.
#[test]
fn a_closed_connection_alone_deposes_no_leader() {
    for (seed, (regions, inter_region_ms)) in (0..).zip(SITES) {
        let mut sim = settled_sim(seed, regions, inter_region_ms);
        let leader = sim.wait_for_leader();
        let id = sim.nodes[leader].id;
        let other = (leader + 1) % regions.len();
        for _ in 0..20 {
            sim.deliver(other, Event::Disconnected { id });
            sim.run_for(100);
            assert_eq!(sim.leader(), Some(leader), "{regions:?} {inter_region_ms}");
        }
        // a restarted core does not win an election either
        sim.crash(other);
        sim.run_for(200);
        sim.start(other);
        sim.run_for(3000);
        assert_eq!(sim.leader(), Some(leader), "{regions:?} {inter_region_ms}");
        assert_invariants(&sim);
    }
}
