//! Storage: opens the store, and writes it on a thread of its own. Failed disk
//! operations are retried.

use super::events::ControllerEvent;
use crate::consensus::Save;
use crate::invariants::{is_disabled, Invariant};
use crate::log_events::{log_event, LogEvent};
use crate::replicated_state::{decode, encode};
use crate::runtime::EventSender;
use crate::settings::Settings;
use crate::start_error::{OpenStoreSnafu, StartError};
use crate::store::{Directory, DurableStore, OpenedStore, Store};
use crate::sync::lock;
use async_std::channel::{bounded, Receiver, Sender};
use snafu::ResultExt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Store key of the core's id.
const IDENTITY_KEY: &str = "identity";
/// Store key of the seeds of the first start.
const FOUNDING_SEEDS_KEY: &str = "founding-seeds";
/// Maximum number of queued saves.
const MAX_QUEUED: usize = 4096;
/// Maximum number of saves in one sync.
const MAX_BATCH: usize = 256;
/// Duration above which a save is logged as slow.
const SLOW_SAVE: Duration = Duration::from_millis(200);
/// Delay before a failed disk operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Opens the store; retries transient errors, such as a full disk, without limit.
///
/// # Errors
/// If the error is permanent, such as a missing or inaccessible folder.
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
    if let Some(damage) = damage {
        log_event(
            LogEvent::DiskCorrupt,
            format!("{}: {damage}", folder.display()),
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

/// The core's id from the store; a blank store gets a random one, which is synced
/// before it is used.
pub(super) fn identity(store: &mut DurableStore<Directory>) -> u64 {
    if let Some(id) = store.value(IDENTITY_KEY).and_then(decode::<u64>) {
        return id;
    }
    let id = crate::ids::random_id() >> 1;
    retry_until_synced(|| store.put(IDENTITY_KEY, &encode(&id)));
    log_event(LogEvent::IdentityCreated, format!("{id:x}"));
    id
}

/// The seeds of the site's first start, if this core takes part in it. A core that starts
/// for the first time and may bootstrap stores them before it has an identity, so that a
/// restart before the site is bootstrapped goes on with them, whatever the settings say then.
pub(super) fn founding_seeds(
    store: &mut DurableStore<Directory>,
    settings: &Settings,
) -> Option<Vec<SocketAddr>> {
    // a core whose damaged state was discarded had already joined the site
    if store.must_rejoin() {
        return None;
    }
    if !settings.bootstrap {
        return store
            .value(FOUNDING_SEEDS_KEY)
            .and_then(decode)
            .filter(|_| !is_disabled(Invariant::FoundingRemembered));
    }
    if store.value(IDENTITY_KEY).is_none() {
        let seeds = encode(&settings.seeds);
        retry_until_synced(|| store.put(FOUNDING_SEEDS_KEY, &seeds));
    }
    Some(settings.seeds.clone())
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

/// Hands saves to the thread that writes the store.
pub(super) struct StorageDriver<S> {
    store: Arc<Mutex<S>>,
    saves: Sender<(u64, Save)>,
}

impl<S: Store + 'static> StorageDriver<S> {
    /// Starts the thread, which sends the result of each batch to `events`.
    pub(super) fn start(store: S, events: EventSender<ControllerEvent>) -> StorageDriver<S> {
        let store = Arc::new(Mutex::new(store));
        let (saves, queued) = bounded(MAX_QUEUED);
        let shared = store.clone();
        thread::spawn(move || while save_next(&shared, &queued, &events).is_some() {});
        StorageDriver { store, saves }
    }

    /// Queues a save. If the queue is full, because the disk has stalled for long, the
    /// process exits: a save must not be dropped while later ones succeed. The other
    /// cores replicate the queued entries again after a restart.
    pub(super) fn save(&self, seq: u64, save: Save) {
        if self.saves.try_send((seq, save)).is_err() {
            log_event(LogEvent::DiskFailed, "the queue of saves is full; exiting");
            std::process::exit(1);
        }
    }

    /// Stores a small value under a name; retries until it is synced.
    pub(super) fn put(&self, name: &str, value: &[u8]) {
        retry_until_synced(|| lock(&self.store).put(name, value));
    }
}

/// Writes the queued saves with one sync, retrying until that succeeds; `None`
/// once the controller has stopped.
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

/// One attempt to write a batch. The store is locked for this attempt only.
fn save_once<S: Store>(store: &Mutex<S>, batch: &[(u64, Save)]) -> io::Result<()> {
    lock(store).save(batch)
}
