//! Whose response a worker's head is, and whether it can be used. Pure.

use crate::invariants::{broken, Invariant};
use crate::proxy::dialect::ResponseMetadata;
use crate::proxy::http1::{Framing, Head};
use crate::proxy::request_state::RequestEvent;

/// The request that a response should belong to.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedRequest<'a> {
    /// The client's id of the attempt; empty if it gave none.
    pub client_attempt_id: &'a str,
    /// The request's method; it decides whether a response has a body.
    pub method: &'a str,
}

/// What a head means for the request that waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request's own response, with a body in this framing.
    Own(Framing),
    /// The worker promises that the request did not and will not run.
    NotRun(Framing),
    /// Another worker has this address; the request did not run.
    Misdirected,
    /// Neither the response nor the connection can be used.
    Unusable(RequestEvent),
}

/// Classifies a head before any byte of it may be forwarded to the client.
pub fn classify_response(
    head: &Head,
    metadata: &ResponseMetadata,
    expected: &ExpectedRequest,
) -> ResponseClass {
    let success = is_success(head);
    if !is_own(metadata, expected, success) && !broken(Invariant::AnswerId) {
        return ResponseClass::Unusable(RequestEvent::MismatchedHead);
    }
    if metadata.misdirected {
        return ResponseClass::Misdirected;
    }
    let Ok(framing) = head.response_framing(expected.method) else {
        return ResponseClass::Unusable(RequestEvent::Malformed);
    };
    // a broken connection would look like the end of such a body
    if framing == Framing::Close && success && !broken(Invariant::WholeAnswer) {
        return ResponseClass::Unusable(RequestEvent::Malformed);
    }
    match (metadata.not_run, success) {
        // it cannot both have succeeded and not have run
        (true, true) => ResponseClass::Unusable(RequestEvent::Malformed),
        (true, false) => ResponseClass::NotRun(framing),
        (false, _) => ResponseClass::Own(framing),
    }
}

/// Whether the status is a 2xx.
pub fn is_success(head: &Head) -> bool {
    (200..300).contains(&head.status)
}

/// Every response names its request, a rejection too: a late response may
/// arrive in place of this one, and its promise would be another request's.
fn is_own(metadata: &ResponseMetadata, expected: &ExpectedRequest, success: bool) -> bool {
    match &metadata.client_attempt_id {
        Some(id) => id == expected.client_attempt_id && (metadata.signed_by_worker || !success),
        None => expected.client_attempt_id.is_empty() && !success,
    }
}
