//! Members that start again: none leads, votes or answers by less than what
//! was committed.

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

/// The highest index that any node knows to be committed.
fn committed(s: &Sim) -> u64 {
    let nodes = s.nodes.iter().filter_map(|n| n.consensus.as_ref());
    nodes.map(|c| c.committed()).max().unwrap_or(0)
}

/// Whether any node leads now whose log lacks what was `committed`.
fn leads_with_old_state(s: &Sim, committed: u64) -> bool {
    let leader = s.leader().and_then(|l| s.nodes[l].consensus.as_ref());
    leader.is_some_and(|c| c.log().last().index < committed)
}

/// One member is down while the others change the configuration; it comes
/// back as the leader dies, so it is needed for the majority.
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
    println!("votes for older logs: seen with seed {caught:?}");
    assert!(caught.is_some());
}

/// Entries are on two of three; one of the two dies, the other loses its disk.
/// Whether the third then leads without them.
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
    assert!(!wiped_as(Some(99)), "a new identity has no vote");
    // the rule taken away: its blank vote elects one that lacks the entries
    assert!(wiped_as(None));
}

/// What a member replays at its start is committed, and is nevertheless not
/// given out as current before a leader has proved itself.
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
        let behind_the_cut = s.read(restarted);
        s.run_for(6000);
        assert_eq!(
            s.operation(behind_the_cut).result,
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

/// All lose power right after an acknowledgement, and one its disk; how long
/// until a leader is there, and until it answers a read.
fn one_wiped_and_all_dark(seed: u64, preset: &[RegionId], wiped: usize) -> (u64, u64) {
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
fn a_site_with_one_disk_lost_is_soon_read_again() {
    for preset in [
        &[0, 0, 0][..],
        &[0, 0, 1],
        &[0, 0, 0, 1, 1],
        &[0, 0, 1, 1, 2, 2],
    ] {
        for wiped in 0..preset.len() {
            let mut all: Vec<(u64, u64)> = (0..30)
                .map(|seed| one_wiped_and_all_dark(seed, preset, wiped))
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

/// A member whose snapshot cannot be read does not go on without it.
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
        .expect("a founded core has one");
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
