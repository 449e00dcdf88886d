//! What a change costs: writes, bytes, syncs, and space on the disk.

use super::sim_disk::SimDisk;
use super::work::{append, open, snapshot};
use sorreldoor::store::{Store, FILES};

#[test]
fn a_change_costs_one_write_and_one_sync_of_its_own_size() {
    let disk = SimDisk::new(1);
    let mut store = open(&disk).unwrap().store;
    store.save(&[(1, append(1, 600))]).unwrap();
    store.save(&[(2, snapshot(1, 200_000))]).unwrap();
    let before = {
        let state = disk.state();
        (state.writes, state.bytes, state.syncs)
    };
    for index in 2..=101 {
        store.save(&[(index + 1, append(index, 600))]).unwrap();
    }
    let state = disk.state();
    let bytes = (state.bytes - before.1) / 100;
    println!("a change of 600 bytes writes {bytes} bytes");
    assert_eq!(
        (state.writes - before.0, state.syncs - before.2),
        (100, 100)
    );
    assert!(bytes < 800, "{bytes} bytes a change of 600");
}

/// 20,000 changes with a snapshot of 200 kB after each 512.
#[test]
fn space_and_writes_stay_bounded() {
    const CHANGES: u64 = 20_000;
    let disk = SimDisk::new(1);
    let mut store = open(&disk).unwrap().store;
    let (mut seq, mut most) = (0, 0);
    for index in 1..=CHANGES {
        seq += 1;
        store.save(&[(seq, append(index, 600))]).unwrap();
        if index % 512 == 0 {
            seq += 1;
            store.save(&[(seq, snapshot(index, 200_000))]).unwrap();
        }
        let length = |file: &str| disk.with_bytes(file, |bytes| bytes.len());
        most = most.max(FILES.iter().map(|file| length(file)).sum());
    }
    let state = disk.state();
    let bytes = state.bytes as u64 / CHANGES;
    let syncs = state.syncs as f64 / CHANGES as f64;
    println!("{bytes} bytes and {syncs:.3} syncs a change; {most} bytes on the disk at most");
    assert!(most < 1_300_000, "{most} bytes on the disk");
    assert!(bytes < 1600, "{bytes} bytes a change");
    assert!(syncs < 1.01, "{syncs} syncs a change");
}
