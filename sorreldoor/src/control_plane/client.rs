//! The handle by which other tasks use the controller: each request is sent to the
//! reducer as an event, and the task awaits the reply.

use super::events::ControllerEvent;
use crate::http::RequestAge;
use crate::ids::random_proposal_id;
use crate::metrics::CoreFigures;
use crate::replicated_state::{Command, View, ZoneIndex};
use crate::runtime::{Clock, EventSender};
use crate::sync::lock;
use crate::types::{NodeId, ProposalId};
use crate::wire::{EdgeEndpoint, ProposalOutcome};
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request times out after this many acknowledgement times and
/// `TIMEOUT_SLACK_MS`; the reducer's own time-outs are shorter.
const TIMEOUT_ACKS: u64 = 3;
const TIMEOUT_SLACK_MS: u64 = 1000;

/// A reply of the controller to one request.
#[derive(Debug)]
pub enum ControllerReply {
    /// The outcome of a change, new or earlier.
    Change(ProposalOutcome),
    /// The state that was read.
    State(StateSnapshot),
}

/// The core's state at the time of a reply.
#[derive(Debug)]
pub struct StateSnapshot {
    /// Whether it was confirmed current after it was requested.
    pub confirmed: bool,
    /// False while writes to the core's disk fail.
    pub disk_ok: bool,
    /// The status document as JSON; empty where it was not requested.
    pub status: String,
    /// The view of the replicated state that edges receive.
    pub view: Box<View>,
}

/// Requests that wait for the controller's reply, by request id.
#[derive(Clone, Default)]
pub struct PendingRequests {
    waiting: Arc<Mutex<HashMap<u64, Sender<ControllerReply>>>>,
    last_id: Arc<AtomicU64>,
}

impl PendingRequests {
    /// A new request id, and the channel on which its reply arrives.
    #[must_use]
    pub fn open(&self) -> (u64, Receiver<ControllerReply>) {
        let request_id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = bounded(1);
        lock(&self.waiting).insert(request_id, sender);
        (request_id, receiver)
    }

    /// Drops a request whose reply is no longer awaited.
    pub fn close(&self, request_id: u64) {
        lock(&self.waiting).remove(&request_id);
    }

    pub(super) fn reply(&self, request_id: u64, reply: ControllerReply) {
        let sender = lock(&self.waiting).remove(&request_id);
        // without effect if the request was closed
        let _ = sender.map(|sender| sender.try_send(reply).is_ok());
    }
}

/// A handle to the controller of this process.
#[derive(Clone)]
pub struct ControllerClient {
    events: EventSender<ControllerEvent>,
    /// The clock of the controller.
    clock: Arc<dyn Clock + Send + Sync>,
    pub(super) pending: PendingRequests,
    /// Milliseconds within which a change should be acknowledged.
    ack_ms: u64,
    endpoints: Arc<Mutex<Arc<Vec<EdgeEndpoint>>>>,
    metrics: Arc<Mutex<CoreFigures>>,
}

impl ControllerClient {
    /// A client that sends to `events`, for a controller that runs on `clock`; `ack_ms`
    /// is the time in milliseconds within which a change should be acknowledged.
    #[must_use]
    pub fn new(
        events: EventSender<ControllerEvent>,
        clock: Arc<dyn Clock + Send + Sync>,
        ack_ms: u64,
    ) -> ControllerClient {
        ControllerClient {
            events,
            clock,
            pending: PendingRequests::default(),
            ack_ms,
            endpoints: Arc::default(),
            metrics: Arc::default(),
        }
    }

    async fn request(&self, event: impl FnOnce(u64) -> ControllerEvent) -> Option<ControllerReply> {
        let (request_id, reply) = self.pending.open();
        if self.events.send(event(request_id)).await.is_err() {
            return None;
        }
        let limit = Duration::from_millis(self.ack_ms * TIMEOUT_ACKS + TIMEOUT_SLACK_MS);
        let reply = timeout(limit, reply.recv()).await;
        self.pending.close(request_id);
        reply.ok()?.ok()
    }

    async fn request_outcome(&self, event: impl FnOnce(u64) -> ControllerEvent) -> ProposalOutcome {
        match self.request(event).await {
            Some(ControllerReply::Change(outcome)) => outcome,
            _ => ProposalOutcome::Unknown,
        }
    }

    async fn request_state(
        &self,
        event: impl FnOnce(u64) -> ControllerEvent,
    ) -> Option<StateSnapshot> {
        match self.request(event).await {
            Some(ControllerReply::State(state)) => Some(state),
            _ => None,
        }
    }

    /// Proposes a change. The outcome is `Unknown` where none came in time;
    /// the same change may then be proposed again under the same id.
    pub async fn change(&self, proposal_id: ProposalId, command: Command) -> ProposalOutcome {
        self.request_outcome(|request_id| ControllerEvent::Change {
            request_id,
            proposal_id,
            command,
        })
        .await
    }

    /// Proposes to evacuate a zone or to return it to service, for a request that names
    /// no version. The outcome is `Unknown` where none came in time, or where the zone
    /// may have changed since the request was sent; a new request may be sent then.
    pub async fn evacuate(
        &self,
        zone: ZoneIndex,
        evacuated: bool,
        request_age: RequestAge,
    ) -> ProposalOutcome {
        // the clock goes first: a pause in between must not make the request newer
        let now = self.clock.now().monotonic_ms;
        let age = request_age.upper_bound().as_millis() as u64;
        self.request_outcome(|request_id| ControllerEvent::Evacuate {
            request_id,
            proposal_id: random_proposal_id(),
            zone,
            evacuated,
            sent_after: now.saturating_sub(age),
        })
        .await
    }

    /// The outcome of an earlier proposal; `Unknown` where there is no reply in
    /// time.
    pub async fn find_outcome(&self, proposal_id: ProposalId) -> ProposalOutcome {
        self.request_outcome(|request_id| ControllerEvent::ReadOutcome {
            request_id,
            proposal_id,
        })
        .await
    }

    /// Removes a core from the membership without waiting for a replacement.
    pub async fn remove_core(&self, proposal_id: ProposalId, core: NodeId) -> ProposalOutcome {
        self.request_outcome(|request_id| ControllerEvent::RemoveCore {
            request_id,
            proposal_id,
            core,
        })
        .await
    }

    /// The core's state with its status document, confirmed current or not; `None`
    /// where there is no reply in time.
    pub async fn read_status(&self) -> Option<StateSnapshot> {
        self.request_state(|request_id| ControllerEvent::ReadStatus { request_id })
            .await
    }

    /// The view of the replicated state, confirmed current after this call; `None`
    /// where it cannot be confirmed in time.
    pub async fn read_view(&self) -> Option<Box<View>> {
        let state = self.request_state(|request_id| ControllerEvent::ReadView { request_id });
        let state = state.await.filter(|state| state.confirmed);
        state.map(|state| state.view)
    }

    /// The edges that have a session, and whether they serve, as last published.
    #[must_use]
    pub fn endpoints(&self) -> Arc<Vec<EdgeEndpoint>> {
        lock(&self.endpoints).clone()
    }

    /// The core's metrics, as last published.
    #[must_use]
    pub fn metrics(&self) -> CoreFigures {
        *lock(&self.metrics)
    }

    pub(super) fn publish_metrics(&self, metrics: CoreFigures) {
        *lock(&self.metrics) = metrics;
    }

    pub(super) fn publish_endpoints(&self, endpoints: &Arc<Vec<EdgeEndpoint>>) {
        let mut published = lock(&self.endpoints);
        if !Arc::ptr_eq(&published, endpoints) {
            *published = endpoints.clone();
        }
    }
}
