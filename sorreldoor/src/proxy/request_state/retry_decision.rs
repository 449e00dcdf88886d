//! The decisions that follow from a request's state: whether it may be sent to
//! a worker, and the proxy's own response.

use super::progress::Delivered;
use super::{Repeatability, RequestProgress, State};
use crate::invariants::{is_disabled, Invariant};

/// The proxy's own response when it forwards no worker's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FallbackResponse {
    /// 503: the request did not run and will not run.
    ServiceUnavailable,
    /// 502: it may have run.
    BadGateway,
    /// 504: it may have run, and its deadline has passed.
    GatewayTimeout,
    /// None: the connection is closed, so that the client detects a truncated
    /// response.
    CloseConnection,
}

impl RequestProgress {
    /// Whether the request may be sent to a worker now, for the first time or
    /// as a retry.
    pub fn may_send(&self) -> bool {
        if self.state != State::Queued || self.deadline_passed {
            return false;
        }
        match self.may_have_run {
            true => self.may_run_twice(),
            false => !self.shutting_down,
        }
    }

    /// Whether the request may run again after an attempt may have run it. Does
    /// not depend on the state of the current attempt.
    pub fn may_run_twice(&self) -> bool {
        if is_disabled(Invariant::SafeReattempt) {
            return true;
        }
        let resumable = self.repeatability == Repeatability::ResumableStream;
        let retryable = resumable || self.repeatability == Repeatability::Idempotent;
        let can_continue = match self.delivered {
            Delivered::Nothing => retryable,
            Delivered::Resumable => resumable,
            Delivered::Unresumable => false,
        };
        can_continue && !self.sent_as_non_idempotent
    }

    /// The proxy's own response if the request ends now.
    pub fn fallback_response(&self) -> FallbackResponse {
        if self.delivered != Delivered::Nothing || self.state == State::Done {
            return FallbackResponse::CloseConnection;
        }
        if !self.may_have_run() || is_disabled(Invariant::CertainNotRun) {
            return FallbackResponse::ServiceUnavailable;
        }
        match self.deadline_passed {
            true => FallbackResponse::GatewayTimeout,
            false => FallbackResponse::BadGateway,
        }
    }
}
