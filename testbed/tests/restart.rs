//! Restarted members: none leads or answers reads without the committed entries, and a
//! wiped one does not vote under its old identity.

use sorreldoor::consensus::{InjectedFault, Save, Timing};
use sorreldoor::types::{NodeId, RegionId};
use std::sync::Arc;
use testbed::sim::{check_history, OperationResult, Sim};
use testbed::site::World;

fn timing(broken: InjectedFault) -> Timing {
    Timing {
        injected_fault: broken,
        ..Timing::for_ack(2000)
    }
}

fn change(s: &mut Sim, at: usize) -> bool {
    s.commit_latency(at, 4000).is_some()
}

/// The highest commit index of any node.
fn committed(s: &Sim) -> u64 {
    let nodes = s.nodes.iter().filter_map(|n| n.consensus.as_ref());
    nodes.map(|c| c.committed()).max().unwrap_or(0)
}

/// Whether the log of the current leader ends before index `committed`.
fn leads_with_old_state(s: &Sim, committed: u64) -> bool {
    let leader = s.leader().and_then(|l| s.nodes[l].consensus.as_ref());
    leader.is_some_and(|c| c.log().last().index < committed)
}

/// A member misses changes and restarts as the leader crashes, so that its vote is
/// needed; returns whether stale state led or an invariant was violated.
fn returns_as_the_leader_dies(seed: u64, preset: &[RegionId], broken: InjectedFault) -> bool {
    let mut s = Sim::new(seed, preset, timing(broken));
    let leader = s.wait_for_leader();
    let away = (leader + 1 + seed as usize % 2) % 3;
    s.crash(away);
    s.run_for(1000);
    for _ in 0..30 {
        assert!(change(&mut s, leader), "seed {seed}");
    }
    let committed = committed(&s);
    s.crash(leader);
    s.start(away);
    let mut old = false;
    for _ in 0..80 {
        s.run_for(50);
        old |= leads_with_old_state(&s, committed);
    }
    assert!(
        s.leader().is_some() || broken != InjectedFault::None,
        "seed {seed}"
    );
    old || !check_history(&s).is_empty()
}

#[test]
fn a_member_that_was_away_never_leads_with_old_state() {
    for preset in [[0, 0, 0], [0, 0, 1], [0, 1, 2]] {
        for seed in 0..20 {
            let old = returns_as_the_leader_dies(seed, &preset, InjectedFault::None);
            assert!(!old, "{preset:?}, seed {seed}");
        }
    }
    let caught = (0..20)
        .find(|s| returns_as_the_leader_dies(*s, &[0, 0, 0], InjectedFault::VoteForStaleLog));
    println!("votes for older logs: detected with seed {caught:?}");
    assert!(caught.is_some());
}

/// Of the two members that hold the entries one crashes and the other loses its disk;
/// returns whether the third then leads without them.
fn wiped_as(identity: Option<NodeId>) -> bool {
    let mut s = Sim::new(3, &[0, 0, 0], timing(InjectedFault::None));
    let leader = s.wait_for_leader();
    let (wiped, behind) = ((leader + 1) % 3, (leader + 2) % 3);
    s.isolate(behind);
    for _ in 0..10 {
        assert!(change(&mut s, leader));
    }
    let committed = committed(&s);
    s.crash(leader);
    let identity = identity.unwrap_or(s.nodes[wiped].id);
    s.nodes[wiped].wipe(identity);
    s.blocked_links.clear();
    s.start(wiped);
    s.run_for(8000);
    leads_with_old_state(&s, committed)
}

#[test]
fn a_wiped_member_does_not_vote_under_its_old_identity() {
    assert!(
        !wiped_as(Some(99)),
        "a vote under a new identity was counted"
    );
    // under the old identity its vote elects a leader that lacks the entries
    assert!(wiped_as(None));
}

/// A restarted member answers no read from its replayed state before a leader has
/// confirmed it as current.
#[test]
fn replayed_state_is_not_read_as_current() {
    for seed in 0..10 {
        let mut s = Sim::new(seed, &[0, 0, 1], timing(InjectedFault::None));
        let leader = s.wait_for_leader();
        for _ in 0..20 {
            assert!(change(&mut s, leader));
        }
        s.run_for(500);
        let restarted = (leader + 1) % 3;
        s.crash(restarted);
        for _ in 0..20 {
            assert!(change(&mut s, leader));
        }
        s.isolate(restarted);
        s.start(restarted);
        let replayed = s.nodes[restarted]
            .replicated_state()
            .map_or(0, |r| r.version());
        assert!((10..=20).contains(&replayed), "seed {seed}: {replayed}");
        let read_while_isolated = s.read(restarted);
        s.run_for(6000);
        assert_eq!(
            s.operation(read_while_isolated).result,
            OperationResult::Unknown,
            "seed {seed}"
        );
        s.blocked_links.clear();
        s.run_for(2000);
        let healed = s.read(restarted);
        s.run_for(1000);
        assert_eq!(
            s.operation(healed).result,
            OperationResult::ReadVersion(40),
            "seed {seed}"
        );
        let violations = check_history(&s);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// All members crash and one loses its disk; returns the time until there is a leader,
/// and until it answers a read.
fn restart_all_with_one_wiped(seed: u64, preset: &[RegionId], wiped: usize) -> (u64, u64) {
    let pacing = sorreldoor::pacing::Pacing {
        heartbeat_ms: Some(150),
        ..Default::default()
    };
    let mut s = Sim::new(seed, preset, pacing.timing(2000));
    s.inter_region_delay_ms = 55;
    let leader = s.wait_for_leader();
    for _ in 0..5 {
        assert!(change(&mut s, leader));
    }
    (0..preset.len()).for_each(|i| s.crash(i));
    s.nodes[wiped].wipe(99);
    s.run_for(3000);
    for i in 0..preset.len() {
        let wait = s.rng.below(60);
        s.run_for(wait);
        s.start(i);
    }
    let back = s.now;
    assert!(s.run_until(back + 20_000, |s| s.leader().is_some()));
    let led = s.now - back;
    let at = s.leader().expect("a leader");
    let read = s.read(at);
    s.run_until(back + 20_000, |s| {
        s.operation(read).result != OperationResult::Pending
    });
    (led, s.now - back)
}

#[test]
fn reads_succeed_soon_after_a_full_restart_with_one_disk_lost() {
    for preset in [
        &[0, 0, 0][..],
        &[0, 0, 1],
        &[0, 0, 0, 1, 1],
        &[0, 0, 1, 1, 2, 2],
    ] {
        for wiped in 0..preset.len() {
            let mut all: Vec<(u64, u64)> = (0..30)
                .map(|seed| restart_all_with_one_wiped(seed, preset, wiped))
                .collect();
            all.sort_unstable_by_key(|(_, read)| *read);
            let (led, read) = all[all.len() - 1];
            println!(
                "{preset:?}, {wiped} wiped: led after {led} ms, read after {read} ms at worst"
            );
            assert!(read < 1600, "{preset:?}, {wiped} wiped: {read}");
        }
    }
}

/// A member does not start with an unreadable snapshot.
#[test]
#[should_panic(expected = "cannot read the snapshot")]
fn an_unreadable_snapshot_stops_the_start() {
    let mut w = World::ready(1, testbed::presets::press());
    let core = w.cores()[0];
    w.crash(core);
    let disk = &mut w.processes[core].disk;
    let mut snapshot = disk
        .durable
        .snapshot
        .clone()
        .expect("a bootstrapped core has one");
    snapshot.image = Arc::new(b"not an image".to_vec());
    let seq = disk.durable.seq + 1;
    let discard_log = false;
    disk.durable.apply_save(
        seq,
        &Save::Snapshot {
            snapshot,
            discard_log,
        },
    );
    w.start(core);
}
