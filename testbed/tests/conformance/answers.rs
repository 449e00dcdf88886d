//! Replication, commit, acknowledgement and reads of entries.

use super::*;
use sorreldoor::consensus::Msg;
use testbed::sim::{check_convergence, message_kind, OperationResult};

pub fn entries_cross_once_to_each_other_domain_leader() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 0, 1, 1, 1], 0);
    let before = sim.sent_by_kind.get("append").copied().unwrap_or(0);
    let far_before = sim.sent_between_regions.get("append").copied().unwrap_or(0);
    sim.commit_latency(leader, 500).expect("taken");
    // one append to the other Domain Leader, two within the leader's region, and
    // two that the other Domain Leader forwards
    assert_eq!(sim.sent_by_kind["append"] - before, 5);
    assert_eq!(sim.sent_between_regions["append"] - far_before, 1);
}

pub fn the_domain_leader_answers_after_one_round_trip() {
    let (mut sim, _) = settled_with_leader_in(&[0, 0, 1], 0);
    sim.jitter_ms = 0;
    let elapsed = sim.commit_latency(2, 500).expect("taken");
    assert!(
        (60..=66).contains(&elapsed),
        "{elapsed} ms for a round trip of 60"
    );
    assert!(sim.sent_by_kind["confirm"] > 0);
}

pub fn without_fast_return_it_takes_two() {
    for fast in [true, false] {
        let mut timing = Timing::for_ack(ACK_MS);
        timing.fast_return = fast;
        for seed in 0..200 {
            let mut sim = Sim::new(seed, &[0, 0, 1], timing.clone());
            sim.jitter_ms = 0;
            let leader = sim.wait_for_leader();
            if sim.nodes[leader].region == 1 {
                continue;
            }
            let away = sim.commit_latency(2, 900).expect("taken");
            let home = sim.commit_latency(leader, 900).expect("taken");
            println!("fast return {fast}: other region {away} ms, own {home} ms");
            let bound = if fast { 55..=70 } else { 115..=140 };
            assert!(bound.contains(&away), "{away}");
            assert!((55..=70).contains(&home), "{home}");
            break;
        }
    }
}

pub fn the_commit_index_needs_another_region() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 0, 1, 1, 1], 0);
    let before = sim.nodes[leader]
        .consensus
        .as_ref()
        .map_or(0, |a| a.committed());
    for i in 3..6 {
        for j in 0..3 {
            sim.block_both_ways(i, j);
        }
    }
    let op_id = sim.propose_change(leader, sim.highest_version());
    sim.run_for(200);
    assert_eq!(sim.operation(op_id).result, OperationResult::Pending);
    let after = sim.nodes[leader]
        .consensus
        .as_ref()
        .map_or(0, |a| a.committed());
    assert_eq!(before, after);
}

pub fn a_read_sees_what_a_domain_leader_has_answered() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    // message 6 is lost: the Global Leader gets no acknowledgement of the entry
    sim.drop_filter = Some(Box::new(|from, _, m| {
        from == 2 && matches!(m, Msg::AppendReply { .. })
    }));
    sim.commit_latency(2, 500)
        .expect("the Domain Leader acknowledges");
    let top = sim.highest_version();
    let read_id = sim.read(leader);
    sim.run_for(1000);
    assert_eq!(
        sim.operation(read_id).result,
        OperationResult::ReadVersion(top)
    );
    assert_invariants(&sim);
}

pub fn the_global_leader_answers_a_region_without_majority() {
    let (mut sim, _) = settled_with_leader_in(&[0, 0, 0, 1, 1, 1], 0);
    sim.crash(4);
    sim.crash(5);
    sim.run_for(1500);
    let elapsed = sim
        .commit_latency(3, ACK_MS)
        .expect("acknowledged by the Global Leader");
    assert!(elapsed <= ACK_MS / 2, "{elapsed}");
}

/// Each of the messages 1 to 6 of the CD-Raft paper is lost for 300 ms.
pub fn each_message_of_the_paper_may_be_lost() {
    type MessageFilter = fn(usize, usize, &Msg) -> bool;
    let table: [(&str, MessageFilter); 6] = [
        ("1 proposal", |_, _, m| matches!(m, Msg::Propose { .. })),
        ("2 entry to the other region", |_, t, m| {
            t >= 3 && matches!(m, Msg::Append { .. })
        }),
        ("3 entry in the own region", |f, t, m| {
            f < 3 && t < 3 && matches!(m, Msg::Append { .. })
        }),
        ("4 confirmation", |_, _, m| matches!(m, Msg::Confirm { .. })),
        ("5 entry in the proposer's region", |f, t, m| {
            f >= 3 && t >= 3 && matches!(m, Msg::Append { .. })
        }),
        ("6 acknowledgement", |f, t, m| {
            f >= 3 && t < 3 && matches!(m, Msg::AppendReply { .. })
        }),
    ];
    for (name, filter) in table {
        let (mut sim, _) = settled_with_leader_in(&[0, 0, 0, 1, 1, 1], 0);
        sim.drop_filter = Some(Box::new(filter));
        let op_id = sim.propose_change(4, sim.highest_version());
        sim.run_for(300);
        sim.drop_filter = None;
        sim.run_for(ACK_MS);
        assert!(
            sim.operation(op_id).was_applied(),
            "{name}: {:?}",
            sim.operation(op_id).result
        );
        sim.run_for(2000);
        assert_invariants(&sim);
        assert!(check_convergence(&sim).is_empty(), "{name}");
    }
}

pub fn the_global_leader_answers_after_a_lost_confirmation() {
    let (mut sim, _) = settled_with_leader_in(&[0, 0, 1], 0);
    sim.drop_filter = Some(Box::new(|_, _, m| {
        matches!(m, Msg::Confirm { .. }) || message_kind(m) == "heartbeat"
    }));
    let elapsed = sim.commit_latency(2, 1000).expect("answered");
    assert!(elapsed > 60, "{elapsed}");
    assert!(sim.sent_by_kind["proposal-result"] > 0);
}

pub fn any_one_core_lost_is_acked_within_ack_ms() {
    for regions in [[0, 0, 1], [0, 1, 1], [0, 0, 0]] {
        for lost in 0..3 {
            let mut worst = 0;
            for seed in 0..10 {
                let mut sim = new_sim(seed, &regions);
                sim.wait_for_leader();
                sim.crash(lost);
                let at = (lost + 1) % 3;
                let elapsed = sim.commit_latency(at, ACK_MS * 2);
                let ok = elapsed.is_some_and(|t| t <= ACK_MS);
                assert!(ok, "{regions:?} lost {lost} seed {seed}: {elapsed:?}");
                worst = worst.max(elapsed.unwrap_or(0));
                assert_invariants(&sim);
            }
            println!("cores {regions:?}, core {lost} lost: acked within {worst} ms of {ACK_MS}");
        }
    }
}

pub fn a_deposed_leaders_late_confirmation_is_ignored() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    let term = sim.nodes[leader].consensus.as_ref().map_or(0, |a| a.term());
    let old = sim.nodes[leader].id;
    sim.isolate(leader);
    sim.run_for(3000);
    let commit = sim.nodes[2].consensus.as_ref().map_or(0, |a| a.committed());
    let message = Msg::Confirm {
        term,
        index: commit + 50,
        holders: vec![old, 2],
    };
    let event = sorreldoor::consensus::Event::Received {
        from: old,
        msg: message,
    };
    sim.deliver(2, event);
    let after = sim.nodes[2].consensus.as_ref().map_or(0, |a| a.committed());
    assert_eq!(commit, after);
}

pub fn a_retry_gets_the_first_answer() {
    let (mut sim, _) = settled_with_leader_in(&[0, 0, 1], 0);
    let op_id = sim.propose_change(2, sim.highest_version());
    sim.run_for(500);
    assert!(sim.operation(op_id).was_applied());
    let top = sim.highest_version();
    for at in 0..3 {
        sim.retry(at, op_id);
        sim.run_for(300);
    }
    sim.run_for(500);
    assert_eq!(sim.highest_version(), top);
}

/// A core whose disk accepts writes again rejoins without a restart: it
/// follows, and can lead when its vote is needed.
pub fn a_core_with_a_healed_disk_takes_part_again() {
    use sorreldoor::consensus::Event;
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    sim.deliver(leader, Event::SaveFailed);
    sim.run_for(3000);
    assert!(sim.leader().is_some_and(|n| n != leader));
    let top = sim.commit_latency((leader + 1) % 3, ACK_MS);
    assert!(top.is_some(), "the other cores commit");
    sim.deliver(leader, Event::SaveRecovered);
    sim.run_for(3000);
    let applied_index = |sim: &Sim, i: usize| sim.nodes[i].consensus.as_ref().map(|a| a.applied());
    assert_eq!(
        applied_index(&sim, leader),
        applied_index(&sim, (leader + 1) % 3)
    );
    // with another core lost, its vote and its disk are needed
    let other = sim.leader().unwrap();
    sim.crash(other);
    sim.run_for(5000);
    assert!(
        sim.leader().is_some(),
        "no leader with the healed core's vote"
    );
    assert!(sim.commit_latency(leader, ACK_MS).is_some());
    assert_invariants(&sim);
}

/// A leader whose disk fails or is stuck steps down.
pub fn a_leader_with_a_bad_disk_steps_down() {
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    let op_id = sim.propose_change(leader, sim.highest_version());
    sim.deliver(leader, sorreldoor::consensus::Event::SaveFailed);
    sim.run_for(20);
    assert_eq!(sim.operation(op_id).result, OperationResult::Unknown);
    assert!(sim.nodes[leader]
        .consensus
        .as_ref()
        .is_some_and(|a| a.disk_failed()));
    let second_op_id = sim.propose_change(leader, sim.highest_version());
    assert_eq!(sim.operation(second_op_id).result, OperationResult::Dropped);
    sim.run_for(3000);
    assert!(sim.leader().is_some_and(|n| n != leader));
    assert!(sim.commit_latency((leader + 1) % 3, ACK_MS).is_some());
    let (mut sim, leader) = settled_with_leader_in(&[0, 0, 1], 0);
    sim.nodes[leader].disk.stuck = true;
    sim.propose_change(leader, sim.highest_version());
    let end = sim.now + ACK_MS;
    let stepped_down = sim.run_until(end, |sim| sim.leader().is_some_and(|n| n != leader));
    assert!(
        stepped_down,
        "no other leader within {ACK_MS} ms of a stuck disk"
    );
    assert_invariants(&sim);
}
