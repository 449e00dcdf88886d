//! Storage: the store is opened with retries, written by a thread of its own,
//! and retried after an error.

use super::events::ControllerEvent;
use crate::consensus::Save;
use crate::log_events::{log_event, LogEvent};
use crate::replicated_state::{decode, encode};
use crate::runtime::EventSender;
use crate::start_error::{OpenStoreSnafu, StartError};
use crate::store::{Directory, DurableStore, OpenedStore, Store};
use async_std::channel::{bounded, Receiver, Sender};
use snafu::ResultExt;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Saves that may wait for the disk.
const MAX_QUEUED: usize = 4096;
/// Saves that share one sync.
const MAX_BATCH: usize = 256;
/// A save that takes longer is logged.
const SLOW_SAVE: Duration = Duration::from_millis(200);
/// Delay before a failed disk operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Opens the store; retries while the disk is full or fails.
///
/// # Errors
/// Where a retry cannot help: the folder is missing or not accessible.
pub(super) fn open(folder: &Path) -> Result<DurableStore<Directory>, StartError> {
    let mut failed_before = false;
    let opened = loop {
        match DurableStore::open_directory(folder) {
            Ok(opened) => break opened,
            Err(source) if !is_transient(&source) => {
                return Err(source).context(OpenStoreSnafu { folder });
            }
            Err(error) if !failed_before => log_event(LogEvent::DiskFailed, error),
            Err(_) => {}
        }
        failed_before = true;
        thread::sleep(RETRY_DELAY);
    };
    if failed_before {
        log_event(LogEvent::DiskRecovered, folder.display());
    }
    let OpenedStore {
        store,
        torn,
        damage,
    } = opened;
    if torn {
        log_event(LogEvent::TornWrite, folder.display());
    }
    if let Some(what) = damage {
        log_event(
            LogEvent::DiskCorrupt,
            format!("{}: {what}", folder.display()),
        );
    }
    Ok(store)
}

fn is_transient(error: &io::Error) -> bool {
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

/// The core's identity: random, drawn once, synced before it is used.
pub(super) fn identity(store: &mut DurableStore<Directory>) -> u64 {
    if let Some(id) = store.value("identity").and_then(decode::<u64>) {
        return id;
    }
    let id = crate::ids::random_id() >> 1;
    retry_until_synced(|| store.put("identity", &encode(&id)));
    log_event(LogEvent::IdentityCreated, format!("{id:x}"));
    id
}

fn retry_until_synced(mut put: impl FnMut() -> io::Result<()>) {
    let mut failed_before = false;
    while let Err(error) = put() {
        if !failed_before {
            log_event(LogEvent::DiskFailed, error);
        }
        failed_before = true;
        thread::sleep(RETRY_DELAY);
    }
    if failed_before {
        log_event(LogEvent::DiskRecovered, "");
    }
}

/// Queues saves for the thread that writes the store.
pub(super) struct StorageDriver<S> {
    store: Arc<Mutex<S>>,
    saves: Sender<(u64, Save)>,
}

impl<S: Store + 'static> StorageDriver<S> {
    /// Starts the thread; it reports the end of each save to `events`.
    pub(super) fn start(store: S, events: EventSender<ControllerEvent>) -> StorageDriver<S> {
        let store = Arc::new(Mutex::new(store));
        let (saves, queued) = bounded(MAX_QUEUED);
        let shared = store.clone();
        thread::spawn(move || while save_next(&shared, &queued, &events).is_some() {});
        StorageDriver { store, saves }
    }

    /// Queues a save. Where the disk has stalled for so long that the queue is
    /// full, the process exits: a dropped save must never look like a durable
    /// one, and the other cores replicate again what was queued.
    pub(super) fn save(&self, seq: u64, save: Save) {
        if self.saves.try_send((seq, save)).is_err() {
            log_event(LogEvent::DiskFailed, "too many saves are queued; exiting");
            std::process::exit(1);
        }
    }

    /// Stores a small named value; returns once it is synced, however long that
    /// takes.
    pub(super) fn put(&self, name: &str, value: &[u8]) {
        retry_until_synced(|| locked(&self.store).put(name, value));
    }
}

fn locked<S>(store: &Mutex<S>) -> MutexGuard<'_, S> {
    store
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Writes the queued saves with one sync for all; none once the controller has
/// stopped.
fn save_next<S: Store>(
    store: &Mutex<S>,
    queued: &Receiver<(u64, Save)>,
    events: &EventSender<ControllerEvent>,
) -> Option<()> {
    let mut batch = vec![queued.recv_blocking().ok()?];
    while batch.len() < MAX_BATCH {
        let Ok(more) = queued.try_recv() else { break };
        batch.push(more);
    }
    let mut failed_before = false;
    let mut started = Instant::now();
    while let Err(error) = save_once(store, &batch) {
        if !failed_before {
            events
                .send_blocking(ControllerEvent::SaveFailed(error.to_string()))
                .ok()?;
        }
        failed_before = true;
        thread::sleep(RETRY_DELAY);
        started = Instant::now();
    }
    let elapsed = started.elapsed();
    if elapsed > SLOW_SAVE {
        log_event(LogEvent::DiskSlow, format!("{} ms", elapsed.as_millis()));
    }
    let last = batch.last().map_or(0, |(seq, _)| *seq);
    events.send_blocking(ControllerEvent::Saved(last)).ok()?;
    if failed_before {
        events.send_blocking(ControllerEvent::SaveRecovered).ok()?;
    }
    Some(())
}

/// The lock is released between attempts and while the event queue is full.
fn save_once<S: Store>(store: &Mutex<S>, batch: &[(u64, Save)]) -> io::Result<()> {
    locked(store).save(batch)
}
