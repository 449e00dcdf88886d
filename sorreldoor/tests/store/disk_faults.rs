//! Disks that are full or fail temporarily, with crashes in between.

use super::sim_disk::{Random, SimDisk};
use super::workload::{append, open, snapshot, Workload};
use sorreldoor::store::{Store, FILES};

#[test]
fn acknowledged_changes_survive_disk_errors() {
    for seed in 0..2000 {
        let disk = SimDisk::new(seed);
        let mut random = Random::new(seed);
        let mut workload = Workload::new(seed);
        for _ in 0..8 {
            disk.state().fails_one_in = 0;
            let opened = open(&disk).expect("a start on a healthy disk succeeds");
            assert_eq!(opened.damage, None, "seed {seed}");
            let mut store = opened.store;
            workload.restart(store.state());
            for _ in 0..random.below(60) {
                disk.state().fails_one_in = [0, 3, 6][random.below(3)];
                workload.step(&mut store);
            }
            drop(store);
            // starts on a failing disk, each interrupted by an error or a crash
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
fn a_save_rejected_by_a_full_disk_succeeds_after_space_is_freed() {
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
        let error = open(&disk).err().expect("a full disk");
        assert_eq!(error.kind(), std::io::ErrorKind::StorageFull);
        disk.lose_power();
    }
    assert!(before == bytes(&disk));
    disk.state().full = false;
    assert_eq!(open(&disk).unwrap().store.state().entries.len(), 9);
}

/// A checkpoint fails to sync, and so does its truncation: after a power loss it
/// may be complete on the disk, and recovery must ignore it.
#[test]
fn a_failed_checkpoint_is_not_recovered_after_a_power_loss() {
    for seed in 0..500 {
        let disk = SimDisk::new(seed);
        let mut store = open(&disk).unwrap().store;
        store.save(&[(1, append(1, 100))]).unwrap();
        disk.state().syncs_fail = true;
        assert!(store.save(&[(2, snapshot(1, 100))]).is_err());
        drop(store);
        disk.state().syncs_fail = false;
        let mut store = open(&disk).unwrap().store;
        store.put("promise", &[5]).unwrap();
        drop(store);
        disk.lose_power();
        let store = open(&disk).unwrap().store;
        assert_eq!(store.value("promise"), Some(&[5][..]), "seed {seed}");
    }
}

/// Bytes of a failed write are truncated; otherwise the next start would report a
/// torn write.
#[test]
fn a_failed_append_leaves_no_bytes_after_a_shorter_record() {
    for seed in 0..50 {
        let disk = SimDisk::new(seed);
        let mut store = open(&disk).unwrap().store;
        disk.state().fails_one_in = 1;
        assert!(store.save(&[(1, append(1, 900))]).is_err());
        disk.state().fails_one_in = 0;
        store.put("sure", &[1]).unwrap();
        drop(store);
        assert!(!open(&disk).unwrap().torn, "seed {seed}");
    }
}
