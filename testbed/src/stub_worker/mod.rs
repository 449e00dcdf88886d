//! Stub workers that serve real connections: model servers with prefill, decode, slots
//! and a prefix cache, and plain web workers. They record the request id of every
//! execution, and tests can inject faults.

mod fault;
mod handlers;
mod slot;
mod streamed_body;

pub use fault::InjectedFault;

use crate::sync::lock;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::io;
use async_std::net::TcpListener;
use async_std::task;
use sorreldoor::http;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

const MAX_CONNECTIONS: usize = 4096;

/// The kind, capacity and speed of a stub worker.
#[derive(Clone, Debug)]
pub struct WorkerProfile {
    pub name: String,
    /// Whether it is a model worker; otherwise it is a web worker.
    pub model: bool,
    pub slots: usize,
    /// Microseconds of prefill per character of prompt that is not cached.
    pub prefill_us: u64,
    /// Milliseconds of decoding per event.
    pub decode_ms: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cache: usize,
}

impl WorkerProfile {
    /// A model worker with the default capacity.
    #[must_use]
    pub fn model(name: &str) -> WorkerProfile {
        WorkerProfile {
            name: name.into(),
            model: true,
            slots: 4,
            prefill_us: 10,
            decode_ms: 5,
            cache: 8,
        }
    }

    /// A web worker with the default capacity.
    #[must_use]
    pub fn web(name: &str) -> WorkerProfile {
        WorkerProfile {
            model: false,
            slots: 16,
            ..WorkerProfile::model(name)
        }
    }
}

/// The counters of a stub worker, and its injected fault.
#[derive(Default)]
pub struct WorkerState {
    /// Ids of all requests that began to execute, in order.
    pub executed: Vec<String>,
    pub hits: u64,
    pub misses: u64,
    pub running: u32,
    pub queued: u32,
    pub peak_running: u32,
    pub peak_in_flight: u32,
    pub finished: u64,
    pub fault: InjectedFault,
    cache: VecDeque<String>,
}

/// A running stub worker; dropping it stops it.
pub struct StubWorker {
    pub profile: WorkerProfile,
    pub addr: SocketAddr,
    state: Arc<Mutex<WorkerState>>,
    server: Option<task::JoinHandle<()>>,
}

/// State shared by the request handlers of a worker.
struct Shared {
    profile: WorkerProfile,
    state: Arc<Mutex<WorkerState>>,
    free_slots: Receiver<()>,
    release_slot: Sender<()>,
}

impl StubWorker {
    /// Starts a worker on the address, or on a free port of the loopback address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(profile: WorkerProfile, addr: Option<SocketAddr>) -> io::Result<StubWorker> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(addr.unwrap_or(any_port)).await?;
        let addr = listener.local_addr()?;
        let state: Arc<Mutex<WorkerState>> = Arc::default();
        let (release_slot, free_slots) = bounded(profile.slots);
        for _ in 0..profile.slots {
            let _ = release_slot.try_send(());
        }
        let shared = Arc::new(Shared {
            profile: profile.clone(),
            state: state.clone(),
            free_slots,
            release_slot,
        });
        let handle = move |request, _peer| handlers::handle(shared.clone(), request);
        let server = http::serve(
            listener,
            MAX_CONNECTIONS,
            http::ShutdownHandle::default(),
            handle,
        );
        Ok(StubWorker {
            profile,
            addr,
            state,
            server: Some(task::spawn(server)),
        })
    }

    /// The worker's state, locked.
    pub fn state(&self) -> MutexGuard<'_, WorkerState> {
        lock(&self.state)
    }
}

impl Drop for StubWorker {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            task::spawn(async move {
                server.cancel().await;
            });
        }
    }
}
