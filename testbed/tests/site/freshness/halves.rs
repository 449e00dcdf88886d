//! The cores are partitioned into two halves, both reachable by edges and operators:
//! no acknowledged change is lost, and no core returns an older configuration as
//! current.

use super::*;

const HALVES_MS: Millis = 9000;

/// Partitions the cores into two random halves whose sizes differ by at most one.
fn cut_into_halves(world: &mut World) {
    let mut cores = world.cores();
    let mut half = Vec::new();
    while half.len() < cores.len() {
        let chosen = world.rng.below(cores.len() as u64) as usize;
        half.push(cores.swap_remove(chosen));
    }
    for here in &half {
        for there in &cores {
            world.partition_pair(*here, *there);
        }
    }
}

fn run_halves(seed: u64, layout_index: u64) -> FreshnessMonitor {
    let (_, preset, more) = layout(layout_index);
    let mut world = site(seed, preset, more);
    let mut monitor = FreshnessMonitor::default();
    monitor.run(&mut world, 1500);
    for _ in 0..2 {
        cut_into_halves(&mut world);
        monitor.run(&mut world, HALVES_MS);
        world.heal();
        monitor.run(&mut world, 4000);
    }
    world.run_for(2000);
    assert_no_violations(&world, seed);
    monitor
}

/// The bounds that runs of a layout exceeded.
fn halves_exceeded(layout_index: u64, days: std::ops::Range<u64>) -> Vec<String> {
    let (name, ..) = layout(layout_index);
    let mut over = Vec::new();
    for seed in seeds(days) {
        let monitor = run_halves(seed, layout_index);
        println!(
            "{name}, {seed}: stale {} ms, acknowledged {} ms, read {} ms",
            monitor.max_staleness_ms, monitor.max_ack_ms, monitor.max_read_ms
        );
        if monitor.max_staleness_ms > APPLY_MS {
            over.push(format!(
                "stale: {name}, {seed}: {}",
                monitor.max_staleness_at
            ));
        }
        if monitor.max_ack_ms > ACK_MS {
            over.push(format!("late: {name}, {seed}: {} ms", monitor.max_ack_ms));
        }
        if monitor.max_read_ms > READ_MS {
            over.push(format!("held: {name}, {seed}: {} ms", monitor.max_read_ms));
        }
        let violations = monitor.violations.into_iter();
        over.extend(violations.map(|old| format!("old: {name}, {seed}: {old}")));
    }
    over
}

#[test]
fn no_half_shows_an_older_configuration() {
    let over: Vec<String> = (0..6)
        .flat_map(|layout| halves_exceeded(layout, 9300..9304))
        .collect();
    assert!(over.is_empty(), "{over:#?}");
}

#[test]
fn reads_without_proof_in_a_half_are_detected() {
    disable_only(Some(Invariant::QuorumConfirmedRead));
    let over = halves_exceeded(5, 9300..9304);
    disable_only(None);
    assert!(over.iter().any(|line| line.starts_with("old")), "{over:#?}");
}
