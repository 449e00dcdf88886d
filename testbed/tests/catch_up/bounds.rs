//! Log, snapshots and transfers stay bounded, and an install is whole.

use super::*;

/// Snapshots come faster than one can be sent.
fn short_log(broken: InjectedFault) -> Option<Millis> {
    let mut s = Sim::new(
        2,
        &[0, 0, 0],
        Timing {
            snapshot_entries: 2,
            ..timing(broken)
        },
    );
    s.max_events = 20_000_000;
    s.bandwidth = Some(Bandwidth::megabits_per_second(10));
    let leader = s.wait_for_leader();
    put(&mut s, leader, 3500, 0);
    let away = follower(&s, leader);
    s.crash(away);
    changes(&mut s, leader, 40);
    s.start(away);
    let began = s.now;
    let mut took = None;
    while took.is_none() && s.now < began + 10_000 {
        // whether they are taken or not, the log grows by them
        let base = s.highest_version();
        s.propose_change(leader, base);
        s.run_for(CHANGE_EVERY);
        took = (applied(&s, away) + 3 >= applied(&s, leader)).then_some(s.now - began);
    }
    sound(&mut s);
    took
}

#[test]
fn a_snapshot_is_of_use_though_newer_ones_were_made() {
    let took = short_log(InjectedFault::None);
    println!("a snapshot every two changes: {took:?} ms");
    assert!(took.is_some());
    assert_eq!(short_log(InjectedFault::CompactWithoutTail), None);
}

/// A deposed leader's own entries, which nobody else has, give way to the
/// snapshot that reaches into them.
fn conflicting_install(broken: InjectedFault) -> Vec<String> {
    let mut s = Sim::new(
        4,
        &[0, 0, 0],
        Timing {
            snapshot_entries: 5,
            ..timing(broken)
        },
    );
    s.max_events = 300_000;
    let old = s.wait_for_leader();
    s.isolate(old);
    for _ in 0..60 {
        let base = s.highest_version();
        s.propose_change(old, base);
    }
    s.run_for(3000);
    let next = s.leader().expect("the others have a leader");
    changes(&mut s, next, 40);
    s.blocked_links.clear();
    s.run_for(3000);
    changes(&mut s, next, 3);
    s.heal();
    s.run_for(6000);
    let mut wrong = check_history(&s);
    wrong.extend(check_convergence(&s));
    wrong
}

#[test]
fn an_install_takes_the_place_of_conflicting_entries() {
    let wrong = conflicting_install(InjectedFault::None);
    assert!(wrong.is_empty(), "{wrong:#?}");
    let run = std::panic::catch_unwind(|| conflicting_install(InjectedFault::KeepConflictingLog));
    println!("with conflicting entries kept: {run:?}");
    assert!(run.map_or(true, |wrong| !wrong.is_empty()));
}

/// All that grows with the number of changes, over 5,000 of them.
#[test]
fn log_snapshots_and_memory_stay_bounded_over_5000_changes() {
    let (mut s, leader) = group(1, &[0, 0, 0], 1600, InjectedFault::None);
    println!("changes; log entries; log bytes; snapshot bytes; saved bytes");
    let mut most = 0;
    for round in 1..=10 {
        for _ in 0..500 {
            let base = s.highest_version();
            let p = s.propose_change(leader, base);
            let end = s.now + 1000;
            s.run_until(end, |s| s.operation(p).result != OperationResult::Pending);
        }
        let c = consensus(&s, leader);
        let log_bytes = c.log().bytes_after(c.log().base().index);
        println!(
            "{}; {}; {log_bytes}; {}; {}",
            round * 500,
            c.log().len(),
            c.snapshot_bytes(),
            s.nodes[leader].disk.saved_bytes
        );
        most = most.max(log_bytes);
        // two generations of the log, each as large as a snapshot and a bit
        assert!(log_bytes < 2 * (c.snapshot_bytes() + 300_000));
        assert!(c.log().len() < 512 * 6);
    }
    sound(&mut s);
}

/// Changes that each bring a whole large configuration: the log is bounded by
/// its bytes long before it is by its entries.
#[test]
fn a_log_of_large_entries_is_bounded_by_bytes() {
    let (mut s, leader) = group(6, &[0, 0, 0], 1600, InjectedFault::None);
    for mark in 1..30 {
        put(&mut s, leader, 1600, mark);
        let c = consensus(&s, leader);
        let log_bytes = c.log().bytes_after(c.log().base().index);
        assert!(
            log_bytes < 2 * (c.snapshot_bytes() + 600_000),
            "{log_bytes} bytes of log after {mark}"
        );
    }
    sound(&mut s);
}

/// Losses, cuts, kills and stuck disks while large configurations come in;
/// chunks are lost, doubled and out of order, or in order on a slow link.
fn storm_with_large_configurations(seed: u64, preset: &[RegionId], bandwidth: Option<Bandwidth>) {
    let mut s = Sim::new(
        seed,
        preset,
        Timing {
            snapshot_entries: 5,
            ..timing(InjectedFault::None)
        },
    );
    s.max_events = 2_000_000;
    s.bandwidth = bandwidth;
    s.wait_for_leader();
    for mark in 0..4 {
        s.loss_percent = seed % 7;
        s.duplicate_percent = seed % 5;
        s.jitter_ms = 1 + seed % 40;
        let at = s.rng.below(preset.len() as u64) as usize;
        let base = s.highest_version();
        let doc = configuration(400 + 100 * mark, mark);
        s.propose_command(
            at,
            base,
            &Command::Put {
                base,
                new_version: None,
                document: doc,
            },
        );
        run_with_faults(&mut s, 3000);
        let mut wrong = check_history(&s);
        wrong.extend(check_convergence(&s));
        assert!(wrong.is_empty(), "seed {seed}, {preset:?}: {wrong:#?}");
    }
    let leader = s.wait_for_leader();
    changes(&mut s, leader, 3);
}

#[test]
fn storms_with_large_configurations_break_nothing() {
    for (i, preset) in SHAPES.iter().enumerate() {
        for seed in 0..8 {
            let seed = seed + 100 * i as u64;
            storm_with_large_configurations(seed, preset, None);
            let slow = Bandwidth::megabits_per_second(10);
            storm_with_large_configurations(seed, preset, Some(slow));
        }
    }
}
