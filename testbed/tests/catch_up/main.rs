//! Members that missed hundreds of changes, on links of limited bandwidth: they
//! catch up, and the catch-up causes no election.

mod bounds;

use sorreldoor::consensus::{
    Consensus, Event, InjectedFault, Member, StateChange, Timing, CHUNK_BYTES, WINDOW_BYTES,
};
use sorreldoor::pacing::Pacing;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::{Millis, RegionId};
use testbed::sim::{
    check_convergence, check_history, run_with_faults, Bandwidth, OperationResult, Sim,
};

/// Interval between two configuration changes.
const CHANGE_EVERY: Millis = 100;

/// A configuration document with `routes` routes; `tag` makes it distinct.
fn configuration(routes: usize, tag: usize) -> String {
    let route = |i: usize| {
        format!(
            r#""route-{i:05}-of-configuration-{tag}":{{"kind":"fetch","repeatable":true,"cutoff_ms":5000,"shares":{{"pages":{{"weight":100}},"front":{{"weight":50}}}}}}"#
        )
    };
    let all: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"groups":{{"web":{{"kind":"web","slots":16}}}},"services":{{"pages":{{"groups":["web"]}},"front":{{"groups":["web"]}}}},"routes":{{{}}}}}"#,
        all.join(",")
    )
}

fn timing(fault: InjectedFault) -> Timing {
    let pacing = Pacing {
        beat_ms: Some(150),
        ..Pacing::default()
    };
    Timing {
        injected_fault: fault,
        ..pacing.timing(2000)
    }
}

/// A group with an elected leader on links of 10 Mbit/s, and a configuration
/// of `routes` routes; returns the leader's node index.
fn settled_group(
    seed: u64,
    regions: &[RegionId],
    routes: usize,
    fault: InjectedFault,
) -> (Sim, usize) {
    let mut sim = Sim::new(seed, regions, timing(fault));
    sim.inter_region_delay_ms = 35;
    sim.max_events = 20_000_000;
    sim.bandwidth = Some(Bandwidth::megabits_per_second(10));
    let leader = sim.wait_for_leader();
    put_configuration(&mut sim, leader, routes, 0);
    (sim, leader)
}

fn put_configuration(sim: &mut Sim, node: usize, routes: usize, tag: usize) {
    let base = sim.highest_version();
    let document = configuration(routes, tag);
    let op_id = sim.propose_command(
        node,
        base,
        &Command::Put {
            base,
            new_version: None,
            document,
        },
    );
    let end = sim.now + 20_000;
    sim.run_until(end, |sim| {
        sim.operation(op_id).result != OperationResult::Pending
    });
    assert!(
        sim.operation(op_id).was_applied(),
        "{:?}",
        sim.operation(op_id).result
    );
}

/// Makes changes one after the other; each must be acknowledged.
fn commit_changes(sim: &mut Sim, node: usize, count: usize) {
    for _ in 0..count {
        let base = sim.highest_version();
        let op_id = sim.propose_change(node, base);
        let next = sim.now + CHANGE_EVERY;
        sim.run_until(next + 4000, |sim| {
            sim.operation(op_id).result != OperationResult::Pending
        });
        assert!(
            sim.operation(op_id).was_applied(),
            "at {}: {:?}",
            sim.now,
            sim.operation(op_id).result
        );
        let rest = next.saturating_sub(sim.now);
        sim.run_for(rest);
    }
}

fn applied(sim: &Sim, i: usize) -> u64 {
    sim.nodes[i].consensus.as_ref().map_or(0, |c| c.applied())
}

/// Time until a member lags by no more than three entries, with a change every
/// 100 ms meanwhile; `None` after `limit`.
fn time_to_catch_up(sim: &mut Sim, node: usize, member: usize, limit: Millis) -> Option<Millis> {
    let started_at = sim.now;
    while sim.now < started_at + limit {
        commit_changes(sim, node, 1);
        let newest = (0..sim.nodes.len()).map(|i| applied(sim, i)).max();
        if newest.is_some_and(|n| applied(sim, member) + 3 >= n) {
            return Some(sim.now - started_at);
        }
    }
    None
}

fn leaders_since(sim: &Sim, since: Millis) -> usize {
    sim.state_changes
        .iter()
        .filter(|(t, _, n)| *t >= since && matches!(n, StateChange::GlobalLeader { .. }))
        .count()
}

fn assert_invariants(sim: &mut Sim) {
    sim.heal();
    sim.run_for(6000);
    let mut violations = check_history(sim);
    violations.extend(check_convergence(sim));
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The last member that is not the leader.
fn any_follower(sim: &Sim, leader: usize) -> usize {
    (0..sim.nodes.len())
        .rev()
        .find(|i| *i != leader)
        .unwrap_or(0)
}

const LAYOUTS: [&[RegionId]; 4] = [
    &[0, 0, 0],
    &[0, 0, 1],
    &[0, 0, 0, 1, 1],
    &[0, 0, 1, 1, 2, 2],
];

/// What a member's return cost, while the configuration kept changing.
struct ReturnOutcome {
    elapsed: Option<Millis>,
    elections: usize,
    /// The longest queueing delay of a frame on the leader's uplink.
    longest_wait: Millis,
    largest_frame: u64,
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
        longest_wait: uplink.longest_wait,
        largest_frame: uplink.largest_frame,
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
                outcome.elapsed, outcome.longest_wait, outcome.largest_frame, outcome.elections
            );
            assert!(
                outcome.elapsed.is_some_and(|ms| ms < 5000),
                "{regions:?} {routes}"
            );
            assert_eq!(outcome.elections, 0, "{regions:?} {routes}");
            // a heartbeat queues only behind one window and other small frames
            assert!(
                outcome.longest_wait < 200,
                "{regions:?} {routes}: {}",
                outcome.longest_wait
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
        outcome.elapsed, outcome.longest_wait, outcome.largest_frame, outcome.elections
    );
    assert!(outcome.longest_wait >= 200 || outcome.elections > 0);
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
        sim.nodes[leader].uplink.longest_wait,
    );
    assert_invariants(&mut sim);
    measured
}

#[test]
fn large_entries_do_not_unseat_a_leader() {
    let (elections, wait) = put_large_configurations(InjectedFault::None);
    println!("large entries in chunks: {elections} elections, longest wait {wait} ms");
    assert_eq!(elections, 0);
    assert!(wait < 250, "{wait}");
}

#[test]
fn large_entries_sent_whole_unseat_the_leader() {
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
    println!("250 ms a sync and a stall of 2 s: {elapsed:?} ms after it");
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
fn a_leader_change_during_an_install_is_survived() {
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
            "{offset_ms}: it holds what was committed"
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
fn a_transfer_goes_on_after_a_break_where_it_was() {
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
    println!("three breaks: {elapsed:?} ms, {sent} bytes sent for an image of {snapshot_bytes}");
    assert!(elapsed.is_some_and(|ms| ms < 5000), "{elapsed:?}");
    // three windows are lost; the rest are heartbeats and changes
    let lost = 3 * (WINDOW_BYTES + CHUNK_BYTES) as u64;
    assert!(
        sent < snapshot_bytes + lost + 150_000,
        "{sent} for {snapshot_bytes}"
    );
    assert_invariants(&mut sim);
}
