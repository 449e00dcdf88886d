//! Elections and leadership transfers.

use super::*;
use sorreldoor::consensus::StateChange;
use testbed::sim::{check_convergence, OperationResult};

pub fn a_domain_leader_needs_its_regions_majority() {
    let mut sim = new_sim(1, &[0, 0, 0, 1, 1, 1]);
    sim.wait_for_leader();
    sim.crash(4);
    sim.crash(5);
    sim.run_for(3000);
    assert!(!leads_domain(&sim, 3));
    sim.start(4);
    sim.run_for(3000);
    assert!(leads_domain(&sim, 3) || leads_domain(&sim, 4));
}

pub fn the_global_leader_is_a_domain_leader() {
    for seed in 0..20 {
        let mut sim = new_sim(seed, &[0, 0, 1]);
        let leader = sim.wait_for_leader();
        assert!(leads_domain(&sim, leader), "seed {seed}");
    }
}

pub fn an_election_needs_all_but_one_domain_leader() {
    let mut sim = new_sim(3, &[0, 1, 2]);
    let leader = sim.wait_for_leader();
    // two of three Domain Leaders suffice; of four, three are needed
    sim.crash(leader);
    sim.run_for(3000);
    assert!(sim.leader().is_some());
    let mut timing = Timing::for_ack(ACK_MS);
    timing.region_rule_timeout = 1_000_000;
    let mut sim = Sim::new(4, &[0, 1, 2, 3, 3], timing);
    let leader = sim.wait_for_leader();
    let lost: Vec<usize> = (0..5).filter(|i| *i != leader).take(2).collect();
    sim.crash(leader);
    sim.crash(lost[0]);
    sim.run_for(4000);
    let up: std::collections::BTreeSet<RegionId> = (0..5)
        .filter(|i| sim.nodes[*i].is_running() && leads_domain(&sim, *i))
        .map(|i| sim.nodes[i].region)
        .collect();
    assert_eq!(sim.leader().is_some(), up.len() >= 3);
}

pub fn an_election_needs_a_majority_of_all_cores() {
    let mut sim = new_sim(5, &[0, 0, 1]);
    sim.wait_for_leader();
    sim.crash(0);
    sim.crash(1);
    sim.run_for(5000);
    assert_eq!(sim.leader(), None);
}

pub fn a_stale_log_is_not_elected() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    sim.isolate(2);
    sim.run_for(600);
    let a = other(&sim, 0);
    sim.commit_latency(leader, 1900)
        .expect("the region alone has a majority of all cores");
    // the leader crashes; the other region's core returns with a stale log
    sim.blocked_links.clear();
    sim.crash(leader);
    sim.run_for(4000);
    assert_eq!(sim.leader(), Some(a));
    assert_invariants(&sim);
}

pub fn a_returning_core_does_not_depose_the_leader() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    let term = sim.nodes[leader].consensus.as_ref().map(|a| a.term());
    sim.isolate(2);
    sim.run_for(5000);
    sim.blocked_links.clear();
    sim.run_for(3000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.nodes[leader].consensus.as_ref().map(|a| a.term()), term);
}

/// Leadership moves to the region with most proposals, and no proposal made
/// meanwhile is lost or applied twice.
pub fn the_leader_moves_to_the_region_with_most_proposals() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    let end = sim.now + 30_000;
    let mut proposals = 0;
    while sim.now < end && sim.leader() == Some(leader) {
        let version = sim.nodes[2]
            .replicated_state()
            .map_or(0, |record| record.version());
        sim.propose_change(2, version);
        sim.read(2);
        proposals += 1;
        sim.run_for(40);
    }
    sim.run_for(3000);
    assert_eq!(sim.leader(), Some(2), "after {proposals} changes");
    let moved = sim
        .state_changes
        .iter()
        .any(|(_, _, n)| matches!(n, StateChange::TransferringLeadership { .. }));
    assert!(moved);
    let lost = sim
        .operations
        .iter()
        .filter(|o| {
            matches!(
                o.result,
                OperationResult::Unknown | OperationResult::Pending | OperationResult::Dropped
            )
        })
        .count();
    assert_eq!(lost, 0);
    assert_invariants(&sim);
    assert!(check_convergence(&sim).is_empty());
}

pub fn evenly_spread_proposals_do_not_move_the_leader() {
    let (mut sim, _) = settled_with_leader_in(&[0, 0, 1], 0);
    let end = sim.now + 60_000;
    while sim.now < end {
        let at = sim.rng.below(3) as usize;
        let version = sim.highest_version();
        sim.propose_change(at, version);
        sim.run_for(100);
    }
    let moves = sim
        .state_changes
        .iter()
        .filter(|(_, _, n)| matches!(n, StateChange::TransferringLeadership { .. }))
        .count();
    assert!(
        moves <= 1,
        "{moves} transfers in a minute of evenly spread proposals"
    );
}

/// Frequent reads do not starve the heartbeats of a Domain Leader.
#[test]
fn steady_reads_depose_no_domain_leader() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    let end = sim.now + 20_000;
    let before = sim.state_changes.len();
    while sim.now < end {
        sim.read(leader);
        sim.run_for(9);
    }
    let noted = &sim.state_changes[before..];
    let swaps = noted.iter().filter(|(_, _, n)| {
        matches!(
            n,
            StateChange::DomainLeader { .. } | StateChange::TransferringLeadership { .. }
        )
    });
    assert_eq!(swaps.count(), 0, "{noted:?}");
}

/// Either side of a leadership transfer crashes at every step of it.
pub fn a_leadership_transfer_survives_a_crash_at_each_step() {
    for offset_ms in (0..160).step_by(8) {
        for kill_target in [false, true] {
            let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
            let transfer_started = |sim: &Sim| {
                sim.state_changes
                    .iter()
                    .any(|(_, _, n)| matches!(n, StateChange::TransferringLeadership { .. }))
            };
            let end = sim.now + 30_000;
            while sim.now < end && !transfer_started(&sim) {
                let version = sim.nodes[2]
                    .replicated_state()
                    .map_or(0, |record| record.version());
                sim.propose_change(2, version);
                sim.read(2);
                sim.run_for(20);
            }
            assert!(transfer_started(&sim));
            sim.run_for(offset_ms);
            let dead = if kill_target { 2 } else { leader };
            sim.crash(dead);
            let at = if kill_target { leader } else { 2 };
            // a change in flight may commit first; a later one then builds on it
            let from = sim.now;
            while sim.now < from + ACK_MS && sim.commit_latency(at, ACK_MS).is_none() {}
            let elapsed = sim.now - from;
            assert!(elapsed <= ACK_MS, "{offset_ms} {kill_target}: {elapsed}");
            sim.start(dead);
            sim.run_for(4000);
            assert_invariants(&sim);
            assert!(
                check_convergence(&sim).is_empty(),
                "{offset_ms} {kill_target}"
            );
        }
    }
}
