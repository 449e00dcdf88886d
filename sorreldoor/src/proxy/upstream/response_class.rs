//! Classification of a response by its head: whether it belongs to the request,
//! and whether it can be forwarded. Pure functions.

use crate::invariants::{is_disabled, Invariant};
use crate::proxy::dialect::ResponseMetadata;
use crate::proxy::http1::{Framing, Head};
use crate::proxy::request_state::RequestEvent;

/// The request whose response is expected.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedRequest<'a> {
    /// The client's id of its own attempt; empty if it gave none.
    pub client_attempt_id: &'a str,
    /// The request's method; a response to `HEAD` has no body.
    pub method: &'a str,
}

/// What a response head means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request's own response, with a body in this framing.
    Own(Framing),
    /// The worker states that the request did not and will not run.
    NotRun(Framing),
    /// Another worker responded at this address; the request did not run.
    Misdirected,
    /// The response cannot be used, and the connection must be closed.
    Unusable(RequestEvent),
}

/// Classifies a head, before any byte of it is forwarded to the client.
pub fn classify_response(
    head: &Head,
    metadata: &ResponseMetadata,
    expected: &ExpectedRequest,
) -> ResponseClass {
    let success = is_success(head);
    if !is_own(metadata, expected, success) && !is_disabled(Invariant::ResponseAttemptId) {
        return ResponseClass::Unusable(RequestEvent::MismatchedHead);
    }
    if metadata.misdirected {
        return ResponseClass::Misdirected;
    }
    let Ok(framing) = head.response_framing(expected.method) else {
        return ResponseClass::Unusable(RequestEvent::Malformed);
    };
    // the end of such a body cannot be distinguished from a broken connection
    if framing == Framing::Close && success && !is_disabled(Invariant::DelimitedResponse) {
        return ResponseClass::Unusable(RequestEvent::Malformed);
    }
    match (metadata.not_run, success) {
        // contradictory: a success that did not run
        (true, true) => ResponseClass::Unusable(RequestEvent::Malformed),
        (true, false) => ResponseClass::NotRun(framing),
        (false, _) => ResponseClass::Own(framing),
    }
}

/// Whether the status is a 2xx.
pub fn is_success(head: &Head) -> bool {
    (200..300).contains(&head.status)
}

/// Whether a response carries the id of the expected request. Rejections must
/// carry it too, since a late one may belong to an earlier request.
fn is_own(metadata: &ResponseMetadata, expected: &ExpectedRequest, success: bool) -> bool {
    match &metadata.client_attempt_id {
        Some(id) => id == expected.client_attempt_id && (metadata.signed_by_worker || !success),
        None => expected.client_attempt_id.is_empty() && !success,
    }
}
