//! What all connections of one proxy node share.

use super::dialect::Dialect;
use super::front::ProxyController;
use super::pool::Pool;
use crate::balancer::RequestId;
use crate::runtime::Clock;
use crate::types::Millis;
use async_std::channel::{bounded, Receiver, Sender};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

pub struct SharedState<D, C> {
    pub front: Mutex<ProxyController>,
    pub pool: Pool,
    pub dialect: D,
    pub clock: C,
    pub reach: BTreeMap<SocketAddr, SocketAddr>,
    /// Requests that wait for a worker, to be woken.
    waiting: Mutex<HashMap<RequestId, Sender<()>>>,
    /// No new connections are kept; answers say so.
    pub leaving: AtomicBool,
    /// Requests that wait for a worker are refused from now on.
    pub queue_closed: AtomicBool,
    /// Client connections, and requests under way.
    pub open: AtomicUsize,
    pub running: AtomicUsize,
    /// Closed once idle connections are to end.
    pub bell: Sender<()>,
    pub hear: Receiver<()>,
}

impl<D: Dialect, C: Clock> SharedState<D, C> {
    pub fn new(
        front: ProxyController,
        dialect: D,
        clock: C,
        reach: BTreeMap<SocketAddr, SocketAddr>,
    ) -> Self {
        let (bell, hear) = bounded(1);
        SharedState {
            front: Mutex::new(front),
            pool: Pool::default(),
            dialect,
            clock,
            reach,
            waiting: Mutex::default(),
            leaving: AtomicBool::new(false),
            queue_closed: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            bell,
            hear,
        }
    }

    pub fn now(&self) -> Millis {
        self.clock.now().monotonic_ms
    }

    pub fn lock(&self) -> MutexGuard<'_, ProxyController> {
        self.front.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<()>>> {
        self.waiting.lock().unwrap_or_else(|p| p.into_inner())
    }

    pub fn wait(&self, request_id: RequestId) -> Receiver<()> {
        let (tx, rx) = bounded(1);
        self.waiters().insert(request_id, tx);
        rx
    }

    pub fn waited(&self, request_id: RequestId) {
        self.waiters().remove(&request_id);
    }

    /// Wakes those that may find a worker now.
    pub fn wake(&self) {
        if self.waiters().is_empty() {
            return;
        }
        let now = self.now();
        let all = self.lock().table.take_ready(now);
        let w = self.waiters();
        for tx in all.iter().filter_map(|r| w.get(r)) {
            let _ = tx.try_send(());
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub fn is_queue_closed(&self) -> bool {
        self.queue_closed.load(Ordering::Relaxed)
    }

    /// Refuses all that waits for a worker: it has not run, and there is no
    /// time left for it to run here.
    pub fn close_queue(&self) {
        if !self.queue_closed.swap(true, Ordering::Relaxed) {
            for tx in self.waiters().values() {
                let _ = tx.try_send(());
            }
        }
    }

    pub fn reached(&self, a: SocketAddr) -> SocketAddr {
        self.reach.get(&a).copied().unwrap_or(a)
    }
}
