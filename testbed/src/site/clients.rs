//! Simulated clients: they send requests, follow redirects, retry after the delay
//! in a rejection, and record every response.

use super::workers::WorkerRequest;
use super::{ReceivedBody, World};
use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::{RequestProfile, RequestSpec};
use sorreldoor::gateway::EdgeEvent;
use sorreldoor::types::Millis;

/// One-way delay between a client and its edge.
const CLIENT_DELAY_MS: Millis = 1;
/// Random addition to the delay of a retry.
const RETRY_JITTER_MS: Millis = 1000;

/// The outcome of a request at its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutcome {
    /// The request is still in flight.
    Pending,
    /// A complete response; the number is the client for whom it was produced.
    Complete(u64),
    /// A stream that ended with its terminating event.
    StreamComplete,
    /// A stream that the edge reported as broken.
    StreamBroken,
    /// The edge rejected the request with this error.
    Rejected(ErrorCode),
    /// The connection to the edge was lost.
    ConnectionLost,
    /// The client cancelled the request.
    Cancelled,
}

impl ClientOutcome {
    /// Whether it promises that the request was not executed and will not be.
    #[must_use]
    pub fn promises_not_executed(&self) -> bool {
        use ErrorCode::*;
        match self {
            ClientOutcome::Rejected(code) => !matches!(
                code,
                OutcomeUnknown | DuplicateRequestId | StreamInterrupted
            ),
            _ => false,
        }
    }
}

/// One client with its only request.
#[derive(Clone, Debug)]
pub struct Client {
    pub route: String,
    /// The idempotency key; the same for retries of a request.
    pub id: String,
    /// The prefix key for affinity; may be empty.
    pub key: String,
    /// The home region of the request, by index.
    pub home: Option<u8>,
    /// The edge, by process.
    pub edge: usize,
    /// Events of the stream that it asks for; 0 for a plain response.
    pub events: u64,
    pub start: Millis,
    pub end: Millis,
    pub outcome: ClientOutcome,
    /// Sequence numbers of the stream's events, in order of arrival.
    pub received_events: Vec<u64>,
    pub end_received: bool,
    /// The head of the stream has arrived.
    pub stream_started: bool,
    /// The request was sent again under its id, at another edge.
    pub retried: bool,
    /// Earlier attempts that were rejected and retried after the given delay.
    pub retries: u32,
    pub redirected: bool,
}

impl Client {
    fn is_pending(&self) -> bool {
        self.outcome == ClientOutcome::Pending
    }
}

/// Events of the streams that a route's requests ask for.
fn stream_events(route: &str) -> u64 {
    match route {
        "verdict" => 2,
        "draft" => 20,
        _ => 0,
    }
}

impl World {
    /// Sends a new request to an edge; returns the number of its client.
    pub fn send_request(&mut self, edge: usize, route: &str, key: &str, home: Option<u8>) -> u64 {
        let client_id = self.number();
        let client = Client {
            route: route.into(),
            id: format!("e{client_id}"),
            key: key.into(),
            home,
            edge,
            events: stream_events(route),
            start: self.now,
            end: 0,
            outcome: ClientOutcome::Pending,
            received_events: Vec::new(),
            end_received: false,
            stream_started: false,
            retried: false,
            retries: 0,
            redirected: false,
        };
        self.clients.insert(client_id, client);
        self.request_admission(client_id);
        client_id
    }

    /// Sends the request of a client again, under its id, to another edge; returns
    /// the number of the new client.
    pub fn retry_request(&mut self, client_id: u64, edge: usize) -> u64 {
        let first = self.clients[&client_id].clone();
        if let Some(client) = self.clients.get_mut(&client_id) {
            client.retried = true;
        }
        let retry_id = self.send_request(edge, &first.route, &first.key, first.home);
        if let Some(retry) = self.clients.get_mut(&retry_id) {
            retry.id = first.id;
        }
        retry_id
    }

    fn request_spec(&self, client_id: u64, profile: RequestProfile) -> RequestSpec {
        let client = &self.clients[&client_id];
        RequestSpec {
            route: client.route.clone(),
            id: client.id.clone(),
            client_supplied_id: self.client_chosen_ids,
            profile,
            key: client.key.clone(),
            home: client.home,
            adapter: None,
        }
    }

    /// Sends the head of a request; the body follows after its admission.
    fn request_admission(&mut self, client_id: u64) {
        let edge = self.clients[&client_id].edge;
        if !self.processes[edge].up {
            return self.finish_client(client_id, ClientOutcome::ConnectionLost);
        }
        let incarnation = self.processes[edge].incarnation;
        self.after(CLIENT_DELAY_MS, move |world| {
            if !world.runs(edge, incarnation) {
                return world.finish_client(client_id, ClientOutcome::ConnectionLost);
            }
            world.deliver_to_process(edge, incarnation, move |world| {
                let event = EdgeEvent::CheckAdmission {
                    request_id: client_id,
                    spec: world.request_spec(client_id, RequestProfile::default()),
                };
                world.edge_step(edge, event);
            });
        });
    }

    /// Sends the body of a request that the edge has admitted.
    pub(crate) fn send_body(&mut self, edge: usize, client_id: u64, profile: RequestProfile) {
        let incarnation = self.processes[edge].incarnation;
        // the configuration under which the edge admits it
        let doc = self.doc_at(edge);
        self.after(CLIENT_DELAY_MS, move |world| {
            world.deliver_to_process(edge, incarnation, move |world| {
                world.received_bodies.push(ReceivedBody {
                    at: world.now,
                    edge,
                    client: client_id,
                    doc,
                });
                let event = EdgeEvent::Submit {
                    request_id: client_id,
                    spec: world.request_spec(client_id, profile),
                };
                world.edge_step(edge, event);
            });
        });
    }

    /// The client of an edge's request, unless it was redirected to another edge.
    pub(crate) fn client_of(&self, edge: usize, request_id: u64) -> Option<u64> {
        let client = self.clients.get(&request_id)?;
        (client.edge == edge).then_some(request_id)
    }

    /// Records the outcome of a request that is still pending.
    pub(crate) fn finish_client(&mut self, client_id: u64, outcome: ClientOutcome) {
        let now = self.now;
        let client = self.clients.get_mut(&client_id);
        if let Some(client) = client.filter(|client| client.is_pending()) {
            client.outcome = outcome;
            client.end = now;
        }
    }

    /// Records a rejection by the edge; the client may retry.
    pub(crate) fn reject(&mut self, client_id: u64, error_code: ErrorCode, retry_after_s: u64) {
        let client = self.clients.get(&client_id);
        let pending = client.is_some_and(Client::is_pending);
        self.finish_client(client_id, ClientOutcome::Rejected(error_code));
        if pending && error_code.is_retryable() && self.max_client_retries > 0 {
            self.retry_later(client_id, retry_after_s);
        }
    }

    /// Schedules a client's retry after the given delay, at a ready edge of its
    /// region if there is one, unless it has used all its retries.
    fn retry_later(&mut self, client_id: u64, retry_after_s: u64) {
        let retries = self.clients[&client_id].retries + 1;
        if retries > self.max_client_retries {
            return;
        }
        let after_s = self.fixed_retry_after_s.unwrap_or(retry_after_s.max(1));
        let wait = after_s * 1000 + self.rng.below(RETRY_JITTER_MS);
        self.after(wait, move |world| {
            let region = world.processes[world.clients[&client_id].edge].region;
            let edges = world.edges_for_retry(region);
            let edge = edges[world.rng.below(edges.len() as u64) as usize];
            let retry_id = world.retry_request(client_id, edge);
            if let Some(retry) = world.clients.get_mut(&retry_id) {
                retry.retries = retries;
            }
        });
    }

    /// The ready edges of a region, or all edges if none is ready there.
    fn edges_for_retry(&self, region: u8) -> Vec<usize> {
        let is_ready = |edge: usize| {
            let controller = self.edge_controller(edge);
            controller.is_some_and(|controller| controller.ready().is_ok())
        };
        let edges = self.edges();
        let near: Vec<usize> = edges
            .iter()
            .copied()
            .filter(|edge| is_ready(*edge) && self.processes[*edge].region == region)
            .collect();
        if near.is_empty() {
            edges
        } else {
            near
        }
    }

    /// Redirects a request to another edge; a client follows one redirect only.
    pub(crate) fn redirect(&mut self, client_id: u64, name: String) {
        let mut processes = self.processes.iter();
        let target = processes.position(|process| process.name == name);
        let Some(client) = self.clients.get_mut(&client_id) else {
            return;
        };
        match target.filter(|_| !client.redirected) {
            Some(edge) => {
                client.edge = edge;
                client.redirected = true;
                self.request_admission(client_id);
            }
            None => self.finish_client(client_id, ClientOutcome::ConnectionLost),
        }
    }

    /// Forwards an attempt's response to the client: complete, or a stream's head.
    pub(crate) fn deliver_response(&mut self, edge: usize, client_id: u64, token: u64) {
        let attempt = self.processes[edge].attempts.get(&token);
        match attempt.and_then(|attempt| attempt.completed_for) {
            Some(of) => self.finish_client(client_id, ClientOutcome::Complete(of)),
            None => {
                if let Some(client) = self.clients.get_mut(&client_id) {
                    client.stream_started = true;
                }
            }
        }
    }

    /// Forwards an event of a stream through the edge to the client.
    pub(crate) fn deliver_stream_event(&mut self, request: WorkerRequest, seq: u64, last: bool) {
        let (edge, incarnation) = (request.edge, request.incarnation);
        self.deliver_to_process(edge, incarnation, move |world| {
            if !world.processes[edge].attempts.contains_key(&request.token) {
                return;
            }
            let client = world.clients.get_mut(&request.request_id);
            if let Some(client) = client.filter(|client| client.is_pending()) {
                client.received_events.push(seq);
                client.end_received |= last;
            }
            if last {
                world.finish_client(request.request_id, ClientOutcome::StreamComplete);
            }
        });
    }

    /// Records a broken stream, if it had started.
    pub(crate) fn break_stream(&mut self, client_id: u64) {
        let client = self.clients.get(&client_id);
        if client.is_some_and(|client| client.stream_started) {
            self.finish_client(client_id, ClientOutcome::StreamBroken);
        }
    }

    /// Drops a crashed edge's attempts and its clients' connections.
    pub(crate) fn lose_client_connections(&mut self, edge: usize) {
        self.drop_attempts(edge);
        let lost: Vec<u64> = self
            .clients
            .iter()
            .filter(|(_, client)| client.edge == edge && client.is_pending())
            .map(|(client_id, _)| *client_id)
            .collect();
        for client_id in lost {
            self.finish_client(client_id, ClientOutcome::ConnectionLost);
        }
    }

    /// Closes a client's connection before the response is complete.
    pub fn cancel_request(&mut self, client_id: u64) {
        let edge = self.clients[&client_id].edge;
        let incarnation = self.processes[edge].incarnation;
        self.finish_client(client_id, ClientOutcome::Cancelled);
        self.deliver_to_process(edge, incarnation, move |world| {
            let event = EdgeEvent::CallerDisconnected {
                request_id: client_id,
            };
            world.edge_step(edge, event)
        });
    }
}
