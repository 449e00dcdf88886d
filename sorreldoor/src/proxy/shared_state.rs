//! State that the daemon and all connections of one proxy node share.

use super::controller::ProxyController;
use super::dialect::Dialect;
use super::upstream::ConnectionPool;
use crate::balancer::{RequestId, ShutdownLimits};
use crate::runtime::Clock;
use crate::sync::lock;
use crate::types::Millis;
use async_std::channel::{bounded, Receiver, Sender};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

/// State that the daemon and all connections of one proxy node share.
pub struct SharedState<D, C> {
    controller: Mutex<ProxyController>,
    pub(super) connections: ConnectionPool,
    pub(super) dialect: D,
    pub(super) clock: C,
    /// The address to connect to, by announced address, where they differ.
    address_overrides: BTreeMap<SocketAddr, SocketAddr>,
    /// The requests that are queued for a worker, each with its wakeup channel.
    queued: Mutex<HashMap<RequestId, Sender<()>>>,
    /// Whether the node is shutting down, and responses close their connections.
    draining: AtomicBool,
    /// Whether queued requests are rejected.
    queue_closed: AtomicBool,
    /// Open connections of clients.
    pub(super) open_connections: AtomicUsize,
    pub(super) requests_in_flight: AtomicUsize,
    /// A channel that is closed once idle client connections must end.
    idle_close: (Sender<()>, Receiver<()>),
    /// A channel that is closed once requests in flight must end.
    requests_end: (Sender<()>, Receiver<()>),
}

impl<D: Dialect, C: Clock> SharedState<D, C> {
    /// The state of a node that starts; `address_overrides` maps announced addresses
    /// to those that are connected to instead.
    pub fn new(
        controller: ProxyController,
        dialect: D,
        clock: C,
        address_overrides: BTreeMap<SocketAddr, SocketAddr>,
    ) -> Self {
        SharedState {
            controller: Mutex::new(controller),
            connections: ConnectionPool::default(),
            dialect,
            clock,
            address_overrides,
            queued: Mutex::default(),
            draining: AtomicBool::new(false),
            queue_closed: AtomicBool::new(false),
            open_connections: AtomicUsize::new(0),
            requests_in_flight: AtomicUsize::new(0),
            idle_close: bounded(1),
            requests_end: bounded(1),
        }
    }

    /// Milliseconds of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now().monotonic_ms
    }

    /// Locks the controller with its balancer. The guard must not be held across an
    /// await.
    pub fn lock(&self) -> MutexGuard<'_, ProxyController> {
        lock(&self.controller)
    }

    fn queued(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<()>>> {
        lock(&self.queued)
    }

    /// Queues a request; the receiver resolves when a worker may be available.
    pub fn enqueue(&self, request_id: RequestId) -> Receiver<()> {
        let (waker, wakeup) = bounded(1);
        self.queued().insert(request_id, waker);
        wakeup
    }

    /// Removes a request from the queue.
    pub fn dequeue(&self, request_id: RequestId) {
        self.queued().remove(&request_id);
    }

    /// Wakes queued requests for which a worker may be available.
    pub fn wake_queued(&self) {
        if self.queued().is_empty() {
            return;
        }
        let now = self.now();
        let ready = self.lock().balancer.take_ready(now);
        let queued = self.queued();
        for waker in ready.iter().filter_map(|id| queued.get(id)) {
            let _ = waker.try_send(());
        }
    }

    /// Whether the node is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// From now on, connections are closed after their next response, and requests are
    /// sent to workers only if they can be completed within the limits.
    pub fn start_draining(&self, limits: ShutdownLimits) {
        self.draining.store(true, Ordering::Relaxed);
        self.lock().balancer.start_shutdown(limits);
        self.wake_queued();
    }

    /// Whether queued requests are rejected.
    pub fn is_queue_closed(&self) -> bool {
        self.queue_closed.load(Ordering::Relaxed)
    }

    /// Rejects all queued requests from now on: none of them has run, and there is no
    /// time left for them to run here.
    pub fn close_queue(&self) {
        if !self.queue_closed.swap(true, Ordering::Relaxed) {
            for waker in self.queued().values() {
                let _ = waker.try_send(());
            }
        }
    }

    /// Closes idle client connections, now and from now on.
    pub fn close_idle_connections(&self) {
        self.idle_close.0.close();
    }

    /// Resolves once idle client connections must end.
    pub async fn idle_connections_closed(&self) {
        let _ = self.idle_close.1.recv().await;
    }

    /// Ends requests in flight: those without any part of a response get an error
    /// response.
    pub fn end_requests(&self) {
        self.requests_end.0.close();
    }

    /// Resolves once requests in flight must end.
    pub async fn requests_must_end(&self) {
        let _ = self.requests_end.1.recv().await;
    }

    /// The address to connect to for an announced one.
    pub fn connect_address(&self, announced: SocketAddr) -> SocketAddr {
        self.address_overrides
            .get(&announced)
            .copied()
            .unwrap_or(announced)
    }
}
