//! Recovery distinguishes corruption of synced bytes from torn writes.

use super::sim_disk::SimDisk;
use super::workload::{append, open, snapshot};
use sorreldoor::store::{DurableStore, Store, FILES};

/// A disk with a checkpoint and several records after it; also returns the name
/// of its active file.
fn populated_disk(seed: u64) -> (SimDisk, &'static str) {
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

/// Offset at which the last record starts.
fn last_record(disk: &SimDisk, file: &str) -> usize {
    let find = |bytes: &mut Vec<u8>| bytes.windows(8).rposition(|w| w == b"SDstore1");
    disk.with_bytes(file, find).unwrap()
}

fn assert_state_discarded(store: &DurableStore<SimDisk>) {
    assert!(store.must_rejoin());
    assert!(
        store.consensus_state().is_none(),
        "the old consensus state is discarded"
    );
    assert_eq!(
        store.value("identity"),
        None,
        "the old identity is discarded"
    );
}

#[test]
fn any_changed_byte_before_the_last_record_is_corruption() {
    let (disk, file) = populated_disk(1);
    for offset in 0..last_record(&disk, file) {
        let (disk, file) = populated_disk(1);
        disk.with_bytes(file, |bytes| bytes[offset] ^= 1 << (offset % 8));
        let opened = open(&disk).unwrap();
        assert!(opened.damage.is_some(), "byte {offset}");
        assert_state_discarded(&opened.store);
        drop(opened);
        disk.lose_power();
        let opened = open(&disk).unwrap();
        assert_eq!(opened.damage, None, "damage is reported once");
        assert_state_discarded(&opened.store);
    }
}

#[test]
fn a_truncated_or_changed_last_record_is_a_torn_write() {
    let (disk, file) = populated_disk(2);
    let start = last_record(&disk, file);
    let length = disk.with_bytes(file, |bytes| bytes.len());
    for offset in start..length {
        for truncate in [true, false] {
            let (disk, file) = populated_disk(2);
            disk.with_bytes(file, |bytes| match truncate {
                true => bytes.truncate(offset),
                false => bytes[offset] ^= 0x10,
            });
            let opened = open(&disk).unwrap();
            assert_eq!(opened.damage, None, "byte {offset}");
            assert_eq!(opened.torn, offset > start || !truncate, "byte {offset}");
            assert_eq!(opened.store.state().entries.len(), 6, "byte {offset}");
            drop(opened);
            assert!(
                !open(&disk).unwrap().torn,
                "byte {offset}: the torn record was truncated"
            );
        }
    }
}

/// The old state is never recovered, wherever discarding it is interrupted.
#[test]
fn discarding_a_corrupt_state_is_atomic() {
    for point in 0..20 {
        for seed in 0..50 {
            let (disk, file) = populated_disk(seed);
            disk.with_bytes(file, |bytes| bytes[50] ^= 4);
            disk.kill_after(point);
            drop(open(&disk));
            disk.revive();
            disk.lose_power();
            let opened = open(&disk).unwrap();
            assert_state_discarded(&opened.store);
        }
    }
}
