//! Power loss between any two disk operations.

use super::sim_disk::{Random, SimDisk};
use super::workload::{open, Workload};

const SEEDS: u64 = 3000;
const LIFETIMES: usize = 12;

/// Opens the store after a random number of starts that are interrupted by a kill
/// or a power loss. The disk does not fail, so the last start succeeds.
fn start_after_crashes(
    disk: &SimDisk,
    random: &mut Random,
) -> sorreldoor::store::DurableStore<SimDisk> {
    while random.chance(2) {
        disk.kill_after(random.below(12));
        if let Ok(opened) = open(disk) {
            assert_eq!(
                opened.damage, None,
                "a crash must not be reported as damage"
            );
        }
        disk.revive();
        if random.chance(2) {
            disk.lose_power();
        }
    }
    let opened = open(disk).expect("a start on a healthy disk succeeds");
    assert_eq!(
        opened.damage, None,
        "a crash must not be reported as damage"
    );
    opened.store
}

fn run_lifetimes_with_crashes(seed: u64) {
    let disk = SimDisk::new(seed);
    let mut random = Random::new(seed);
    let mut workload = Workload::new(seed);
    for _ in 0..LIFETIMES {
        let mut store = start_after_crashes(&disk, &mut random);
        workload.restart(store.state());
        disk.kill_after(random.below(80));
        while workload.step(&mut store) {}
        drop(store);
        disk.revive();
        if !random.chance(4) {
            disk.lose_power();
        }
    }
}

#[test]
fn acknowledged_changes_survive_random_crashes() {
    for seed in 0..SEEDS {
        let outcome = std::panic::catch_unwind(|| run_lifetimes_with_crashes(seed));
        assert!(outcome.is_ok(), "seed {seed}");
    }
}

/// A power loss at each operation from the first start on; the seeds vary which
/// unsynced writes and directory entries are lost.
#[test]
fn acknowledged_changes_survive_a_crash_at_every_operation() {
    for point in 0..400 {
        for seed in 0..30 {
            let disk = SimDisk::new(seed * 1000 + point as u64);
            let mut workload = Workload::new(seed);
            disk.kill_after(point);
            if let Ok(opened) = open(&disk) {
                let mut store = opened.store;
                workload.restart(store.state());
                while workload.step(&mut store) {}
            }
            disk.revive();
            disk.lose_power();
            let opened = open(&disk).expect("a start on a healthy disk succeeds");
            assert_eq!(opened.damage, None, "seed {seed}, point {point}");
            workload.restart(opened.store.state());
        }
    }
}
