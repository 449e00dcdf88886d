//! Faults that a test can inject into a stub worker.

/// How a stub worker handles requests wrongly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    /// Executes the request, then closes the connection without a response.
    CloseConnection,
    /// States a longer body than it sends.
    TruncatedBody,
    /// A body that is not JSON.
    InvalidJson,
    /// States the id of another request in its response.
    WrongRequestId,
    /// Aborts a stream after its first event.
    TruncatedStream,
    /// Skips an event of a stream.
    SkippedEvent,
    /// Executes the request and never responds.
    NoResponse,
    /// Rejects the request with 503 and states that it did not run.
    Reject,
}

impl InjectedFault {
    /// The fault of that name in `POST /fault?mode=`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<InjectedFault> {
        Some(match name {
            "none" => InjectedFault::None,
            "hang-up" => InjectedFault::CloseConnection,
            "short" => InjectedFault::TruncatedBody,
            "garbage" => InjectedFault::InvalidJson,
            "wrong-errand" => InjectedFault::WrongRequestId,
            "cut-stream" => InjectedFault::TruncatedStream,
            "skip-event" => InjectedFault::SkippedEvent,
            "silent" => InjectedFault::NoResponse,
            "refuse" => InjectedFault::Reject,
            _ => return None,
        })
    }
}
