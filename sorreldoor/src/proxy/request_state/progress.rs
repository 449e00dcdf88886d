//! [`RequestProgress`]: the state of a request and its transitions.

use super::{Repeatability, RequestEvent};

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// No attempt is in progress: the first has not begun, or the last has ended.
    Queued,
    /// A worker was chosen; whether the connection is established is not known.
    Connecting,
    /// The connection is established and the request is being written.
    Sending {
        /// Bytes that the operating system accepted.
        bytes_written: u64,
    },
    /// The complete request was written.
    AwaitingHead,
    /// The head of the request's own response was received.
    Relaying,
    /// Final: the client has its response, or has disconnected.
    Done,
}

/// How much of a response the client has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Delivered {
    Nothing,
    /// Complete events; another worker can resume the stream after the last one.
    Resumable,
    /// Data after which no worker can resume the stream.
    Unresumable,
}

/// The state machine of one request, from arrival to end. The balancer owns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestProgress {
    pub(super) state: State,
    /// From its route in the current configuration.
    pub(super) repeatability: Repeatability,
    /// Whether an attempt began while its route was non-idempotent.
    pub(super) sent_as_non_idempotent: bool,
    /// Whether an attempt that has ended may have run it.
    pub(super) may_have_run: bool,
    pub(super) delivered: Delivered,
    pub(super) deadline_passed: bool,
    pub(super) shutting_down: bool,
}

impl RequestProgress {
    /// A request that has just arrived.
    pub fn new(repeatability: Repeatability) -> RequestProgress {
        RequestProgress {
            state: State::Queued,
            repeatability,
            sent_as_non_idempotent: false,
            may_have_run: false,
            delivered: Delivered::Nothing,
            deadline_passed: false,
            shutting_down: false,
        }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Applies an event. An event that does not fit the state has no effect, or
    /// ends the attempt.
    pub fn apply(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::ConfigurationChanged(updated) => self.repeatability = updated,
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
            RequestEvent::WorkerChosen(repeatability) => self.on_worker_chosen(repeatability),
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

    /// Whether the current attempt or an earlier one may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.bytes_may_have_left()
    }

    /// Whether any part of a response was forwarded to the client.
    pub fn part_delivered(&self) -> bool {
        self.delivered != Delivered::Nothing
    }

    fn awaiting_response(&self) -> bool {
        matches!(
            self.state,
            State::Connecting | State::Sending { .. } | State::AwaitingHead
        )
    }

    /// Whether bytes of the current attempt may have left this process. True for
    /// `Connecting`: only [`RequestEvent::ConnectFailed`] shows that none did.
    fn bytes_may_have_left(&self) -> bool {
        match self.state {
            State::Queued | State::Done => false,
            State::Sending { bytes_written } => bytes_written > 0,
            State::Connecting | State::AwaitingHead | State::Relaying => true,
        }
    }

    fn on_worker_chosen(&mut self, repeatability: Repeatability) {
        if self.state != State::Queued {
            return;
        }
        self.repeatability = repeatability;
        self.sent_as_non_idempotent |= repeatability == Repeatability::NonIdempotent;
        self.state = State::Connecting;
    }

    fn on_bytes_written(&mut self, count: u64) {
        if let State::Sending { bytes_written } = self.state {
            let bytes_written = bytes_written.saturating_add(count);
            self.state = State::Sending { bytes_written };
        }
    }

    /// An attempt of which no byte was written has no effect on `may_have_run`.
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

    /// The worker's statement is valid only before a response head. After one, the
    /// attempt ends as one that may have run the request.
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

    /// Ends the current attempt, and records whether it may have run the request.
    fn end_attempt(&mut self) {
        self.may_have_run |= self.bytes_may_have_left();
        if self.state != State::Done {
            self.state = State::Queued;
        }
    }
}
