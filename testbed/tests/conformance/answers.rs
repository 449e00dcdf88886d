//! When entries are held, committed, answered and read.

use super::*;
use sorreldoor::consensus::Msg;
use testbed::sim::{check_convergence, message_kind, OperationResult};

pub fn entries_cross_once_to_each_other_domain_leader() {
    let (mut s, l) = led_from(&[0, 0, 0, 1, 1, 1], 0);
    let before = s.sent_by_kind.get("append").copied().unwrap_or(0);
    let far = s.sent_between_regions.get("append").copied().unwrap_or(0);
    s.commit_latency(l, 500).expect("taken");
    // one append to the other Domain Leader, two in the own region, and two
    // more that the other Domain Leader passes on
    assert_eq!(s.sent_by_kind["append"] - before, 5);
    assert_eq!(s.sent_between_regions["append"] - far, 1);
}

pub fn the_domain_leader_answers_after_one_round_trip() {
    let (mut s, _) = led_from(&[0, 0, 1], 0);
    s.jitter_ms = 0;
    let took = s.commit_latency(2, 500).expect("taken");
    assert!(
        (60..=66).contains(&took),
        "{took} ms for a round trip of 60"
    );
    assert!(s.sent_by_kind["confirm"] > 0);
}

pub fn without_fast_return_it_takes_two() {
    for fast in [true, false] {
        let mut timing = Timing::for_ack(ACK);
        timing.fast_return = fast;
        for seed in 0..200 {
            let mut s = Sim::new(seed, &[0, 0, 1], timing.clone());
            s.jitter_ms = 0;
            let l = s.wait_for_leader();
            if s.nodes[l].region == 1 {
                continue;
            }
            let away = s.commit_latency(2, 900).expect("taken");
            let home = s.commit_latency(l, 900).expect("taken");
            println!("fast return {fast}: other region {away} ms, own {home} ms");
            let bound = if fast { 55..=70 } else { 115..=140 };
            assert!(bound.contains(&away), "{away}");
            assert!((55..=70).contains(&home), "{home}");
            break;
        }
    }
}

pub fn the_commit_index_needs_another_region() {
    let (mut s, l) = led_from(&[0, 0, 0, 1, 1, 1], 0);
    let before = s.nodes[l].consensus.as_ref().map_or(0, |a| a.committed());
    for i in 3..6 {
        for j in 0..3 {
            s.block_both_ways(i, j);
        }
    }
    let p = s.propose_change(l, s.highest_version());
    s.run_for(200);
    assert_eq!(s.operation(p).result, OperationResult::Pending);
    let after = s.nodes[l].consensus.as_ref().map_or(0, |a| a.committed());
    assert_eq!(before, after);
}

pub fn a_read_sees_what_a_domain_leader_has_answered() {
    let (mut s, l) = led_from(&[0, 0, 1], 0);
    // message 6 is lost: the Global Leader does not hear that it is held
    s.drop_filter = Some(Box::new(|from, _, m| {
        from == 2 && matches!(m, Msg::AppendReply { .. })
    }));
    s.commit_latency(2, 500).expect("the Domain Leader answers");
    let top = s.highest_version();
    let r = s.read(l);
    s.run_for(1000);
    assert_eq!(s.operation(r).result, OperationResult::ReadVersion(top));
    sound(&s);
}

pub fn the_global_leader_answers_a_region_without_majority() {
    let (mut s, _) = led_from(&[0, 0, 0, 1, 1, 1], 0);
    s.crash(4);
    s.crash(5);
    s.run_for(1500);
    let took = s
        .commit_latency(3, ACK)
        .expect("answered by the Global Leader");
    assert!(took <= ACK / 2, "{took}");
}

/// The paper's messages 1 to 6, each lost for a while.
pub fn a_lost_message_of_the_paper_is_survived() {
    type F = fn(usize, usize, &Msg) -> bool;
    let table: [(&str, F); 6] = [
        ("1 proposal", |_, _, m| matches!(m, Msg::Propose { .. })),
        ("2 entry to the other region", |_, t, m| {
            t >= 3 && matches!(m, Msg::Append { .. })
        }),
        ("3 entry in the own region", |f, t, m| {
            f < 3 && t < 3 && matches!(m, Msg::Append { .. })
        }),
        ("4 confirmation", |_, _, m| matches!(m, Msg::Confirm { .. })),
        ("5 entry in the asker's region", |f, t, m| {
            f >= 3 && t >= 3 && matches!(m, Msg::Append { .. })
        }),
        ("6 acknowledgement", |f, t, m| {
            f >= 3 && t < 3 && matches!(m, Msg::AppendReply { .. })
        }),
    ];
    for (name, f) in table {
        let (mut s, _) = led_from(&[0, 0, 0, 1, 1, 1], 0);
        s.drop_filter = Some(Box::new(f));
        let p = s.propose_change(4, s.highest_version());
        s.run_for(300);
        s.drop_filter = None;
        s.run_for(ACK);
        assert!(
            s.operation(p).was_applied(),
            "{name}: {:?}",
            s.operation(p).result
        );
        s.run_for(2000);
        sound(&s);
        assert!(check_convergence(&s).is_empty(), "{name}");
    }
}

pub fn a_lost_confirmation_is_made_good_by_the_global_leader() {
    let (mut s, _) = led_from(&[0, 0, 1], 0);
    s.drop_filter = Some(Box::new(|_, _, m| {
        matches!(m, Msg::Confirm { .. }) || message_kind(m) == "beat"
    }));
    let took = s.commit_latency(2, 1000).expect("answered");
    assert!(took > 60, "{took}");
    assert!(s.sent_by_kind["answered"] > 0);
}

pub fn any_one_core_lost_is_acked_within_ack_ms() {
    for preset in [[0, 0, 1], [0, 1, 1], [0, 0, 0]] {
        for lost in 0..3 {
            let mut worst = 0;
            for seed in 0..10 {
                let mut s = sim(seed, &preset);
                s.wait_for_leader();
                s.crash(lost);
                let at = (lost + 1) % 3;
                let took = s.commit_latency(at, ACK * 2);
                let ok = took.is_some_and(|t| t <= ACK);
                assert!(ok, "{preset:?} lost {lost} seed {seed}: {took:?}");
                worst = worst.max(took.unwrap_or(0));
                sound(&s);
            }
            println!("cores {preset:?}, core {lost} lost: acked within {worst} ms of {ACK}");
        }
    }
}

pub fn a_deposed_leaders_late_confirmation_is_ignored() {
    let (mut s, l) = led_from(&[0, 0, 1], 0);
    let term = s.nodes[l].consensus.as_ref().map_or(0, |a| a.term());
    let old = s.nodes[l].id;
    s.isolate(l);
    s.run_for(3000);
    let commit = s.nodes[2].consensus.as_ref().map_or(0, |a| a.committed());
    let msg = Msg::Confirm {
        term,
        index: commit + 50,
        holders: vec![old, 2],
    };
    let ev = sorreldoor::consensus::Event::Received { from: old, msg };
    s.deliver(2, ev);
    let after = s.nodes[2].consensus.as_ref().map_or(0, |a| a.committed());
    assert_eq!(commit, after);
}

pub fn a_retry_gets_the_first_answer() {
    let (mut s, _) = led_from(&[0, 0, 1], 0);
    let p = s.propose_change(2, s.highest_version());
    s.run_for(500);
    assert!(s.operation(p).was_applied());
    let top = s.highest_version();
    for at in 0..3 {
        s.retry(at, p);
        s.run_for(300);
    }
    s.run_for(500);
    assert_eq!(s.highest_version(), top);
}

/// A disk that takes writes again brings its core back without a restart: it
/// follows, and can lead once the others need it.
pub fn a_healed_disk_takes_part_again() {
    use sorreldoor::consensus::Event;
    let (mut s, l) = led_from(&[0, 0, 1], 0);
    s.deliver(l, Event::SaveFailed);
    s.run_for(3000);
    assert!(s.leader().is_some_and(|n| n != l));
    let top = s.commit_latency((l + 1) % 3, ACK);
    assert!(top.is_some(), "the others go on");
    s.deliver(l, Event::SaveRecovered);
    s.run_for(3000);
    let holds = |s: &Sim, i: usize| s.nodes[i].consensus.as_ref().map(|a| a.applied());
    assert_eq!(holds(&s, l), holds(&s, (l + 1) % 3));
    // with another core gone, its vote and its disk are needed
    let other = s.leader().unwrap();
    s.crash(other);
    s.run_for(5000);
    assert!(s.leader().is_some(), "it counts for a majority again");
    assert!(s.commit_latency(l, ACK).is_some());
    sound(&s);
}

/// A disk that fails, and one that is stuck, take their core out of the way.
pub fn a_bad_disk_steps_aside() {
    let (mut s, l) = led_from(&[0, 0, 1], 0);
    let p = s.propose_change(l, s.highest_version());
    s.deliver(l, sorreldoor::consensus::Event::SaveFailed);
    s.run_for(20);
    assert_eq!(s.operation(p).result, OperationResult::Unknown);
    assert!(s.nodes[l]
        .consensus
        .as_ref()
        .is_some_and(|a| a.disk_failed()));
    let q = s.propose_change(l, s.highest_version());
    assert_eq!(s.operation(q).result, OperationResult::Dropped);
    s.run_for(3000);
    assert!(s.leader().is_some_and(|n| n != l));
    assert!(s.commit_latency((l + 1) % 3, ACK).is_some());
    let (mut s, l) = led_from(&[0, 0, 1], 0);
    s.nodes[l].disk.stuck = true;
    s.propose_change(l, s.highest_version());
    let end = s.now + ACK;
    let noticed = s.run_until(end, |s| s.leader().is_some_and(|n| n != l));
    assert!(noticed, "a stuck disk is noticed within ackMs");
    sound(&s);
}
