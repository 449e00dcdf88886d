//! The state machine of one client request, over all its attempts.
//!
//! [`RequestProgress`] is a pure function of its [`RequestEvent`]s. It is the only
//! place that decides
//! - whether a request may be sent to a worker, for the first time or as a retry
//!   ([`RequestProgress::may_send`]), and
//! - how the proxy responds if it forwards no worker's response
//!   ([`RequestProgress::fallback_response`]).
//!
//! An attempt *may have run* the request once its first byte may have left this
//! process, unless the worker states that it did not and will not run it. A
//! time-out, reset, close, shutdown or new configuration does not change that.

mod event;
mod progress;
mod repeatability;
mod retry_decision;

pub use event::RequestEvent;
pub use progress::{RequestProgress, State};
pub use repeatability::Repeatability;
pub use retry_decision::FallbackResponse;
