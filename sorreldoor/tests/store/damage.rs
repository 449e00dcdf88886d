//! Synced bytes that change are told from writes that were never finished.

use super::sim_disk::SimDisk;
use super::work::{append, open, snapshot};
use sorreldoor::store::{DurableStore, Store, FILES};

/// A store with a checkpoint and some records behind it; its active file.
fn filled(seed: u64) -> (SimDisk, &'static str) {
    let disk = SimDisk::new(seed);
    let mut store = open(&disk).unwrap().store;
    store.put("identity", &[7]).unwrap();
    for index in 1..=5 {
        store.save(&[(index, append(index, 60))]).unwrap();
    }
    store.save(&[(6, snapshot(2, 300))]).unwrap();
    for index in 6..=9 {
        store.save(&[(index + 1, append(index, 60))]).unwrap();
    }
    drop(store);
    disk.lose_power();
    let length = |file| disk.with_bytes(file, |bytes| bytes.len());
    let file = FILES.into_iter().max_by_key(|file| length(file)).unwrap();
    (disk, file)
}

/// Where the last record starts.
fn last_record(disk: &SimDisk, file: &str) -> usize {
    let find = |bytes: &mut Vec<u8>| bytes.windows(8).rposition(|w| w == b"SDstore1");
    disk.with_bytes(file, find).unwrap()
}

fn assert_given_up(store: &DurableStore<SimDisk>) {
    assert!(store.must_rejoin());
    assert!(
        store.consensus_state().is_none(),
        "nothing is left of the old state"
    );
    assert_eq!(store.value("identity"), None, "the old name is gone");
}

#[test]
fn any_changed_byte_before_the_last_record_is_damage() {
    let (disk, file) = filled(1);
    for at in 0..last_record(&disk, file) {
        let (disk, file) = filled(1);
        disk.with_bytes(file, |bytes| bytes[at] ^= 1 << (at % 8));
        let opened = open(&disk).unwrap();
        assert!(opened.damage.is_some(), "byte {at}");
        assert_given_up(&opened.store);
        drop(opened);
        disk.lose_power();
        let opened = open(&disk).unwrap();
        assert_eq!(opened.damage, None, "it is said once");
        assert_given_up(&opened.store);
    }
}

#[test]
fn a_cut_or_changed_last_record_is_an_unfinished_one() {
    let (disk, file) = filled(2);
    let start = last_record(&disk, file);
    let length = disk.with_bytes(file, |bytes| bytes.len());
    for at in start..length {
        for cut in [true, false] {
            let (disk, file) = filled(2);
            disk.with_bytes(file, |bytes| match cut {
                true => bytes.truncate(at),
                false => bytes[at] ^= 0x10,
            });
            let opened = open(&disk).unwrap();
            assert_eq!(opened.damage, None, "byte {at}");
            assert_eq!(opened.torn, at > start || !cut, "byte {at}");
            assert_eq!(opened.store.state().entries.len(), 6, "byte {at}");
            drop(opened);
            assert!(!open(&disk).unwrap().torn, "byte {at}: it is cut");
        }
    }
}

/// The old state never comes back, wherever giving it up is cut short.
#[test]
fn giving_up_a_damaged_state_is_one_step() {
    for point in 0..20 {
        for seed in 0..50 {
            let (disk, file) = filled(seed);
            disk.with_bytes(file, |bytes| bytes[50] ^= 4);
            disk.die_after(point);
            drop(open(&disk));
            disk.revive();
            disk.lose_power();
            let opened = open(&disk).unwrap();
            assert_given_up(&opened.store);
        }
    }
}
