//! Logs, snapshots and transfers stay bounded, and an installed snapshot replaces
//! conflicting entries.

use super::*;

/// Time to catch up while new snapshots are taken faster than one can be sent.
fn catch_up_with_frequent_snapshots(fault: InjectedFault) -> Option<Millis> {
    let mut sim = Sim::new(
        2,
        &[0, 0, 0],
        Timing {
            snapshot_entries: 2,
            ..timing(fault)
        },
    );
    sim.max_events = 20_000_000;
    sim.bandwidth = Some(Bandwidth::megabits_per_second(10));
    let leader = sim.wait_for_leader();
    put_configuration(&mut sim, leader, 3500, 0);
    let absent_member = any_follower(&sim, leader);
    sim.crash(absent_member);
    commit_changes(&mut sim, leader, 40);
    sim.start(absent_member);
    let started_at = sim.now;
    let mut elapsed = None;
    while elapsed.is_none() && sim.now < started_at + 10_000 {
        // whether the changes are accepted or not, the log grows by them
        let base = sim.highest_version();
        sim.propose_change(leader, base);
        sim.run_for(CHANGE_EVERY);
        elapsed = (applied(&sim, absent_member) + 3 >= applied(&sim, leader))
            .then_some(sim.now - started_at);
    }
    assert_invariants(&mut sim);
    elapsed
}

#[test]
fn a_transferred_snapshot_is_usable_after_newer_ones_were_taken() {
    let elapsed = catch_up_with_frequent_snapshots(InjectedFault::None);
    println!("a snapshot every two changes: {elapsed:?} ms");
    assert!(elapsed.is_some());
    assert_eq!(
        catch_up_with_frequent_snapshots(InjectedFault::CompactWithoutTail),
        None
    );
}

/// Installs a snapshot at a deposed leader whose uncommitted entries overlap it; returns
/// the violations.
fn conflicting_install(fault: InjectedFault) -> Vec<String> {
    let mut sim = Sim::new(
        4,
        &[0, 0, 0],
        Timing {
            snapshot_entries: 5,
            ..timing(fault)
        },
    );
    sim.max_events = 300_000;
    let deposed_leader = sim.wait_for_leader();
    sim.isolate(deposed_leader);
    for _ in 0..60 {
        let base = sim.highest_version();
        sim.propose_change(deposed_leader, base);
    }
    sim.run_for(3000);
    let next = sim.leader().expect("the others have a leader");
    commit_changes(&mut sim, next, 40);
    sim.blocked_links.clear();
    sim.run_for(3000);
    commit_changes(&mut sim, next, 3);
    sim.heal();
    sim.run_for(6000);
    let mut violations = check_history(&sim);
    violations.extend(check_convergence(&sim));
    violations
}

#[test]
fn an_installed_snapshot_replaces_conflicting_entries() {
    let violations = conflicting_install(InjectedFault::None);
    assert!(violations.is_empty(), "{violations:#?}");
    let run = std::panic::catch_unwind(|| conflicting_install(InjectedFault::KeepConflictingLog));
    println!("with conflicting entries kept: {run:?}");
    assert!(run.map_or(true, |violations| !violations.is_empty()));
}

#[test]
fn log_snapshots_and_memory_stay_bounded_over_5000_changes() {
    let (mut sim, leader) = settled_group(1, &[0, 0, 0], 1600, InjectedFault::None);
    println!("changes; log entries; log bytes; snapshot bytes; saved bytes");
    let mut largest_log_bytes = 0;
    for round in 1..=10 {
        for _ in 0..500 {
            let base = sim.highest_version();
            let op_id = sim.propose_change(leader, base);
            let end = sim.now + 1000;
            sim.run_until(end, |sim| {
                sim.operation(op_id).result != OperationResult::Pending
            });
        }
        let leader_consensus = consensus(&sim, leader);
        let log_bytes = leader_consensus
            .log()
            .bytes_after(leader_consensus.log().base().index);
        println!(
            "{}; {}; {log_bytes}; {}; {}",
            round * 500,
            leader_consensus.log().len(),
            leader_consensus.snapshot_bytes(),
            sim.nodes[leader].disk.saved_bytes
        );
        largest_log_bytes = largest_log_bytes.max(log_bytes);
        // two log generations, each a little larger than a snapshot
        assert!(log_bytes < 2 * (leader_consensus.snapshot_bytes() + 300_000));
        assert!(leader_consensus.log().len() < 512 * 6);
    }
    assert_invariants(&mut sim);
}

/// Changes that each carry a large configuration: the byte bound of the log
/// applies long before its entry bound.
#[test]
fn a_log_of_large_entries_is_bounded_by_bytes() {
    let (mut sim, leader) = settled_group(6, &[0, 0, 0], 1600, InjectedFault::None);
    for tag in 1..30 {
        put_configuration(&mut sim, leader, 1600, tag);
        let leader_consensus = consensus(&sim, leader);
        let log_bytes = leader_consensus
            .log()
            .bytes_after(leader_consensus.log().base().index);
        assert!(
            log_bytes < 2 * (leader_consensus.snapshot_bytes() + 600_000),
            "{log_bytes} bytes of log after {tag}"
        );
    }
    assert_invariants(&mut sim);
}

/// Random faults during large configuration changes; chunks are lost, duplicated and
/// reordered, or sent over a slow link.
fn random_faults_with_large_configurations(
    seed: u64,
    regions: &[RegionId],
    bandwidth: Option<Bandwidth>,
) {
    let mut sim = Sim::new(
        seed,
        regions,
        Timing {
            snapshot_entries: 5,
            ..timing(InjectedFault::None)
        },
    );
    sim.max_events = 2_000_000;
    sim.bandwidth = bandwidth;
    sim.wait_for_leader();
    for tag in 0..4 {
        sim.loss_percent = seed % 7;
        sim.duplicate_percent = seed % 5;
        sim.jitter_ms = 1 + seed % 40;
        let node = sim.rng.below(regions.len() as u64) as usize;
        let base = sim.highest_version();
        let document = configuration(400 + 100 * tag, tag);
        sim.propose_command(
            node,
            base,
            &Command::Put {
                base,
                new_version: None,
                document,
            },
        );
        run_with_faults(&mut sim, 3000);
        let mut violations = check_history(&sim);
        violations.extend(check_convergence(&sim));
        assert!(
            violations.is_empty(),
            "seed {seed}, {regions:?}: {violations:#?}"
        );
    }
    let leader = sim.wait_for_leader();
    commit_changes(&mut sim, leader, 3);
}

#[test]
fn random_faults_with_large_configurations_violate_no_invariant() {
    for (i, regions) in LAYOUTS.iter().enumerate() {
        for seed in 0..8 {
            let seed = seed + 100 * i as u64;
            random_faults_with_large_configurations(seed, regions, None);
            let slow = Bandwidth::megabits_per_second(10);
            random_faults_with_large_configurations(seed, regions, Some(slow));
        }
    }
}
