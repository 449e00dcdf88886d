//! The store proper: okaywal for the saves, one image file for the rest.

use super::{DurableState, Store, StoreProblem};
use crate::consensus::Save;
use crate::record::{decode, encode};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// Starts every batch, so that one can be found behind damage.
const MAGIC: &[u8; 8] = b"SDbatch1";

/// What was found while reading the log back.
#[derive(Debug, Default)]
struct Found {
    durable_state: DurableState,
    /// Number of the last good batch.
    batch: u64,
    torn: bool,
    wrong: Option<String>,
}

#[derive(Debug)]
struct Manager {
    dir: PathBuf,
    state: Arc<Mutex<Found>>,
}

impl LogManager for Manager {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        let chunks = entry.read_all_chunks();
        let mut f = lock(&self.state);
        let got = chunks
            .ok()
            .flatten()
            .and_then(|c| c.first().and_then(|b| batch_of(b)));
        let Some((no, saves)) = got else {
            // whether this is a torn end or a hole shows in what follows
            f.torn = true;
            return Ok(());
        };
        if no <= f.batch {
            return Ok(());
        }
        if no != f.batch + 1 {
            let what = format!("batch {no} follows batch {}", f.batch);
            f.wrong.get_or_insert(what);
        }
        f.batch = no;
        for (seq, save) in saves {
            f.durable_state.take(seq, &save);
        }
        Ok(())
    }

    fn checkpoint_to(
        &mut self,
        _last: EntryId,
        _entries: &mut SegmentReader,
        _wal: &WriteAheadLog,
    ) -> io::Result<()> {
        // the durable_state holds all that the segment holds, and is saved whole
        let image = {
            let f = lock(&self.state);
            encode(&(f.batch, &f.durable_state))
        };
        keep_file(&self.dir, "image", &image)
    }
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|p| p.into_inner())
}

fn batch_of(b: &[u8]) -> Option<(u64, Vec<(u64, Save)>)> {
    let body = b.strip_prefix(MAGIC)?;
    let no = u64::from_le_bytes(body.get(..8)?.try_into().ok()?);
    decode(&body[8..]).map(|saves| (no, saves))
}

/// Write a small file so that it is either the old or the new one, and synced.
pub fn keep_file(dir: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let tmp = dir.join(format!("{name}.tmp"));
    let mut f = File::create(&tmp)?;
    f.write_all(bytes)?;
    f.sync_all()?;
    fs::rename(&tmp, dir.join(name))?;
    File::open(dir)?.sync_all()
}

pub fn read_file(dir: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match fs::read(dir.join(name)) {
        Ok(b) => Ok(Some(b)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

pub struct WalStore {
    wal: WriteAheadLog,
    state: Arc<Mutex<Found>>,
    first_seq: u64,
}

/// A store, what it held, and whether a torn end was cut.
pub struct Opened {
    pub store: WalStore,
    pub durable_state: DurableState,
    pub torn: bool,
}

impl WalStore {
    pub fn open(dir: &Path) -> Result<Opened, StoreProblem> {
        let path = dir.display().to_string();
        let unusable = |source| StoreProblem::Unusable {
            path: path.clone(),
            source,
        };
        let logs = dir.join("log");
        fs::create_dir_all(&logs).map_err(unusable)?;
        let image = read_file(dir, "image").map_err(unusable)?;
        let (batch, durable_state) = match image {
            None => (0, DurableState::default()),
            Some(b) => decode::<(u64, DurableState)>(&b)
                .ok_or(StoreProblem::Image { path: path.clone() })?,
        };
        let highest = highest_batch(&logs).map_err(unusable)?;
        let state = Arc::new(Mutex::new(Found {
            durable_state,
            batch,
            ..Found::default()
        }));
        let manager = Manager {
            dir: dir.to_path_buf(),
            state: state.clone(),
        };
        let wal = Configuration::default_for(&logs)
            .open(manager)
            .map_err(unusable)?;
        let (durable_state, torn) = {
            let f = lock(&state);
            let hole = (highest > f.batch + 1).then(|| {
                format!(
                    "batch {highest} is there but {} cannot be read",
                    f.batch + 1
                )
            });
            if let Some(what) = f.wrong.clone().or(hole) {
                return Err(StoreProblem::Corrupt { path, what });
            }
            (f.durable_state.clone(), f.torn || highest > f.batch)
        };
        let first_seq = durable_state.seq;
        Ok(Opened {
            store: WalStore {
                wal,
                state,
                first_seq,
            },
            durable_state,
            torn,
        })
    }
}

/// The highest batch number that stands anywhere in the logs in use.
fn highest_batch(logs: &Path) -> io::Result<u64> {
    let mut high = 0;
    for f in fs::read_dir(logs)? {
        let p = f?.path();
        if p.extension().is_some() || p.to_string_lossy().ends_with("-cp") {
            continue;
        }
        let b = fs::read(&p)?;
        let mut at = 0;
        while let Some(i) = find(&b[at..], MAGIC) {
            at += i + MAGIC.len();
            if let Some(n) = b.get(at..at + 8) {
                let n = u64::from_le_bytes(n.try_into().unwrap_or_default());
                high = high.max(n);
            }
        }
    }
    Ok(high)
}

fn find(hay: &[u8], pin: &[u8]) -> Option<usize> {
    hay.windows(pin.len()).position(|w| w == pin)
}

impl Store for WalStore {
    fn save(&mut self, batch: &[(u64, Save)]) -> io::Result<()> {
        let saves: Vec<(u64, &Save)> = batch.iter().map(|(s, v)| (s + self.first_seq, v)).collect();
        let no = {
            let mut f = lock(&self.state);
            f.batch += 1;
            // a segment may be folded into the image as soon as this
            // batch is in it, so the durable_state must not lag behind the log
            for (s, v) in &saves {
                f.durable_state.take(*s, v);
            }
            f.batch
        };
        let mut b = MAGIC.to_vec();
        b.extend_from_slice(&no.to_le_bytes());
        b.extend_from_slice(&encode(&saves));
        let mut w = self.wal.begin_entry()?;
        w.write_chunk(&b)?;
        w.commit().map(|_| ())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::consensus::{Body, Entry as E, Hard};
    use assert_matches::assert_matches;

    fn dir(name: &str) -> PathBuf {
        let d = std::env::temp_dir().join(format!("sorreldoor-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&d);
        d
    }

    fn some(seq: u64) -> (u64, Save) {
        let e = E {
            term: 1,
            pid: u128::from(seq),
            origin: 1,
            body: Body::Data(Arc::new(vec![seq as u8; 600])),
        };
        let entries = vec![e];
        let (from, commit) = (seq, 0);
        let save = Save::Append {
            from,
            entries,
            commit,
        };
        (seq, save)
    }

    fn write(d: &Path, n: u64) {
        let mut s = WalStore::open(d).unwrap().store;
        for i in 1..=n {
            s.save(&[some(i)]).unwrap();
        }
    }

    fn log_file(d: &Path) -> PathBuf {
        let mut v: Vec<PathBuf> = fs::read_dir(d.join("log"))
            .unwrap()
            .map(|f| f.unwrap().path())
            .collect();
        v.sort();
        v.pop().unwrap()
    }

    /// Where batch `no` starts in the log's bytes.
    fn place(b: &[u8], no: u64) -> usize {
        let pin = [&MAGIC[..], &no.to_le_bytes()[..]].concat();
        find(b, &pin).unwrap()
    }

    #[test]
    fn what_is_saved_is_there_again() {
        let d = dir("again");
        write(&d, 20);
        let o = WalStore::open(&d).unwrap();
        assert_eq!(o.durable_state.entries.len(), 20);
        assert!(!o.torn);
    }

    #[test]
    fn segments_fold_into_the_image_and_nothing_is_lost() {
        let d = dir("fold");
        {
            let mut s = WalStore::open(&d).unwrap().store;
            for i in 1..=4000 {
                s.save(&[some(i)]).unwrap();
            }
            let h = Hard {
                term: 9,
                ..Hard::default()
            };
            s.save(&[(4001, Save::Hard(h))]).unwrap();
        }
        let o = WalStore::open(&d).unwrap();
        assert_eq!(o.durable_state.entries.len(), 4000);
        assert_eq!(o.durable_state.hard.term, 9);
        assert!(d.join("image").exists());
    }

    #[test]
    fn a_torn_end_is_cut() {
        let d = dir("torn");
        write(&d, 5);
        let p = log_file(&d);
        let mut b = fs::read(&p).unwrap();
        let at = place(&b, 5);
        b[at + 100..].fill(0);
        fs::write(&p, b).unwrap();
        let o = WalStore::open(&d).unwrap();
        assert_eq!(o.durable_state.entries.len(), 4);
        assert!(o.torn);
    }

    #[test]
    fn a_corrupt_middle_refuses_to_start() {
        let d = dir("corrupt");
        write(&d, 6);
        let p = log_file(&d);
        let mut b = fs::read(&p).unwrap();
        let at = place(&b, 3);
        b[at + 100] ^= 0xff;
        fs::write(&p, b).unwrap();
        assert_matches!(WalStore::open(&d).err(), Some(StoreProblem::Corrupt { .. }));
    }

    #[test]
    fn a_lost_length_in_the_middle_refuses_to_start() {
        let d = dir("length");
        write(&d, 6);
        let p = log_file(&d);
        let mut b = fs::read(&p).unwrap();
        let at = place(&b, 3);
        b[at - 14] = 0;
        fs::write(&p, b).unwrap();
        assert_matches!(WalStore::open(&d).err(), Some(StoreProblem::Corrupt { .. }));
    }
}
