//! The core's store as the daemon uses it: opened however long the disk
//! refuses, written by a thread of its own, and tried again after an error.

use super::events::ControllerEvent;
use crate::consensus::Save;
use crate::log_events::{log_event, LogEvent};
use crate::net::Ring;
use crate::replicated_state::{decode, encode};
use crate::store::{DurableStore, Folder, Opened, Store};
use async_std::channel::{bounded, Receiver, Sender};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Saves that may wait for the store.
const MOST_WAITING: usize = 4096;
/// Saves that share a sync.
const MOST_BATCHED: usize = 256;
/// A call of the store that takes longer is logged.
const SLOW: Duration = Duration::from_millis(200);
/// Pause before the disk is tried again.
const RETRY: Duration = Duration::from_millis(100);

/// Opens the store; waits while the disk is full or fails.
///
/// # Errors
/// What waiting cannot mend: the folder is not ours to use.
pub(super) fn open(folder: &Path) -> Result<DurableStore<Folder>, String> {
    let mut refused = false;
    let opened = loop {
        match DurableStore::open_folder(folder) {
            Ok(opened) => break opened,
            Err(e) if !may_pass(&e) => {
                return Err(format!("data: cannot use {}: {e}", folder.display()));
            }
            Err(e) if !refused => log_event(LogEvent::DiskFailed, e),
            Err(_) => {}
        }
        refused = true;
        thread::sleep(RETRY);
    };
    if refused {
        log_event(LogEvent::DiskRecovered, folder.display());
    }
    let Opened {
        store,
        torn,
        damage,
    } = opened;
    if torn {
        log_event(LogEvent::DiskTorn, folder.display());
    }
    if let Some(what) = damage {
        log_event(
            LogEvent::DiskCorrupt,
            format!("{}: {what}", folder.display()),
        );
    }
    Ok(store)
}

fn may_pass(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    !matches!(
        error.kind(),
        PermissionDenied
            | NotFound
            | NotADirectory
            | AlreadyExists
            | InvalidData
            | ReadOnlyFilesystem
    )
}

/// The core's identity: random, made once, synced before it is used.
pub(super) fn identity(store: &mut DurableStore<Folder>) -> u64 {
    if let Some(id) = store.value("identity").and_then(decode::<u64>) {
        return id;
    }
    let id = crate::order_id::random_id() >> 1;
    put_until_kept(|| store.put("identity", &encode(&id)));
    log_event(LogEvent::Identity, format!("{id:x}"));
    id
}

fn put_until_kept(mut put: impl FnMut() -> io::Result<()>) {
    let mut refused = false;
    while let Err(e) = put() {
        if !refused {
            log_event(LogEvent::DiskFailed, e);
        }
        refused = true;
        thread::sleep(RETRY);
    }
    if refused {
        log_event(LogEvent::DiskRecovered, "");
    }
}

/// Hands changes to the store.
pub(super) struct Saver<S> {
    store: Arc<Mutex<S>>,
    saves: Sender<(u64, Save)>,
}

impl<S: Store + 'static> Saver<S> {
    /// Starts the thread that saves; it tells `ring` how each save ended.
    pub(super) fn start(store: S, ring: Ring<ControllerEvent>) -> Saver<S> {
        let store = Arc::new(Mutex::new(store));
        let (saves, waiting) = bounded(MOST_WAITING);
        let shared = store.clone();
        thread::spawn(move || while save_next(&shared, &waiting, &ring).is_some() {});
        Saver { store, saves }
    }

    /// Queues a save. Where the disk has been stuck for so long that the queue
    /// is full, the process ends: a save that was dropped must never look
    /// like a kept one, and what was queued comes again from the others.
    pub(super) fn save(&self, seq: u64, save: Save) {
        if self.saves.try_send((seq, save)).is_err() {
            log_event(
                LogEvent::DiskFailed,
                "too many saves wait for the disk; ending",
            );
            std::process::exit(1);
        }
    }

    /// Keeps a small value; returns once it is synced, however long that takes.
    pub(super) fn put(&self, name: &str, value: &[u8]) {
        put_until_kept(|| locked(&self.store).put(name, value));
    }
}

fn locked<S>(store: &Mutex<S>) -> MutexGuard<'_, S> {
    store
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Saves what waits, with one sync for all of it; none once nobody listens.
fn save_next<S: Store>(
    store: &Mutex<S>,
    waiting: &Receiver<(u64, Save)>,
    ring: &Ring<ControllerEvent>,
) -> Option<()> {
    let mut batch = vec![waiting.recv_blocking().ok()?];
    while batch.len() < MOST_BATCHED {
        let Ok(more) = waiting.try_recv() else { break };
        batch.push(more);
    }
    let mut refused = false;
    let mut began = Instant::now();
    while let Err(e) = save_once(store, &batch) {
        if !refused {
            ring.send_blocking(ControllerEvent::SaveFailed(e.to_string()))
                .ok()?;
        }
        refused = true;
        thread::sleep(RETRY);
        began = Instant::now();
    }
    let took = began.elapsed();
    if took > SLOW {
        log_event(LogEvent::DiskSlow, format!("{} ms", took.as_millis()));
    }
    let last = batch.last().map_or(0, |(seq, _)| *seq);
    ring.send_blocking(ControllerEvent::Saved(last)).ok()?;
    if refused {
        ring.send_blocking(ControllerEvent::SaveRecovered).ok()?;
    }
    Some(())
}

/// The lock is not held between two tries, nor while the ring is full.
fn save_once<S: Store>(store: &Mutex<S>, batch: &[(u64, Save)]) -> io::Result<()> {
    locked(store).save(batch)
}
