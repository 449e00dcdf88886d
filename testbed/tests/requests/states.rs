//! Exhaustive exploration of the request state machine: every reachable state
//! under every event is compared with a reference model.

use sorreldoor::invariants::{break_only, Invariant};
use sorreldoor::proxy::attempt::{ClientAnswer, Event, Repeatability, RequestProgress, State};
use std::collections::HashSet;

const KINDS: [Repeatability; 3] = [
    Repeatability::Idempotent,
    Repeatability::NonIdempotent,
    Repeatability::ResumableStream,
];

fn events() -> Vec<Event> {
    let mut all = vec![
        Event::ConnectFailed,
        Event::Connected,
        Event::BytesWritten(1),
        Event::RequestSent,
        Event::NotRun,
        Event::HeadReceived,
        Event::MismatchedHead,
        Event::Malformed,
        Event::ResponseComplete,
        Event::PartDelivered { resumable: true },
        Event::PartDelivered { resumable: false },
        Event::Reset,
        Event::Closed,
        Event::IdleTimeout,
        Event::DeadlinePassed,
        Event::ClientDone,
        Event::Shutdown,
    ];
    all.extend(KINDS.map(Event::WorkerChosen));
    all.extend(KINDS.map(Event::ConfigurationChanged));
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

    fn on(&mut self, event: Event) {
        // without a report of the connection, bytes count as sent
        let may_have_sent = self.bytes_sent || !self.connected;
        match event {
            Event::WorkerChosen(kind) if !self.attempt_open && !self.client_done => {
                self.kind = kind;
                self.attempt_open = true;
                self.sent_non_idempotent |= kind == Repeatability::NonIdempotent;
            }
            Event::WorkerChosen(_) => {}
            Event::ConfigurationChanged(kind) => self.kind = kind,
            Event::Connected => self.connected |= self.attempt_open,
            Event::BytesWritten(_) => self.bytes_sent |= self.connected,
            Event::RequestSent | Event::HeadReceived if self.attempt_open => {
                self.connected = true;
                self.bytes_sent = true;
                self.head_received |= event == Event::HeadReceived;
            }
            Event::RequestSent | Event::HeadReceived => {}
            Event::ConnectFailed => self.end(self.bytes_sent),
            Event::NotRun => self.end(self.head_received),
            Event::PartDelivered { resumable } if self.head_received => {
                self.client_received_part = true;
                self.client_part_resumable &= resumable;
            }
            Event::PartDelivered { .. } => {}
            Event::DeadlinePassed => {
                self.deadline_passed = true;
                self.end(may_have_sent);
            }
            Event::ClientDone => {
                self.end(may_have_sent);
                self.client_done = true;
            }
            Event::Shutdown => self.shutting_down = true,
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
    let client_answer = progress.client_answer();
    let ran = model.may_have_run();
    let idle = !model.attempt_open && !model.client_done && !model.deadline_passed;
    let expected_may_send = idle
        && match ran {
            true => model.retry_allowed(),
            false => !model.shutting_down,
        };
    let expected_client_answer = match (
        model.client_received_part || model.client_done,
        ran,
        model.deadline_passed,
    ) {
        (true, _, _) => ClientAnswer::CutConnection,
        (_, false, _) => ClientAnswer::Refused,
        (_, true, false) => ClientAnswer::BadGateway,
        (_, true, true) => ClientAnswer::GatewayTimeout,
    };
    if may_send != expected_may_send {
        return Some(format!("may_send is {may_send}, not {expected_may_send}"));
    }
    if client_answer != expected_client_answer {
        return Some(format!(
            "client_answer is {client_answer:?}, not {expected_client_answer:?}"
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
                p.on(event);
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
    for invariant in [Invariant::SendOnce, Invariant::HonestRefusal] {
        break_only(Some(invariant));
        let explored = explore(30);
        break_only(None);
        assert!(explored.is_err(), "no mismatch without {invariant:?}");
    }
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_certainly_did_not_run() {
    let uncertain_ends = [
        Event::Reset,
        Event::Closed,
        Event::IdleTimeout,
        Event::Malformed,
        Event::MismatchedHead,
        Event::Shutdown,
        Event::ConfigurationChanged(Repeatability::Idempotent),
    ];
    for end in uncertain_ends {
        let mut p = RequestProgress::new(Repeatability::NonIdempotent);
        for event in [
            Event::WorkerChosen(Repeatability::NonIdempotent),
            Event::Connected,
            Event::BytesWritten(1),
            end,
            Event::Closed,
        ] {
            p.on(event);
        }
        assert!(!p.may_send(), "{end:?}");
        assert_eq!(p.client_answer(), ClientAnswer::BadGateway, "{end:?}");
    }
    for certain_end in [Event::NotRun, Event::ConnectFailed] {
        let mut p = RequestProgress::new(Repeatability::NonIdempotent);
        p.on(Event::WorkerChosen(Repeatability::NonIdempotent));
        p.on(certain_end);
        assert!(p.may_send(), "{certain_end:?}");
        assert_eq!(p.client_answer(), ClientAnswer::Refused, "{certain_end:?}");
    }
}
