//! Disks that are full or fail for a while, with crashes meanwhile.

use super::sim_disk::{Random, SimDisk};
use super::work::{append, open, Work};
use sorreldoor::store::{Store, FILES};

#[test]
fn a_failing_disk_loses_nothing_that_was_acknowledged() {
    for seed in 0..2000 {
        let disk = SimDisk::new(seed);
        let mut random = Random::new(seed);
        let mut work = Work::new(seed);
        for _ in 0..8 {
            disk.state().fails_one_in = 0;
            let opened = open(&disk).expect("a healed disk lets the store start");
            assert_eq!(opened.damage, None, "seed {seed}");
            let mut store = opened.store;
            work.restart(store.state());
            for _ in 0..random.below(60) {
                disk.state().fails_one_in = [0, 3, 6][random.below(3)];
                work.step(&mut store);
            }
            drop(store);
            // starts on a failing disk, each cut short by an error or a crash
            for _ in 0..random.below(4) {
                disk.state().fails_one_in = 2;
                if let Ok(opened) = open(&disk) {
                    assert_eq!(opened.damage, None, "seed {seed}");
                }
            }
            if random.chance(2) {
                disk.lose_power();
            }
        }
    }
}

#[test]
fn a_save_that_a_full_disk_refused_succeeds_once_there_is_room() {
    let disk = SimDisk::new(1);
    let mut store = open(&disk).unwrap().store;
    store.save(&[(1, append(1, 100))]).unwrap();
    disk.state().full = true;
    for _ in 0..5 {
        assert!(store.save(&[(2, append(2, 100))]).is_err());
    }
    disk.state().full = false;
    store.save(&[(2, append(2, 100))]).unwrap();
    store.save(&[(3, append(3, 100))]).unwrap();
    disk.lose_power();
    assert_eq!(open(&disk).unwrap().store.state().entries.len(), 3);
}

#[test]
fn a_start_on_a_full_disk_changes_nothing() {
    let disk = SimDisk::new(2);
    let mut store = open(&disk).unwrap().store;
    for index in 1..=9 {
        store.save(&[(index, append(index, 100))]).unwrap();
    }
    drop(store);
    disk.lose_power();
    let bytes = |disk: &SimDisk| FILES.map(|file| disk.with_bytes(file, |b| b.clone()));
    let before = bytes(&disk);
    disk.state().full = true;
    for _ in 0..3 {
        let refused = open(&disk).err().expect("a full disk");
        assert_eq!(refused.kind(), std::io::ErrorKind::StorageFull);
        disk.lose_power();
    }
    assert!(before == bytes(&disk));
    disk.state().full = false;
    assert_eq!(open(&disk).unwrap().store.state().entries.len(), 9);
}
