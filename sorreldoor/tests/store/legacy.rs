//! A folder of the release before: an image, a log of okaywal, small files.

use super::work::{append, snapshot};
use okaywal::{Configuration, LogManager, WriteAheadLog};
use sorreldoor::consensus::Save;
use sorreldoor::replicated_state::encode;
use sorreldoor::store::{Directory, DurableState, DurableStore, OpenedStore, Store};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

#[derive(Debug)]
struct Keep;

impl LogManager for Keep {
    fn recover(&mut self, _: &mut okaywal::Entry<'_>) -> io::Result<()> {
        Ok(())
    }
    fn checkpoint_to(
        &mut self,
        _: okaywal::EntryId,
        _: &mut okaywal::SegmentReader,
        _: &WriteAheadLog,
    ) -> io::Result<()> {
        Err(io::Error::other("kept"))
    }
}

fn folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("sorreldoor-legacy-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Batches as that release wrote them, numbered from `first` on.
fn write_log(path: &Path, first: u64, saves: &[Save]) {
    let log = Configuration::default_for(path.join("log"))
        .open(Keep)
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

/// An image up to save 4, saves 5 to 8 behind it, and all small files.
fn whole(name: &str) -> PathBuf {
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

fn names(path: &Path) -> Vec<String> {
    let mut names: Vec<String> = fs::read_dir(path)
        .unwrap()
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

fn log_segment(path: &Path) -> PathBuf {
    let files = fs::read_dir(path.join("log")).unwrap();
    files.map(|file| file.unwrap().path()).max().unwrap()
}

#[test]
fn a_folder_of_the_release_before_is_taken_over_once() {
    let path = whole("whole");
    let opened = open(&path);
    assert_eq!(opened.damage, None);
    let mut store = opened.store;
    assert_eq!(store.state().entries.len(), 5);
    assert_eq!(store.state().seq, 8);
    assert_eq!(store.value("identity"), Some(&encode(&77u64)[..]));
    assert_eq!(store.value("sure"), Some(&[1][..]));
    assert_eq!(names(&path), ["state-a", "state-b"]);
    store.save(&[(1, append(8, 50))]).unwrap();
    drop(store);
    assert_eq!(open(&path).store.state().entries.len(), 6);
}

/// What kept cores from starting for good: a segment that was made but never
/// synced, short or without its first bytes after a loss of power.
#[test]
fn a_segment_without_its_header_is_no_damage() {
    for length in [0, 1, 4] {
        let path = whole("short");
        fs::write(path.join("log").join("wal-9"), vec![0; length]).unwrap();
        let opened = open(&path);
        assert_eq!(opened.damage, None, "{length} bytes");
        assert_eq!(opened.store.state().entries.len(), 5);
    }
}

#[test]
fn a_torn_last_batch_is_dropped_and_a_damaged_one_before_it_is_told() {
    let batch = |bytes: &[u8], number: u64| {
        let pattern = [&b"SDbatch1"[..], &number.to_le_bytes()].concat();
        bytes.windows(pattern.len()).position(|w| w == pattern)
    };
    let change = |path: &Path, number: u64, act: &dyn Fn(&mut Vec<u8>, usize)| {
        let segment = log_segment(path);
        let mut bytes = fs::read(&segment).unwrap();
        let at = batch(&bytes, number).unwrap();
        act(&mut bytes, at);
        fs::write(&segment, bytes).unwrap();
    };
    let path = whole("torn");
    change(&path, 8, &|bytes, at| bytes[at + 40..].fill(0));
    let opened = open(&path);
    assert_eq!(
        (opened.damage, opened.store.state().entries.len()),
        (None, 4)
    );
    // the checksum of a batch, and the length of one
    for (name, offset) in [("flipped", 60isize), ("length", -14)] {
        let path = whole(name);
        change(&path, 6, &|bytes, at| {
            let at = at.checked_add_signed(offset).unwrap();
            bytes[at] ^= 0xff;
        });
        let opened = open(&path);
        assert!(opened.damage.is_some(), "{name}");
        assert!(opened.store.must_rejoin() && opened.store.consensus_state().is_none());
        assert_eq!(names(&path), ["state-a", "state-b"]);
    }
}

#[test]
fn an_image_that_cannot_be_read_is_damage() {
    let path = whole("image");
    fs::write(path.join("image"), b"not an image").unwrap();
    let opened = open(&path);
    assert!(opened.damage.is_some() && opened.store.must_rejoin());
}

#[test]
fn files_of_the_release_before_that_come_back_are_not_read_again() {
    let path = whole("again");
    drop(open(&path));
    fs::write(path.join("identity"), encode(&1u64)).unwrap();
    let opened = open(&path);
    assert_eq!(opened.store.value("identity"), Some(&encode(&77u64)[..]));
    assert_eq!(names(&path), ["state-a", "state-b"]);
}

#[test]
fn saves_on_a_real_folder_are_there_again() {
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
