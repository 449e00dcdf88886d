//! Migration of a data directory of the previous release: an image, an okaywal
//! log and small files.

use super::workload::{append, snapshot};
use okaywal::{Configuration, LogManager, WriteAheadLog};
use sorreldoor::consensus::Save;
use sorreldoor::replicated_state::encode;
use sorreldoor::store::{Directory, DurableState, DurableStore, OpenedStore, Store};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

#[derive(Debug)]
struct CheckpointsDisabled;

impl LogManager for CheckpointsDisabled {
    fn recover(&mut self, _: &mut okaywal::Entry<'_>) -> io::Result<()> {
        Ok(())
    }
    fn checkpoint_to(
        &mut self,
        _: okaywal::EntryId,
        _: &mut okaywal::SegmentReader,
        _: &WriteAheadLog,
    ) -> io::Result<()> {
        Err(io::Error::other("checkpoints are disabled"))
    }
}

fn folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("sorreldoor-legacy-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Writes batches in that release's format, numbered from `first` on.
fn write_log(path: &Path, first: u64, saves: &[Save]) {
    let log = Configuration::default_for(path.join("log"))
        .open(CheckpointsDisabled)
        .unwrap();
    for (number, save) in (first..).zip(saves) {
        let mut bytes = b"SDbatch1".to_vec();
        bytes.extend_from_slice(&number.to_le_bytes());
        bytes.extend_from_slice(&encode(&vec![(number, save)]));
        let mut entry = log.begin_entry().unwrap();
        entry.write_chunk(&bytes).unwrap();
        entry.commit().unwrap();
    }
}

/// A folder with an image up to save 4, saves 5 to 8 in the log, and all small files.
fn complete_folder(name: &str) -> PathBuf {
    let path = folder(name);
    let mut state = DurableState::default();
    for index in 1..=3 {
        state.apply_save(index, &append(index, 50));
    }
    state.apply_save(4, &snapshot(2, 500));
    fs::write(path.join("image"), encode(&(4u64, &state))).unwrap();
    let saves: Vec<Save> = (4..=7).map(|index| append(index, 50)).collect();
    write_log(&path, 5, &saves);
    fs::write(path.join("identity"), encode(&77u64)).unwrap();
    fs::write(path.join("sure"), [1]).unwrap();
    path
}

fn open(path: &Path) -> OpenedStore<Directory> {
    DurableStore::open_directory(path).unwrap()
}

fn file_names(path: &Path) -> Vec<String> {
    let mut file_names: Vec<String> = fs::read_dir(path)
        .unwrap()
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    file_names.sort();
    file_names
}

fn log_segment(path: &Path) -> PathBuf {
    let files = fs::read_dir(path.join("log")).unwrap();
    files.map(|file| file.unwrap().path()).max().unwrap()
}

#[test]
fn a_folder_of_the_previous_release_is_migrated_once() {
    let path = complete_folder("whole");
    let opened = open(&path);
    assert_eq!(opened.damage, None);
    let mut store = opened.store;
    assert_eq!(store.state().entries.len(), 5);
    assert_eq!(store.state().seq, 8);
    assert_eq!(store.value("identity"), Some(&encode(&77u64)[..]));
    assert_eq!(store.value("sure"), Some(&[1][..]));
    assert_eq!(file_names(&path), ["state-a", "state-b"]);
    store.save(&[(1, append(8, 50))]).unwrap();
    drop(store);
    assert_eq!(open(&path).store.state().entries.len(), 6);
}

/// Regression: after a power loss, a segment that was created but never synced
/// has no header; okaywal fails to open it, and the core did not start.
#[test]
fn a_segment_without_its_header_is_not_corruption() {
    for length in [0, 1, 4] {
        let path = complete_folder("short");
        fs::write(path.join("log").join("wal-9"), vec![0; length]).unwrap();
        let opened = open(&path);
        assert_eq!(opened.damage, None, "{length} bytes");
        assert_eq!(opened.store.state().entries.len(), 5);
    }
}

#[test]
fn a_torn_last_batch_is_dropped_and_an_earlier_corrupt_one_is_reported() {
    let batch_offset = |bytes: &[u8], number: u64| {
        let pattern = [&b"SDbatch1"[..], &number.to_le_bytes()].concat();
        bytes.windows(pattern.len()).position(|w| w == pattern)
    };
    let corrupt_batch = |path: &Path, number: u64, damage: &dyn Fn(&mut Vec<u8>, usize)| {
        let segment = log_segment(path);
        let mut bytes = fs::read(&segment).unwrap();
        let offset = batch_offset(&bytes, number).unwrap();
        damage(&mut bytes, offset);
        fs::write(&segment, bytes).unwrap();
    };
    let path = complete_folder("torn");
    corrupt_batch(&path, 8, &|bytes, offset| bytes[offset + 40..].fill(0));
    let opened = open(&path);
    assert_eq!(
        (opened.damage, opened.store.state().entries.len()),
        (None, 4)
    );
    // corrupt the checksum of a batch, then its length
    for (name, relative_offset) in [("flipped", 60isize), ("length", -14)] {
        let path = complete_folder(name);
        corrupt_batch(&path, 6, &|bytes, offset| {
            let offset = offset.checked_add_signed(relative_offset).unwrap();
            bytes[offset] ^= 0xff;
        });
        let opened = open(&path);
        assert!(opened.damage.is_some(), "{name}");
        assert!(opened.store.must_rejoin() && opened.store.consensus_state().is_none());
        assert_eq!(file_names(&path), ["state-a", "state-b"]);
    }
}

#[test]
fn an_unreadable_image_is_corruption() {
    let path = complete_folder("image");
    fs::write(path.join("image"), b"not an image").unwrap();
    let opened = open(&path);
    assert!(opened.damage.is_some() && opened.store.must_rejoin());
}

#[test]
fn legacy_files_that_reappear_are_ignored() {
    let path = complete_folder("again");
    drop(open(&path));
    fs::write(path.join("identity"), encode(&1u64)).unwrap();
    let opened = open(&path);
    assert_eq!(opened.store.value("identity"), Some(&encode(&77u64)[..]));
    assert_eq!(file_names(&path), ["state-a", "state-b"]);
}

#[test]
fn saves_to_a_real_directory_are_recovered() {
    let path = folder("real");
    let mut store = open(&path).store;
    for index in 1..=4000 {
        store.save(&[(index, append(index, 600))]).unwrap();
    }
    drop(store);
    let file = OpenOptions::new().write(true).open(path.join("state-a"));
    assert!(file.is_ok());
    let opened = open(&path);
    assert_eq!(opened.store.state().entries.len(), 4000);
    assert!(!opened.torn && opened.damage.is_none());
}
