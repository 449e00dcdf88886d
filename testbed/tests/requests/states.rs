//! Exhaustive exploration of the request state machine: every reachable state
//! under every event is compared with a reference model.

use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::proxy::request_state::{
    FallbackResponse, Repeatability, RequestEvent, RequestProgress, State,
};
use std::collections::HashSet;

const KINDS: [Repeatability; 3] = [
    Repeatability::Idempotent,
    Repeatability::NonIdempotent,
    Repeatability::ResumableStream,
];

fn events() -> Vec<RequestEvent> {
    let mut all = vec![
        RequestEvent::ConnectFailed,
        RequestEvent::Connected,
        RequestEvent::BytesWritten(1),
        RequestEvent::RequestSent,
        RequestEvent::NotRun,
        RequestEvent::HeadReceived,
        RequestEvent::MismatchedHead,
        RequestEvent::Malformed,
        RequestEvent::ResponseComplete,
        RequestEvent::PartDelivered { resumable: true },
        RequestEvent::PartDelivered { resumable: false },
        RequestEvent::Reset,
        RequestEvent::Closed,
        RequestEvent::IdleTimeout,
        RequestEvent::DeadlinePassed,
        RequestEvent::ClientDone,
        RequestEvent::Shutdown,
    ];
    all.extend(KINDS.map(RequestEvent::WorkerChosen));
    all.extend(KINDS.map(RequestEvent::ConfigurationChanged));
    all
}

/// Reference model without retry rules: whether the open attempt has sent
/// bytes, whether an earlier attempt may have run, and what the client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Model {
    kind: Repeatability,
    attempt_open: bool,
    connected: bool,
    bytes_sent: bool,
    head_received: bool,
    earlier_attempt_ran: bool,
    sent_non_idempotent: bool,
    client_received_part: bool,
    client_part_resumable: bool,
    client_done: bool,
    deadline_passed: bool,
    shutting_down: bool,
}

impl Model {
    fn new(kind: Repeatability) -> Model {
        Model {
            kind,
            attempt_open: false,
            connected: false,
            bytes_sent: false,
            head_received: false,
            earlier_attempt_ran: false,
            sent_non_idempotent: false,
            client_received_part: false,
            client_part_resumable: true,
            client_done: false,
            deadline_passed: false,
            shutting_down: false,
        }
    }

    fn end(&mut self, ran: bool) {
        self.earlier_attempt_ran |= ran && self.attempt_open;
        self.attempt_open = false;
        self.connected = false;
        self.bytes_sent = false;
        self.head_received = false;
    }

    fn on(&mut self, event: RequestEvent) {
        // without a report of the connection, bytes count as sent
        let may_have_sent = self.bytes_sent || !self.connected;
        match event {
            RequestEvent::WorkerChosen(kind) if !self.attempt_open && !self.client_done => {
                self.kind = kind;
                self.attempt_open = true;
                self.sent_non_idempotent |= kind == Repeatability::NonIdempotent;
            }
            RequestEvent::WorkerChosen(_) => {}
            RequestEvent::ConfigurationChanged(kind) => self.kind = kind,
            RequestEvent::Connected => self.connected |= self.attempt_open,
            RequestEvent::BytesWritten(_) => self.bytes_sent |= self.connected,
            RequestEvent::RequestSent | RequestEvent::HeadReceived if self.attempt_open => {
                self.connected = true;
                self.bytes_sent = true;
                self.head_received |= event == RequestEvent::HeadReceived;
            }
            RequestEvent::RequestSent | RequestEvent::HeadReceived => {}
            RequestEvent::ConnectFailed => self.end(self.bytes_sent),
            RequestEvent::NotRun => self.end(self.head_received),
            RequestEvent::PartDelivered { resumable } if self.head_received => {
                self.client_received_part = true;
                self.client_part_resumable &= resumable;
            }
            RequestEvent::PartDelivered { .. } => {}
            RequestEvent::DeadlinePassed => {
                self.deadline_passed = true;
                self.end(may_have_sent);
            }
            RequestEvent::ClientDone => {
                self.end(may_have_sent);
                self.client_done = true;
            }
            RequestEvent::Shutdown => self.shutting_down = true,
            _ => self.end(may_have_sent),
        }
    }

    fn may_have_run(&self) -> bool {
        self.earlier_attempt_ran || (self.attempt_open && (self.bytes_sent || !self.connected))
    }

    fn retry_allowed(&self) -> bool {
        let continues = !self.client_received_part
            || (self.client_part_resumable && self.kind == Repeatability::ResumableStream);
        self.kind != Repeatability::NonIdempotent && !self.sent_non_idempotent && continues
    }
}

/// How the state differs from what the model expects, if it does.
fn mismatch(progress: &RequestProgress, model: &Model) -> Option<String> {
    let may_send = progress.may_send();
    let fallback_response = progress.fallback_response();
    let ran = model.may_have_run();
    let idle = !model.attempt_open && !model.client_done && !model.deadline_passed;
    let expected_may_send = idle
        && match ran {
            true => model.retry_allowed(),
            false => !model.shutting_down,
        };
    let expected_fallback_response = match (
        model.client_received_part || model.client_done,
        ran,
        model.deadline_passed,
    ) {
        (true, _, _) => FallbackResponse::CloseConnection,
        (_, false, _) => FallbackResponse::ServiceUnavailable,
        (_, true, false) => FallbackResponse::BadGateway,
        (_, true, true) => FallbackResponse::GatewayTimeout,
    };
    if may_send != expected_may_send {
        return Some(format!("may_send is {may_send}, not {expected_may_send}"));
    }
    if fallback_response != expected_fallback_response {
        return Some(format!(
            "fallback_response is {fallback_response:?}, not {expected_fallback_response:?}"
        ));
    }
    (progress.may_have_run() != ran).then(|| format!("may_have_run is not {ran}"))
}

/// Visits all states that `depth` events can reach; returns their number, or
/// the first mismatch.
fn explore(depth: usize) -> Result<usize, String> {
    let mut visited = HashSet::new();
    let mut frontier: Vec<_> = KINDS
        .map(|k| (RequestProgress::new(k), Model::new(k)))
        .into();
    for _ in 0..depth {
        let mut next = Vec::new();
        for (progress, model) in frontier {
            for event in events() {
                let (mut p, mut s) = (progress, model);
                p.apply(event);
                s.on(event);
                if let Some(difference) = mismatch(&p, &s) {
                    return Err(format!(
                        "{progress:?} on {event:?}: {difference}\n{p:?}\n{s:?}"
                    ));
                }
                // larger byte counts do not lead to new states
                let counts_more_bytes =
                    matches!(p.state(), State::Sending { bytes_written } if bytes_written > 2);
                if !counts_more_bytes && visited.insert((p, s)) {
                    next.push((p, s));
                }
            }
        }
        frontier = next;
    }
    assert!(
        frontier.is_empty(),
        "states remain unvisited after {depth} events"
    );
    Ok(visited.len())
}

#[test]
fn every_reachable_state_matches_the_reference_model() {
    let states = explore(30).unwrap();
    println!("{states} states");
    assert!(states > 300, "{states} states");
}

#[test]
fn disabling_an_invariant_makes_the_exploration_find_a_mismatch() {
    for invariant in [Invariant::SafeReattempt, Invariant::CertainNotRun] {
        disable_only(Some(invariant));
        let explored = explore(30);
        disable_only(None);
        assert!(explored.is_err(), "no mismatch without {invariant:?}");
    }
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_certainly_did_not_run() {
    let uncertain_ends = [
        RequestEvent::Reset,
        RequestEvent::Closed,
        RequestEvent::IdleTimeout,
        RequestEvent::Malformed,
        RequestEvent::MismatchedHead,
        RequestEvent::Shutdown,
        RequestEvent::ConfigurationChanged(Repeatability::Idempotent),
    ];
    for end in uncertain_ends {
        let mut p = RequestProgress::new(Repeatability::NonIdempotent);
        for event in [
            RequestEvent::WorkerChosen(Repeatability::NonIdempotent),
            RequestEvent::Connected,
            RequestEvent::BytesWritten(1),
            end,
            RequestEvent::Closed,
        ] {
            p.apply(event);
        }
        assert!(!p.may_send(), "{end:?}");
        assert_eq!(
            p.fallback_response(),
            FallbackResponse::BadGateway,
            "{end:?}"
        );
    }
    for certain_end in [RequestEvent::NotRun, RequestEvent::ConnectFailed] {
        let mut p = RequestProgress::new(Repeatability::NonIdempotent);
        p.apply(RequestEvent::WorkerChosen(Repeatability::NonIdempotent));
        p.apply(certain_end);
        assert!(p.may_send(), "{certain_end:?}");
        assert_eq!(
            p.fallback_response(),
            FallbackResponse::ServiceUnavailable,
            "{certain_end:?}"
        );
    }
}
