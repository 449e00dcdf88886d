//! Members that were away for hundreds of changes, on links that carry only so
//! much: they catch up, and nobody loses its leader over it.

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

/// Between two changes of the configuration.
const CHANGE_EVERY: Millis = 100;

/// A configuration of so many routes, with something in it that tells it from
/// others.
fn configuration(routes: usize, mark: usize) -> String {
    let one = |i: usize| {
        format!(
            r#""route-{i:05}-of-configuration-{mark}":{{"kind":"fetch","repeatable":true,"cutoff_ms":5000,"shares":{{"pages":{{"weight":100}},"front":{{"weight":50}}}}}}"#
        )
    };
    let all: Vec<String> = (0..routes).map(one).collect();
    format!(
        r#"{{"groups":{{"web":{{"kind":"web","slots":16}}}},"services":{{"pages":{{"groups":["web"]}},"front":{{"groups":["web"]}}}},"routes":{{{}}}}}"#,
        all.join(",")
    )
}

fn timing(broken: InjectedFault) -> Timing {
    let pacing = Pacing {
        beat_ms: Some(150),
        ..Pacing::default()
    };
    Timing {
        injected_fault: broken,
        ..pacing.timing(2000)
    }
}

/// A settled group on links of 10 Mbit/s, with a configuration of `routes`.
fn group(seed: u64, preset: &[RegionId], routes: usize, broken: InjectedFault) -> (Sim, usize) {
    let mut s = Sim::new(seed, preset, timing(broken));
    s.inter_region_delay_ms = 35;
    s.max_events = 20_000_000;
    s.bandwidth = Some(Bandwidth::megabits_per_second(10));
    let leader = s.wait_for_leader();
    put(&mut s, leader, routes, 0);
    (s, leader)
}

fn put(s: &mut Sim, at: usize, routes: usize, mark: usize) {
    let base = s.highest_version();
    let doc = configuration(routes, mark);
    let p = s.propose_command(
        at,
        base,
        &Command::Put {
            base,
            new_version: None,
            document: doc,
        },
    );
    let end = s.now + 20_000;
    s.run_until(end, |s| s.operation(p).result != OperationResult::Pending);
    assert!(s.operation(p).was_applied(), "{:?}", s.operation(p).result);
}

/// Changes one after the other; each must be acknowledged.
fn changes(s: &mut Sim, at: usize, count: usize) {
    for _ in 0..count {
        let base = s.highest_version();
        let p = s.propose_change(at, base);
        let next = s.now + CHANGE_EVERY;
        s.run_until(next + 4000, |s| {
            s.operation(p).result != OperationResult::Pending
        });
        assert!(
            s.operation(p).was_applied(),
            "at {}: {:?}",
            s.now,
            s.operation(p).result
        );
        let rest = next.saturating_sub(s.now);
        s.run_for(rest);
    }
}

fn applied(s: &Sim, i: usize) -> u64 {
    s.nodes[i].consensus.as_ref().map_or(0, |c| c.applied())
}

/// How long a member takes until it lacks no more than the last few changes,
/// with a change every 100 ms all the while.
fn time_to_catch_up(s: &mut Sim, at: usize, member: usize, most: Millis) -> Option<Millis> {
    let began = s.now;
    while s.now < began + most {
        changes(s, at, 1);
        let newest = (0..s.nodes.len()).map(|i| applied(s, i)).max();
        if newest.is_some_and(|n| applied(s, member) + 3 >= n) {
            return Some(s.now - began);
        }
    }
    None
}

fn leaders_since(s: &Sim, at: Millis) -> usize {
    s.state_changes
        .iter()
        .filter(|(t, _, n)| *t >= at && matches!(n, StateChange::GlobalLeader { .. }))
        .count()
}

fn sound(s: &mut Sim) {
    s.heal();
    s.run_for(6000);
    let mut wrong = check_history(s);
    wrong.extend(check_convergence(s));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// One that is neither the leader nor the one that is asked.
fn follower(s: &Sim, leader: usize) -> usize {
    (0..s.nodes.len()).rev().find(|i| *i != leader).unwrap_or(0)
}

const SHAPES: [&[RegionId]; 4] = [
    &[0, 0, 0],
    &[0, 0, 1],
    &[0, 0, 0, 1, 1],
    &[0, 0, 1, 1, 2, 2],
];

/// How a member's return went, while the configuration kept changing.
struct Return {
    took: Option<Millis>,
    elections: usize,
    /// The longest that a frame of the leader's waited behind others.
    longest_wait: Millis,
    largest_frame: u64,
}

/// One member is away for `count` changes of a site with `routes`.
fn away_for(
    count: usize,
    preset: &[RegionId],
    routes: usize,
    broken: InjectedFault,
) -> (Sim, Return) {
    let (mut s, mut leader) = group(7, preset, routes, InjectedFault::None);
    let away = follower(&s, leader);
    s.crash(away);
    changes(&mut s, leader, count);
    if broken != InjectedFault::None {
        leader = restart_with(&mut s, broken);
    }
    s.nodes[leader].uplink = Default::default();
    let back = s.now;
    s.start(away);
    let took = time_to_catch_up(&mut s, leader, away, 20_000);
    let uplink = s.nodes[leader].uplink;
    let elections = leaders_since(&s, back);
    let back = Return {
        took,
        elections,
        longest_wait: uplink.longest_wait,
        largest_frame: uplink.largest_frame,
    };
    (s, back)
}

/// All that are up start again with a rule broken; who leads then.
fn restart_with(s: &mut Sim, broken: InjectedFault) -> usize {
    s.timing.injected_fault = broken;
    let up: Vec<usize> = (0..s.nodes.len())
        .filter(|i| s.nodes[*i].is_running())
        .collect();
    for i in &up {
        s.crash(*i);
    }
    for i in up {
        s.start(i);
    }
    let leader = s.wait_for_leader();
    s.run_for(3000);
    leader
}

#[test]
fn a_member_that_was_down_for_600_changes_catches_up() {
    for preset in SHAPES {
        for routes in [1600, 5000] {
            let (mut s, r) = away_for(620, preset, routes, InjectedFault::None);
            println!(
                "{preset:?}, {routes} routes: caught up in {:?} ms, longest wait {} ms, largest frame {} bytes, {} elections",
                r.took, r.longest_wait, r.largest_frame, r.elections
            );
            assert!(r.took.is_some_and(|ms| ms < 5000), "{preset:?} {routes}");
            assert_eq!(r.elections, 0, "{preset:?} {routes}");
            // a heartbeat waits behind a window and the other small frames only
            assert!(
                r.longest_wait < 200,
                "{preset:?} {routes}: {}",
                r.longest_wait
            );
            sound(&mut s);
        }
    }
}

#[test]
fn snapshots_sent_whole_delay_heartbeats() {
    let run = std::panic::catch_unwind(|| {
        away_for(620, &[0, 0, 1], 5000, InjectedFault::SendUnchunked).1
    });
    // without an acknowledgement in time the run ends early
    let Ok(r) = run else {
        return println!("whole: a change was not acknowledged");
    };
    println!(
        "whole: caught up in {:?} ms, longest wait {} ms, largest frame {} bytes, {} elections",
        r.took, r.longest_wait, r.largest_frame, r.elections
    );
    assert!(r.longest_wait >= 200 || r.elections > 0);
}

/// Three large configurations one after the other, at a group of five.
fn large_puts(broken: InjectedFault) -> (usize, Millis) {
    let (mut s, leader) = group(11, &[0, 0, 0, 1, 1], 1600, broken);
    let began = s.now;
    s.nodes[leader].uplink = Default::default();
    for mark in 1..4 {
        put(&mut s, leader, 5000, mark);
    }
    let found = (
        leaders_since(&s, began),
        s.nodes[leader].uplink.longest_wait,
    );
    sound(&mut s);
    found
}

#[test]
fn large_entries_do_not_unseat_a_leader() {
    let (elections, wait) = large_puts(InjectedFault::None);
    println!("large entries in chunks: {elections} elections, longest wait {wait} ms");
    assert_eq!(elections, 0);
    assert!(wait < 250, "{wait}");
}

#[test]
fn large_entries_sent_whole_unseat_the_leader() {
    let run = std::panic::catch_unwind(|| large_puts(InjectedFault::SendUnchunked));
    println!("large entries whole: {run:?}");
    assert!(run.map_or(true, |(elections, wait)| elections > 0 || wait >= 250));
}

fn propose_members(s: &mut Sim, at: usize, members: Vec<Member>) {
    s.deliver(at, Event::Reconfigure(members));
}

/// A blank member comes in for a wiped one, as a non-voter first.
#[test]
fn a_blank_member_catches_up_and_becomes_a_voter() {
    for preset in [&[0, 0, 0][..], &[0, 0, 1], &[0, 0, 0, 1, 1]] {
        let (mut s, leader) = group(3, preset, 1600, InjectedFault::None);
        let lost = follower(&s, leader);
        s.crash(lost);
        changes(&mut s, leader, 300);
        let region = s.nodes[lost].region;
        let blank = s.add_node(region);
        let mut members = consensus(&s, leader).members().to_vec();
        members.push(testbed::sim::member(blank, region, false));
        propose_members(&mut s, leader, members.clone());
        let took = time_to_catch_up(&mut s, leader, blank, 20_000);
        println!("blank, {preset:?}: {took:?} ms");
        assert!(took.is_some_and(|ms| ms < 5000), "{preset:?}: {took:?}");
        assert!(consensus(&s, leader).caught_up(s.nodes[blank].id));
        let gone = s.nodes[lost].id;
        members.retain(|m| m.id != gone);
        propose_members(&mut s, leader, members.clone());
        s.run_for(2000);
        if let Some(m) = members.last_mut() {
            m.voter = true;
        }
        propose_members(&mut s, leader, members);
        changes(&mut s, leader, 20);
        assert!(consensus(&s, blank).members().iter().all(|m| m.voter));
        sound(&mut s);
    }
}

fn consensus(s: &Sim, i: usize) -> &Consensus<testbed::sim::RecordingStateMachine> {
    s.nodes[i].consensus.as_ref().expect("the node is up")
}

#[test]
fn a_member_with_a_slow_or_stalling_disk_catches_up() {
    let (mut s, leader) = group(5, &[0, 0, 0], 1600, InjectedFault::None);
    let slow = follower(&s, leader);
    s.crash(slow);
    changes(&mut s, leader, 620);
    s.nodes[slow].disk.sync_ms = 250;
    s.start(slow);
    s.run_for(300);
    s.nodes[slow].disk.stuck = true;
    changes(&mut s, leader, 20);
    s.nodes[slow].disk.stuck = false;
    let took = time_to_catch_up(&mut s, leader, slow, 20_000);
    println!("250 ms a sync and a stall of 2 s: {took:?} ms after it");
    assert!(took.is_some_and(|ms| ms < 5000), "{took:?}");
    sound(&mut s);
}

/// The receiver dies at any moment of an install, again and again.
#[test]
fn a_member_that_restarts_during_an_install_catches_up() {
    for off in (20..700).step_by(40) {
        let (mut s, leader) = group(off, &[0, 0, 1], 1600, InjectedFault::None);
        let away = follower(&s, leader);
        s.crash(away);
        changes(&mut s, leader, 560);
        for _ in 0..3 {
            s.start(away);
            s.run_for(off);
            s.crash(away);
            changes(&mut s, leader, 2);
        }
        s.start(away);
        let took = time_to_catch_up(&mut s, leader, away, 20_000);
        assert!(took.is_some_and(|ms| ms < 5000), "{off}: {took:?}");
        sound(&mut s);
    }
}

/// The leader dies at any moment of an install; the next one goes on.
#[test]
fn a_leader_change_during_an_install_is_survived() {
    for off in (20..700).step_by(40) {
        let (mut s, leader) = group(off, &[0, 0, 0, 1, 1], 1600, InjectedFault::None);
        let away = follower(&s, leader);
        s.crash(away);
        changes(&mut s, leader, 560);
        s.start(away);
        s.run_for(off);
        s.crash(leader);
        let led = s.now + 5000;
        assert!(s.run_until(led, |s| s.leader().is_some()), "{off}");
        s.run_for(500);
        let next = s.leader().expect("a leader");
        assert!(
            applied(&s, next) >= 560,
            "{off}: it holds what was committed"
        );
        let took = time_to_catch_up(&mut s, next, away, 20_000);
        assert!(took.is_some_and(|ms| ms < 5000), "{off}: {took:?}");
        s.start(leader);
        sound(&mut s);
    }
}

/// A break in the middle costs what was on its way, not the whole snapshot.
#[test]
fn a_transfer_goes_on_after_a_break_where_it_was() {
    let (mut s, leader) = group(9, &[0, 0, 0], 5000, InjectedFault::None);
    let away = follower(&s, leader);
    s.crash(away);
    changes(&mut s, leader, 560);
    s.nodes[leader].uplink = Default::default();
    s.start(away);
    let image = consensus(&s, leader).snapshot_bytes() as u64;
    for _ in 0..3 {
        s.run_for(150);
        s.block_both_ways(leader, away);
        s.run_for(1500);
        s.blocked_links.clear();
    }
    let took = time_to_catch_up(&mut s, leader, away, 20_000);
    let sent = s.nodes[leader].uplink.sent_bytes;
    println!("three breaks: {took:?} ms, {sent} bytes sent for an image of {image}");
    assert!(took.is_some_and(|ms| ms < 5000), "{took:?}");
    // three windows are lost; the rest are heartbeats and changes
    let lost = 3 * (WINDOW_BYTES + CHUNK_BYTES) as u64;
    assert!(sent < image + lost + 150_000, "{sent} for {image}");
    sound(&mut s);
}
