//! What stands between those who serve callers and the core's reducer: they
//! ask here, and wait for what the reducer says.

use super::events::ControllerEvent;
use crate::net::Ring;
use crate::replicated_state::{Command, View};
use crate::types::ProposalId;
use crate::wire::{EdgeEndpoint, OpOutcome};
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What a waiting task is told.
pub enum Reply {
    Done(OpOutcome),
    Looked(Looked),
}

/// The core's state as it was read off.
pub struct Looked {
    /// It was proved current after it was asked for.
    pub ok: bool,
    /// Its disk works.
    pub disk: bool,
    /// As JSON; empty where it was not asked for.
    pub status: String,
    pub view: Box<View>,
}

type Waiting = Arc<Mutex<HashMap<u64, Sender<Reply>>>>;

fn locked<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|p| p.into_inner())
}

/// Tasks that wait for the controller, by number.
#[derive(Clone, Default)]
pub struct Answers {
    waiting: Waiting,
    next: Arc<AtomicU64>,
}

impl Answers {
    pub fn open(&self) -> (u64, Receiver<Reply>) {
        let request_id = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = bounded(1);
        locked(&self.waiting).insert(request_id, tx);
        (request_id, rx)
    }
    pub fn close(&self, request_id: u64) {
        locked(&self.waiting).remove(&request_id);
    }
    pub(super) fn give(&self, request_id: u64, r: Reply) {
        let tx = locked(&self.waiting).remove(&request_id);
        // whoever has stopped waiting needs no result
        let _ = tx.map(|t| t.try_send(r).is_ok());
    }
}

/// A core as a door sees it.
#[derive(Clone)]
pub struct Front {
    pub ring: Ring<ControllerEvent>,
    pub answers: Answers,
    /// Milliseconds within which a change should have its answer.
    pub ack_ms: u64,
    pub(super) places: Arc<Mutex<Arc<Vec<EdgeEndpoint>>>>,
}

impl Front {
    pub fn new(ring: Ring<ControllerEvent>, ack_ms: u64) -> Front {
        Front {
            ring,
            answers: Answers::default(),
            ack_ms,
            places: Arc::default(),
        }
    }

    async fn ask(&self, f: impl FnOnce(u64) -> ControllerEvent) -> Option<Reply> {
        let (request_id, rx) = self.answers.open();
        if self.ring.send(f(request_id)).await.is_err() {
            return None;
        }
        // the reducer gives up by itself first; this is only the last resort
        let most = Duration::from_millis(self.ack_ms * 3 + 1000);
        let got = timeout(most, rx.recv()).await.ok().and_then(|r| r.ok());
        self.answers.close(request_id);
        got
    }

    async fn done(&self, f: impl FnOnce(u64) -> ControllerEvent) -> OpOutcome {
        match self.ask(f).await {
            Some(Reply::Done(o)) => o,
            _ => OpOutcome::Unknown,
        }
    }

    /// Proposes a change; `Unknown` where no word came in time, and the same
    /// change may be proposed again under the same id.
    pub async fn change(&self, proposal_id: ProposalId, cmd: Command) -> OpOutcome {
        self.done(|request_id| ControllerEvent::Change {
            request_id,
            proposal_id,
            cmd,
        })
        .await
    }

    /// What became of a proposal.
    pub async fn find(&self, proposal_id: ProposalId) -> OpOutcome {
        self.done(|request_id| ControllerEvent::Find {
            request_id,
            proposal_id,
        })
        .await
    }

    /// Gives up a core without waiting.
    pub async fn drop_core(&self, proposal_id: ProposalId, drop: u64) -> OpOutcome {
        self.done(|request_id| ControllerEvent::Reform {
            request_id,
            proposal_id,
            drop,
        })
        .await
    }

    /// The core's state with its status, proved current if `ok`.
    pub async fn look(&self) -> Option<Looked> {
        match self
            .ask(|request_id| ControllerEvent::Look { request_id })
            .await
        {
            Some(Reply::Looked(l)) => Some(l),
            _ => None,
        }
    }

    /// The record, proved current after this was called; none where that
    /// cannot be had in time.
    pub async fn view(&self) -> Option<Box<View>> {
        match self
            .ask(|request_id| ControllerEvent::View { request_id })
            .await
        {
            Some(Reply::Looked(l)) if l.ok => Some(l.view),
            _ => None,
        }
    }

    /// The edges with a session, and whether they serve, as last heard.
    pub fn places(&self) -> Arc<Vec<EdgeEndpoint>> {
        locked(&self.places).clone()
    }

    pub(super) fn show(&self, p: &Arc<Vec<EdgeEndpoint>>) {
        let mut shown = locked(&self.places);
        if !Arc::ptr_eq(&shown, p) {
            *shown = p.clone();
        }
    }
}
