//! The exchange between an edge and a worker: connecting, forwarding, cancelling,
//! and the worker's responses.

use super::workers::{worker_at, WorkerRequest};
use super::{ForwardedRequest, World};
use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::{AttemptEvent, AttemptReport, RequestEffect};
use sorreldoor::gateway::EdgeEvent;
use sorreldoor::types::Millis;

/// Time after which an edge's connection attempt to an unreachable worker fails.
const CONNECT_TIMEOUT_MS: Millis = 800;
/// How often, in percent, a worker does not execute a request that was cancelled
/// before it arrived.
const CANCELLED_UNSEEN_PERCENT: u64 = 50;

/// An edge's attempt to execute a request at a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: usize,
    pub worker_incarnation: u64,
    pub request_id: u64,
    /// Once the response is complete: the client whose request it answers.
    pub completed_for: Option<u64>,
}

impl World {
    /// Sends an event of an attempt from a worker to its edge.
    pub(super) fn send_to_edge(
        &mut self,
        worker: usize,
        request: WorkerRequest,
        event: AttemptEvent,
    ) {
        let (from, to) = (
            self.workers[worker].region,
            self.processes[request.edge].region,
        );
        let delay = self.delay(from, to);
        self.after(delay, move |world| {
            world.deliver_attempt_event(request, event)
        });
    }

    fn deliver_attempt_event(&mut self, request: WorkerRequest, event: AttemptEvent) {
        let (edge, incarnation) = (request.edge, request.incarnation);
        self.deliver_to_process(edge, incarnation, move |world| {
            let (request_id, token) = (request.request_id, request.token);
            let attempts = &mut world.processes[edge].attempts;
            if event == AttemptEvent::Complete {
                if let Some(attempt) = attempts.get_mut(&token) {
                    attempt.completed_for = Some(request.client);
                }
            }
            // the edge's task reports the broken stream to the client itself
            if matches!(event, AttemptEvent::Failed(_)) && attempts.contains_key(&token) {
                world.break_stream(request_id);
            }
            let report = AttemptReport {
                request_id,
                token,
                event,
            };
            world.edge_step(edge, EdgeEvent::Attempt(report));
        });
    }

    /// Carries out an effect of an edge's request table.
    pub(crate) fn request_effect(&mut self, edge: usize, effect: RequestEffect) {
        match effect {
            RequestEffect::Connect {
                request_id,
                token,
                addr,
                ..
            } => self.open_connection(edge, request_id, token, addr.port()),
            RequestEffect::Send {
                request_id, token, ..
            } => self.forward(edge, request_id, token),
            RequestEffect::Abort { token, .. } => self.drop_attempt(edge, token),
            RequestEffect::Reject {
                request_id,
                error_code,
                retry_after_s,
            } => self.reject(request_id, error_code, retry_after_s),
            RequestEffect::Respond { request_id, token } => {
                self.deliver_response(edge, request_id, token)
            }
            RequestEffect::Redirect { request_id, addr } => self.redirect(request_id, addr),
            RequestEffect::OutcomeUnknown { .. }
            | RequestEffect::AttemptFailed { .. }
            | RequestEffect::Claim { .. }
            | RequestEffect::Release { .. } => {}
        }
    }

    fn open_connection(&mut self, edge: usize, request_id: u64, token: u64, port: u16) {
        let worker = worker_at(port);
        let Some(client) = self.client_of(edge, request_id) else {
            return;
        };
        self.opened_attempts.push((self.now, client));
        let attempt = Attempt {
            worker,
            worker_incarnation: self.workers[worker].incarnation,
            request_id,
            completed_for: None,
        };
        self.processes[edge].attempts.insert(token, attempt);
        let request = self.worker_request(edge, request_id, token, client);
        let round_trip = 2 * self.delay(self.processes[edge].region, self.workers[worker].region);
        let unreachable = self.blocked_worker_links.contains(&(edge, worker));
        let (wait, event) = match (unreachable, self.workers[worker].up) {
            (true, _) => (CONNECT_TIMEOUT_MS, AttemptEvent::ConnectFailed),
            (false, false) => (round_trip, AttemptEvent::ConnectFailed),
            (false, true) => (round_trip, AttemptEvent::Connected),
        };
        self.after(wait, move |world| {
            world.deliver_attempt_event(request, event)
        });
    }

    fn worker_request(
        &self,
        edge: usize,
        request_id: u64,
        token: u64,
        client: u64,
    ) -> WorkerRequest {
        WorkerRequest {
            edge,
            incarnation: self.processes[edge].incarnation,
            request_id,
            token,
            client,
            id: self.clients[&client].id.clone(),
        }
    }

    /// Sends a request over the connection of an attempt.
    fn forward(&mut self, edge: usize, request_id: u64, token: u64) {
        let Some(attempt) = self.processes[edge].attempts.get(&token).cloned() else {
            return;
        };
        let Some(client) = self.client_of(edge, request_id) else {
            return;
        };
        let worker = attempt.worker;
        let request = self.worker_request(edge, request_id, token, client);
        self.forwarded.push(ForwardedRequest {
            at: self.now,
            edge,
            worker,
            version: self
                .edge_controller(edge)
                .map_or(0, |controller| controller.cluster.snapshot.view.version),
            id: request.id.clone(),
            client,
            group: self.registered_group(worker),
            doc: self.doc_at(edge),
        });
        let delay = self.delay(self.processes[edge].region, self.workers[worker].region);
        self.after(delay, move |world| {
            world.arrive_at_worker(worker, attempt.worker_incarnation, request)
        });
    }

    fn arrive_at_worker(&mut self, worker: usize, incarnation: u64, request: WorkerRequest) {
        let frozen_until = self.workers[worker].frozen_until;
        if frozen_until > self.now {
            self.at(frozen_until, move |world| {
                world.arrive_at_worker(worker, incarnation, request)
            });
            return;
        }
        let attempts = &self.processes[request.edge].attempts;
        let cancelled = !attempts.contains_key(&request.token);
        if !self.workers[worker].up || self.workers[worker].incarnation != incarnation {
            let event = AttemptEvent::Failed(ErrorCode::WorkerDisconnected);
            return self.send_to_edge(worker, request, event);
        }
        // the worker may find the connection of a cancelled request closed
        if cancelled && self.rng.chance(CANCELLED_UNSEEN_PERCENT) {
            return;
        }
        self.workers[worker].enqueue(request);
        self.start_executions(worker);
    }

    /// Closes the connection of an attempt: after the delay of the link the worker
    /// cancels the request, whether it is queued or running.
    fn drop_attempt(&mut self, edge: usize, token: u64) {
        let Some(attempt) = self.processes[edge].attempts.remove(&token) else {
            return;
        };
        let worker = attempt.worker;
        let delay = self.delay(self.processes[edge].region, self.workers[worker].region);
        self.after(delay, move |world| {
            world.workers[worker].cancel(edge, token);
            world.start_executions(worker);
        });
        self.break_stream(attempt.request_id);
    }

    /// Closes all connections of a crashed edge to workers.
    pub(crate) fn drop_attempts(&mut self, edge: usize) {
        let tokens: Vec<u64> = self.processes[edge].attempts.keys().copied().collect();
        for token in tokens {
            self.drop_attempt(edge, token);
        }
    }
}
