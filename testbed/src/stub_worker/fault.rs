//! Faults that a stub worker shows on request.

/// How a stub worker misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    /// Executes the request, then closes the connection without an answer.
    CloseConnection,
    /// States a longer body than it sends.
    TruncatedBody,
    /// A body that is not JSON.
    InvalidJson,
    /// Names another request in its response.
    WrongRequestId,
    /// Breaks a stream off after its first event.
    TruncatedStream,
    /// Skips an event of a stream.
    SkippedEvent,
    /// Accepts the request and never answers.
    NoResponse,
    /// Rejects the request as overloaded, and says that it did not execute.
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
