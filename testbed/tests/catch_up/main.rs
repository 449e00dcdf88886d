//! Members that missed hundreds of changes, on links of limited bandwidth: they
//! catch up, and the catch-up causes no election.

mod bounds;
mod power_loss;
mod support;

use sorreldoor::consensus::{
    Consensus, Event, InjectedFault, Member, StateChange, Timing, TRANSFER_CHUNK_BYTES,
    TRANSFER_WINDOW_BYTES,
};
use sorreldoor::pacing::Pacing;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::{Millis, RegionId};
use support::*;
use testbed::sim::{
    check_convergence, check_history, run_with_faults, Bandwidth, OperationResult, Sim,
};

/// Interval between two configuration changes.
const CHANGE_EVERY: Millis = 100;

const LAYOUTS: [&[RegionId]; 4] = [
    &[0, 0, 0],
    &[0, 0, 1],
    &[0, 0, 0, 1, 1],
    &[0, 0, 1, 1, 2, 2],
];

/// Measurements of a member's return while the configuration kept changing.
struct ReturnOutcome {
    elapsed: Option<Millis>,
    elections: usize,
    /// The longest queueing delay of a frame on the leader's uplink.
    longest_wait_ms: Millis,
    largest_frame_bytes: u64,
}

/// One member is down for `count` changes of a configuration of `routes`
/// routes, and returns.
fn return_after(
    count: usize,
    regions: &[RegionId],
    routes: usize,
    fault: InjectedFault,
) -> (Sim, ReturnOutcome) {
    let (mut sim, mut leader) = settled_group(7, regions, routes, InjectedFault::None);
    let absent_member = any_follower(&sim, leader);
    sim.crash(absent_member);
    commit_changes(&mut sim, leader, count);
    if fault != InjectedFault::None {
        leader = restart_with(&mut sim, fault);
    }
    sim.nodes[leader].uplink = Default::default();
    let returned_at = sim.now;
    sim.start(absent_member);
    let elapsed = time_to_catch_up(&mut sim, leader, absent_member, 20_000);
    let uplink = sim.nodes[leader].uplink;
    let elections = leaders_since(&sim, returned_at);
    let outcome = ReturnOutcome {
        elapsed,
        elections,
        longest_wait_ms: uplink.longest_wait_ms,
        largest_frame_bytes: uplink.largest_frame_bytes,
    };
    (sim, outcome)
}

/// Restarts all running members with a fault injected; returns the new leader.
fn restart_with(sim: &mut Sim, fault: InjectedFault) -> usize {
    sim.timing.injected_fault = fault;
    let up: Vec<usize> = (0..sim.nodes.len())
        .filter(|i| sim.nodes[*i].is_running())
        .collect();
    for i in &up {
        sim.crash(*i);
    }
    for i in up {
        sim.start(i);
    }
    let leader = sim.wait_for_leader();
    sim.run_for(3000);
    leader
}

#[test]
fn a_member_that_was_down_for_600_changes_catches_up() {
    for regions in LAYOUTS {
        for routes in [1600, 5000] {
            let (mut sim, outcome) = return_after(620, regions, routes, InjectedFault::None);
            println!(
                "{regions:?}, {routes} routes: caught up in {:?} ms, longest wait {} ms, largest frame {} bytes, {} elections",
                outcome.elapsed, outcome.longest_wait_ms, outcome.largest_frame_bytes, outcome.elections
            );
            assert!(
                outcome.elapsed.is_some_and(|ms| ms < 5000),
                "{regions:?} {routes}"
            );
            assert_eq!(outcome.elections, 0, "{regions:?} {routes}");
            // a heartbeat queues only behind one window and other small frames
            assert!(
                outcome.longest_wait_ms < 200,
                "{regions:?} {routes}: {}",
                outcome.longest_wait_ms
            );
            assert_invariants(&mut sim);
        }
    }
}

#[test]
fn snapshots_sent_whole_delay_heartbeats() {
    let run = std::panic::catch_unwind(|| {
        return_after(620, &[0, 0, 1], 5000, InjectedFault::SendUnchunked).1
    });
    // a change that is not acknowledged in time panics
    let Ok(outcome) = run else {
        return println!("whole: a change was not acknowledged");
    };
    println!(
        "whole: caught up in {:?} ms, longest wait {} ms, largest frame {} bytes, {} elections",
        outcome.elapsed, outcome.longest_wait_ms, outcome.largest_frame_bytes, outcome.elections
    );
    assert!(outcome.longest_wait_ms >= 200 || outcome.elections > 0);
}

/// Three large configurations in a row, in a group of five; returns the
/// elections and the longest queueing delay.
fn put_large_configurations(fault: InjectedFault) -> (usize, Millis) {
    let (mut sim, leader) = settled_group(11, &[0, 0, 0, 1, 1], 1600, fault);
    let started_at = sim.now;
    sim.nodes[leader].uplink = Default::default();
    for tag in 1..4 {
        put_configuration(&mut sim, leader, 5000, tag);
    }
    let measured = (
        leaders_since(&sim, started_at),
        sim.nodes[leader].uplink.longest_wait_ms,
    );
    assert_invariants(&mut sim);
    measured
}

#[test]
fn large_entries_in_chunks_depose_no_leader() {
    let (elections, wait) = put_large_configurations(InjectedFault::None);
    println!("large entries in chunks: {elections} elections, longest wait {wait} ms");
    assert_eq!(elections, 0);
    assert!(wait < 250, "{wait}");
}

#[test]
fn large_entries_sent_whole_depose_the_leader() {
    let run = std::panic::catch_unwind(|| put_large_configurations(InjectedFault::SendUnchunked));
    println!("large entries whole: {run:?}");
    assert!(run.map_or(true, |(elections, wait)| elections > 0 || wait >= 250));
}

fn propose_members(sim: &mut Sim, node: usize, members: Vec<Member>) {
    sim.deliver(node, Event::Reconfigure(members));
}

/// A blank member replaces a lost one, joining as a non-voter.
#[test]
fn a_blank_member_catches_up_and_becomes_a_voter() {
    for regions in [&[0, 0, 0][..], &[0, 0, 1], &[0, 0, 0, 1, 1]] {
        let (mut sim, leader) = settled_group(3, regions, 1600, InjectedFault::None);
        let lost = any_follower(&sim, leader);
        sim.crash(lost);
        commit_changes(&mut sim, leader, 300);
        let region = sim.nodes[lost].region;
        let blank_node = sim.add_node(region);
        let mut members = consensus(&sim, leader).members().to_vec();
        members.push(testbed::sim::member(blank_node, region, false));
        propose_members(&mut sim, leader, members.clone());
        let elapsed = time_to_catch_up(&mut sim, leader, blank_node, 20_000);
        println!("blank, {regions:?}: {elapsed:?} ms");
        assert!(
            elapsed.is_some_and(|ms| ms < 5000),
            "{regions:?}: {elapsed:?}"
        );
        assert!(consensus(&sim, leader).caught_up(sim.nodes[blank_node].id));
        let lost_id = sim.nodes[lost].id;
        members.retain(|m| m.id != lost_id);
        propose_members(&mut sim, leader, members.clone());
        sim.run_for(2000);
        if let Some(m) = members.last_mut() {
            m.voter = true;
        }
        propose_members(&mut sim, leader, members);
        commit_changes(&mut sim, leader, 20);
        assert!(consensus(&sim, blank_node)
            .members()
            .iter()
            .all(|m| m.voter));
        assert_invariants(&mut sim);
    }
}

fn consensus(sim: &Sim, i: usize) -> &Consensus<testbed::sim::RecordingStateMachine> {
    sim.nodes[i].consensus.as_ref().expect("the node is up")
}

#[test]
fn a_member_with_a_slow_or_stalling_disk_catches_up() {
    let (mut sim, leader) = settled_group(5, &[0, 0, 0], 1600, InjectedFault::None);
    let slow = any_follower(&sim, leader);
    sim.crash(slow);
    commit_changes(&mut sim, leader, 620);
    sim.nodes[slow].disk.sync_ms = 250;
    sim.start(slow);
    sim.run_for(300);
    sim.nodes[slow].disk.stuck = true;
    commit_changes(&mut sim, leader, 20);
    sim.nodes[slow].disk.stuck = false;
    let elapsed = time_to_catch_up(&mut sim, leader, slow, 20_000);
    println!("250 ms per sync and a stall of 2 s: caught up {elapsed:?} ms after it");
    assert!(elapsed.is_some_and(|ms| ms < 5000), "{elapsed:?}");
    assert_invariants(&mut sim);
}

/// The receiver crashes repeatedly, at any moment of an install.
#[test]
fn a_member_that_restarts_during_an_install_catches_up() {
    for offset_ms in (20..700).step_by(40) {
        let (mut sim, leader) = settled_group(offset_ms, &[0, 0, 1], 1600, InjectedFault::None);
        let absent_member = any_follower(&sim, leader);
        sim.crash(absent_member);
        commit_changes(&mut sim, leader, 560);
        for _ in 0..3 {
            sim.start(absent_member);
            sim.run_for(offset_ms);
            sim.crash(absent_member);
            commit_changes(&mut sim, leader, 2);
        }
        sim.start(absent_member);
        let elapsed = time_to_catch_up(&mut sim, leader, absent_member, 20_000);
        assert!(
            elapsed.is_some_and(|ms| ms < 5000),
            "{offset_ms}: {elapsed:?}"
        );
        assert_invariants(&mut sim);
    }
}

/// The leader crashes at any moment of an install; its successor continues.
#[test]
fn an_install_continues_after_a_leader_change() {
    for offset_ms in (20..700).step_by(40) {
        let (mut sim, leader) =
            settled_group(offset_ms, &[0, 0, 0, 1, 1], 1600, InjectedFault::None);
        let absent_member = any_follower(&sim, leader);
        sim.crash(absent_member);
        commit_changes(&mut sim, leader, 560);
        sim.start(absent_member);
        sim.run_for(offset_ms);
        sim.crash(leader);
        let deadline = sim.now + 5000;
        assert!(
            sim.run_until(deadline, |sim| sim.leader().is_some()),
            "{offset_ms}"
        );
        sim.run_for(500);
        let next = sim.leader().expect("a leader");
        assert!(
            applied(&sim, next) >= 560,
            "{offset_ms}: the new leader lacks committed entries"
        );
        let elapsed = time_to_catch_up(&mut sim, next, absent_member, 20_000);
        assert!(
            elapsed.is_some_and(|ms| ms < 5000),
            "{offset_ms}: {elapsed:?}"
        );
        sim.start(leader);
        assert_invariants(&mut sim);
    }
}

/// An interruption costs the data in flight, not the complete snapshot.
#[test]
fn an_interrupted_transfer_resumes_where_it_stopped() {
    let (mut sim, leader) = settled_group(9, &[0, 0, 0], 5000, InjectedFault::None);
    let absent_member = any_follower(&sim, leader);
    sim.crash(absent_member);
    commit_changes(&mut sim, leader, 560);
    sim.nodes[leader].uplink = Default::default();
    sim.start(absent_member);
    let snapshot_bytes = consensus(&sim, leader).snapshot_bytes() as u64;
    for _ in 0..3 {
        sim.run_for(150);
        sim.block_both_ways(leader, absent_member);
        sim.run_for(1500);
        sim.blocked_links.clear();
    }
    let elapsed = time_to_catch_up(&mut sim, leader, absent_member, 20_000);
    let sent = sim.nodes[leader].uplink.sent_bytes;
    println!(
        "three interruptions: {elapsed:?} ms, {sent} bytes sent for a snapshot of {snapshot_bytes}"
    );
    assert!(elapsed.is_some_and(|ms| ms < 5000), "{elapsed:?}");
    // three windows are lost; the rest are heartbeats and changes
    let lost = 3 * (TRANSFER_WINDOW_BYTES + TRANSFER_CHUNK_BYTES) as u64;
    assert!(
        sent < snapshot_bytes + lost + 150_000,
        "{sent} for {snapshot_bytes}"
    );
    assert_invariants(&mut sim);
}
