//! The states of one client request at the proxy, from its arrival to its end.
//!
//! This module is pure: [`RequestEvent`]s go in, and two questions can be asked at any
//! moment. [`RequestProgress::may_send`] says whether the request may be sent to
//! a worker, for the first time or as a retry; [`RequestProgress::fallback_response`]
//! says what the client may be answered if no worker's response can be forwarded.
//! Nothing else in the proxy decides either of them.
//!
//! A request *may have run* from the moment its first byte may have left this
//! process until a worker promises that it did not run. Neither a time-out, a
//! reset, a close, a shutdown nor a new configuration takes that back.

mod event;
mod progress;
mod repeatability;
mod retry_decision;

pub use event::RequestEvent;
pub use progress::{RequestProgress, State};
pub use repeatability::Repeatability;
pub use retry_decision::FallbackResponse;
