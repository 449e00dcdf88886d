//! The state machine of one client request.

use super::{Repeatability, RequestEvent};

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// At no worker: not sent yet, or the last attempt has ended.
    Queued,
    /// A worker is chosen; no connection to it is known to be established.
    Connecting,
    /// The connection is established; `bytes_written` bytes may have left.
    Sending {
        /// Bytes that the operating system accepted.
        bytes_written: u64,
    },
    /// The complete request was written.
    AwaitingHead,
    /// The head of its own response was received.
    Relaying,
    /// Final: the client has its response, or has disconnected.
    Done,
}

/// How much of a response the client has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Delivered {
    Nothing,
    /// Complete events only; another worker can resume after the last one.
    Resumable,
    /// Data after which no worker can resume.
    Unresumable,
}

/// The state machine of one request, from arrival to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestProgress {
    pub(super) state: State,
    /// The kind of its route in the configuration in force.
    pub(super) kind: Repeatability,
    /// It was sent at least once under a non-idempotent route.
    pub(super) sent_as_non_idempotent: bool,
    /// An earlier attempt may have run it.
    pub(super) may_have_run: bool,
    pub(super) delivered: Delivered,
    pub(super) deadline_passed: bool,
    pub(super) shutting_down: bool,
}

impl RequestProgress {
    /// A request that has just arrived, on a route of this kind.
    pub fn new(kind: Repeatability) -> RequestProgress {
        RequestProgress {
            state: State::Queued,
            kind,
            sent_as_non_idempotent: false,
            may_have_run: false,
            delivered: Delivered::Nothing,
            deadline_passed: false,
            shutting_down: false,
        }
    }

    /// Its current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Applies an event.
    pub fn apply(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::ConfigurationChanged(kind) => self.kind = kind,
            RequestEvent::Shutdown => self.shutting_down = true,
            RequestEvent::DeadlinePassed => {
                self.deadline_passed = true;
                self.end_attempt();
            }
            RequestEvent::ClientDone => {
                self.end_attempt();
                self.state = State::Done;
            }
            RequestEvent::PartDelivered { resumable } => self.on_part_delivered(resumable),
            RequestEvent::WorkerChosen(kind) => self.on_worker_chosen(kind),
            RequestEvent::Connected => {
                if self.state == State::Connecting {
                    self.state = State::Sending { bytes_written: 0 };
                }
            }
            RequestEvent::BytesWritten(count) => self.on_bytes_written(count),
            RequestEvent::RequestSent => {
                if matches!(self.state, State::Connecting | State::Sending { .. }) {
                    self.state = State::AwaitingHead;
                }
            }
            RequestEvent::HeadReceived => {
                if self.awaiting_response() {
                    self.state = State::Relaying;
                }
            }
            RequestEvent::ConnectFailed => self.on_connect_failed(),
            RequestEvent::NotRun => self.on_not_run(),
            RequestEvent::MismatchedHead
            | RequestEvent::Malformed
            | RequestEvent::ResponseComplete
            | RequestEvent::Reset
            | RequestEvent::Closed
            | RequestEvent::IdleTimeout => self.end_attempt(),
        }
    }

    /// Whether a worker may have started to run it, in this attempt or an earlier one.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.bytes_may_have_left()
    }

    /// Whether any part of its response was forwarded to the client.
    pub fn part_delivered(&self) -> bool {
        self.delivered != Delivered::Nothing
    }

    fn awaiting_response(&self) -> bool {
        matches!(
            self.state,
            State::Connecting | State::Sending { .. } | State::AwaitingHead
        )
    }

    /// Whether the current attempt can have reached the worker. Only a reported
    /// failure of the connection shows that a `Connecting` one did not.
    fn bytes_may_have_left(&self) -> bool {
        match self.state {
            State::Queued | State::Done => false,
            State::Sending { bytes_written } => bytes_written > 0,
            State::Connecting | State::AwaitingHead | State::Relaying => true,
        }
    }

    fn on_worker_chosen(&mut self, kind: Repeatability) {
        if self.state != State::Queued {
            return;
        }
        self.kind = kind;
        self.sent_as_non_idempotent |= kind == Repeatability::NonIdempotent;
        self.state = State::Connecting;
    }

    fn on_bytes_written(&mut self, count: u64) {
        if let State::Sending { bytes_written } = self.state {
            let bytes_written = bytes_written.saturating_add(count);
            self.state = State::Sending { bytes_written };
        }
    }

    fn on_connect_failed(&mut self) {
        if matches!(
            self.state,
            State::Connecting | State::Sending { bytes_written: 0 }
        ) {
            self.state = State::Queued;
        } else {
            self.end_attempt();
        }
    }

    /// A promise of the worker counts only before the head of a response to this
    /// request was received.
    fn on_not_run(&mut self) {
        if self.awaiting_response() {
            self.state = State::Queued;
        } else {
            self.end_attempt();
        }
    }

    fn on_part_delivered(&mut self, resumable: bool) {
        if self.state != State::Relaying {
            return;
        }
        self.delivered = match (self.delivered, resumable) {
            (Delivered::Unresumable, _) | (_, false) => Delivered::Unresumable,
            (Delivered::Nothing | Delivered::Resumable, true) => Delivered::Resumable,
        };
    }

    fn end_attempt(&mut self) {
        self.may_have_run |= self.bytes_may_have_left();
        if self.state != State::Done {
            self.state = State::Queued;
        }
    }
}
