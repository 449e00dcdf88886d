//! HTTP calls that wait for a reply from the edge controller.

use super::worker_exchange::{WorkerRequest, WorkerResponse};
use crate::error::ErrorCode;
use crate::gateway::request_table::{RequestId, RequestProfile};
use crate::replicated_state::View;
use crate::sync::lock;
use crate::wire::ProposalOutcome;
use async_std::channel::{bounded, Receiver, Sender};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The controller's reply to a waiting HTTP call.
pub(super) enum Reply {
    /// The body of the request may be read, with this profile.
    Admitted(RequestProfile),
    Rejected {
        error_code: ErrorCode,
        retry_after_s: u64,
    },
    /// The caller should send the request to the edge with this address.
    Redirect(String),
    WorkerResponse(WorkerResponse),
    EdgesLocated(Result<Vec<String>, ErrorCode>),
    ProposalResult(ProposalOutcome),
    ConfigurationRead {
        /// The view is proved current.
        proved: bool,
        view: Box<View>,
    },
    Status {
        json: String,
        ready: Result<(), ErrorCode>,
    },
}

#[derive(Default)]
struct State {
    callers: HashMap<RequestId, Sender<Reply>>,
    requests: HashMap<RequestId, Arc<WorkerRequest>>,
}

/// The calls that wait, with the requests that they have submitted. Shared by
/// the HTTP tasks and the controller's thread.
#[derive(Clone, Default)]
pub(super) struct PendingCalls {
    state: Arc<Mutex<State>>,
    last_id: Arc<AtomicU64>,
}

impl PendingCalls {
    /// Opens a call; returns its id and the channel for the reply.
    pub fn open(&self) -> (RequestId, Receiver<Reply>) {
        let request_id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = bounded(1);
        self.lock().callers.insert(request_id, sender);
        (request_id, receiver)
    }

    pub fn close(&self, request_id: RequestId) {
        let mut state = self.lock();
        state.callers.remove(&request_id);
        state.requests.remove(&request_id);
    }

    /// Stores the request of a call until the call is closed.
    pub fn store_request(&self, request_id: RequestId, request: WorkerRequest) {
        let request = Arc::new(request);
        self.lock().requests.insert(request_id, request);
    }

    pub fn request(&self, request_id: RequestId) -> Option<Arc<WorkerRequest>> {
        self.lock().requests.get(&request_id).cloned()
    }

    /// Replies to a call, unless it has stopped waiting.
    pub fn reply(&self, request_id: RequestId, reply: Reply) {
        let caller = self.lock().callers.remove(&request_id);
        if let Some(caller) = caller {
            let _ = caller.try_send(reply);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}
