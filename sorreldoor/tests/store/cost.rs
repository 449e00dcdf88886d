//! Cost of a save: writes, bytes, syncs, and disk space.

use super::sim_disk::SimDisk;
use super::workload::{append, open, snapshot};
use sorreldoor::store::{Store, FILES};

#[test]
fn a_save_costs_one_write_of_its_size_and_one_sync() {
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
    println!("a change of 600 bytes takes {bytes} bytes on the disk");
    assert_eq!(
        (state.writes - before.0, state.syncs - before.2),
        (100, 100)
    );
    assert!(bytes < 800, "{bytes} bytes written for a change of 600");
}

/// 20,000 saves with a snapshot of 200 kB after every 512.
#[test]
fn disk_space_and_written_bytes_stay_bounded() {
    const CHANGES: u64 = 20_000;
    let disk = SimDisk::new(1);
    let mut store = open(&disk).unwrap().store;
    let (mut seq, mut peak_bytes) = (0, 0);
    for index in 1..=CHANGES {
        seq += 1;
        store.save(&[(seq, append(index, 600))]).unwrap();
        if index % 512 == 0 {
            seq += 1;
            store.save(&[(seq, snapshot(index, 200_000))]).unwrap();
        }
        let length = |file: &str| disk.with_bytes(file, |bytes| bytes.len());
        peak_bytes = peak_bytes.max(FILES.iter().map(|file| length(file)).sum());
    }
    let state = disk.state();
    let bytes = state.bytes as u64 / CHANGES;
    let syncs = state.syncs as f64 / CHANGES as f64;
    println!(
        "{bytes} bytes and {syncs:.3} syncs per change; at most {peak_bytes} bytes on the disk"
    );
    assert!(peak_bytes < 1_300_000, "{peak_bytes} bytes on the disk");
    assert!(bytes < 1600, "{bytes} bytes per change");
    assert!(syncs < 1.01, "{syncs} syncs per change");
}
