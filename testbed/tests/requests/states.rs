//! Every state of a request under every sequence of events, for every kind of
//! route, against a shadow that knows only what physically happened.

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

/// What happened, without any rule: which attempt holds bytes, whether one
/// that ended without a promise did, and what the client holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Shadow {
    kind: Repeatability,
    attempt_open: bool,
    connected: bool,
    bytes_left: bool,
    head_came: bool,
    ran_before: bool,
    sent_non_idempotent: bool,
    client_has_part: bool,
    client_part_resumable: bool,
    over: bool,
    late: bool,
    stopping: bool,
}

impl Shadow {
    fn new(kind: Repeatability) -> Shadow {
        Shadow {
            kind,
            attempt_open: false,
            connected: false,
            bytes_left: false,
            head_came: false,
            ran_before: false,
            sent_non_idempotent: false,
            client_has_part: false,
            client_part_resumable: true,
            over: false,
            late: false,
            stopping: false,
        }
    }

    fn end(&mut self, ran: bool) {
        self.ran_before |= ran && self.attempt_open;
        self.attempt_open = false;
        self.connected = false;
        self.bytes_left = false;
        self.head_came = false;
    }

    fn on(&mut self, event: Event) {
        // an end without a report of the connection counts as sent
        let left = self.bytes_left || !self.connected;
        match event {
            Event::WorkerChosen(kind) if !self.attempt_open && !self.over => {
                self.kind = kind;
                self.attempt_open = true;
                self.sent_non_idempotent |= kind == Repeatability::NonIdempotent;
            }
            Event::WorkerChosen(_) => {}
            Event::ConfigurationChanged(kind) => self.kind = kind,
            Event::Connected => self.connected |= self.attempt_open,
            Event::BytesWritten(_) => self.bytes_left |= self.connected,
            Event::RequestSent | Event::HeadReceived if self.attempt_open => {
                self.connected = true;
                self.bytes_left = true;
                self.head_came |= event == Event::HeadReceived;
            }
            Event::RequestSent | Event::HeadReceived => {}
            Event::ConnectFailed => self.end(self.bytes_left),
            Event::NotRun => self.end(self.head_came),
            Event::PartDelivered { resumable } if self.head_came => {
                self.client_has_part = true;
                self.client_part_resumable &= resumable;
            }
            Event::PartDelivered { .. } => {}
            Event::DeadlinePassed => {
                self.late = true;
                self.end(left);
            }
            Event::ClientDone => {
                self.end(left);
                self.over = true;
            }
            Event::Shutdown => self.stopping = true,
            _ => self.end(left),
        }
    }

    fn may_have_run(&self) -> bool {
        self.ran_before || (self.attempt_open && (self.bytes_left || !self.connected))
    }

    fn twice_allowed(&self) -> bool {
        let continues = !self.client_has_part
            || (self.client_part_resumable && self.kind == Repeatability::ResumableStream);
        self.kind != Repeatability::NonIdempotent && !self.sent_non_idempotent && continues
    }
}

/// What is wrong with one state, if anything.
fn fault(progress: &RequestProgress, shadow: &Shadow) -> Option<String> {
    let again = progress.may_send();
    let told = progress.client_answer();
    let ran = shadow.may_have_run();
    let idle = !shadow.attempt_open && !shadow.over && !shadow.late;
    let want = idle
        && match ran {
            true => shadow.twice_allowed(),
            false => !shadow.stopping,
        };
    let told_want = match (shadow.client_has_part || shadow.over, ran, shadow.late) {
        (true, _, _) => ClientAnswer::CutConnection,
        (_, false, _) => ClientAnswer::Refused,
        (_, true, false) => ClientAnswer::BadGateway,
        (_, true, true) => ClientAnswer::GatewayTimeout,
    };
    if again != want {
        return Some(format!("may_send is {again}, not {want}"));
    }
    if told != told_want {
        return Some(format!("client_answer is {told:?}, not {told_want:?}"));
    }
    (progress.may_have_run() != ran).then(|| format!("may_have_run is not {ran}"))
}

/// Walks through all states that `depth` events can reach; their number, or
/// the first fault.
fn explore(depth: usize) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut layer: Vec<_> = KINDS
        .map(|k| (RequestProgress::new(k), Shadow::new(k)))
        .into();
    for _ in 0..depth {
        let mut next = Vec::new();
        for (progress, shadow) in layer {
            for event in events() {
                let (mut p, mut s) = (progress, shadow);
                p.on(event);
                s.on(event);
                if let Some(what) = fault(&p, &s) {
                    return Err(format!("{progress:?} on {event:?}: {what}\n{p:?}\n{s:?}"));
                }
                // more bytes make no other state
                let many =
                    matches!(p.state(), State::Sending { bytes_written } if bytes_written > 2);
                if !many && seen.insert((p, s)) {
                    next.push((p, s));
                }
            }
        }
        layer = next;
    }
    assert!(layer.is_empty(), "the states are not exhausted");
    Ok(seen.len())
}

#[test]
fn every_state_under_every_event_keeps_both_rules() {
    let states = explore(30).unwrap();
    println!("{states} states");
    assert!(states > 300, "{states} states");
}

#[test]
fn without_the_rules_the_walk_finds_a_fault() {
    for rule in [Invariant::SendOnce, Invariant::HonestRefusal] {
        break_only(Some(rule));
        let found = explore(30);
        break_only(None);
        assert!(found.is_err(), "{rule:?} is not seen to be broken");
    }
}

#[test]
fn a_promise_frees_and_nothing_else_does() {
    let ends = [
        Event::Reset,
        Event::Closed,
        Event::IdleTimeout,
        Event::Malformed,
        Event::MismatchedHead,
        Event::Shutdown,
        Event::ConfigurationChanged(Repeatability::Idempotent),
    ];
    for end in ends {
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
    for promise in [Event::NotRun, Event::ConnectFailed] {
        let mut p = RequestProgress::new(Repeatability::NonIdempotent);
        p.on(Event::WorkerChosen(Repeatability::NonIdempotent));
        p.on(promise);
        assert!(p.may_send(), "{promise:?}");
        assert_eq!(p.client_answer(), ClientAnswer::Refused, "{promise:?}");
    }
}
