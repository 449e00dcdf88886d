//! Loss of power between any two operations of the disk.

use super::sim_disk::{Random, SimDisk};
use super::work::{open, Work};

const SEEDS: u64 = 3000;
const LIVES: usize = 12;

/// Opens the store although starts are cut short, by a kill or a loss of
/// power; the disk itself is sound, so a start that is left alone succeeds.
fn start_after_crashes(
    disk: &SimDisk,
    random: &mut Random,
) -> sorreldoor::store::DurableStore<SimDisk> {
    while random.chance(2) {
        disk.die_after(random.below(12));
        if let Ok(opened) = open(disk) {
            assert_eq!(opened.damage, None, "a crash is taken for damage");
        }
        disk.revive();
        if random.chance(2) {
            disk.lose_power();
        }
    }
    let opened = open(disk).expect("a start on a sound disk succeeds");
    assert_eq!(opened.damage, None, "a crash is taken for damage");
    opened.store
}

fn lives(seed: u64) {
    let disk = SimDisk::new(seed);
    let mut random = Random::new(seed);
    let mut work = Work::new(seed);
    for _ in 0..LIVES {
        let mut store = start_after_crashes(&disk, &mut random);
        work.restart(store.state());
        disk.die_after(random.below(80));
        while work.step(&mut store) {}
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
        let ended = std::panic::catch_unwind(|| lives(seed));
        assert!(ended.is_ok(), "seed {seed}");
    }
}

/// Every point between two operations, from the first start on, each with
/// several ways in which unsynced writes and names are lost.
#[test]
fn acknowledged_changes_survive_a_crash_at_every_operation() {
    for point in 0..400 {
        for seed in 0..30 {
            let disk = SimDisk::new(seed * 1000 + point as u64);
            let mut work = Work::new(seed);
            disk.die_after(point);
            if let Ok(opened) = open(&disk) {
                let mut store = opened.store;
                work.restart(store.state());
                while work.step(&mut store) {}
            }
            disk.revive();
            disk.lose_power();
            let opened = open(&disk).expect("a start on a sound disk succeeds");
            assert_eq!(opened.damage, None, "seed {seed}, point {point}");
            work.restart(opened.store.state());
        }
    }
}
