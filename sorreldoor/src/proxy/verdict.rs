//! Whose answer a worker's head is, and whether it can be used. Pure.

use super::attempt::Event;
use super::dialect::ResponseMetadata;
use super::http1::{Framing, Head};
use crate::invariants::{broken, Invariant};

/// What the proxy knows of the request that an answer should belong to.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    pub id: &'a str,
    pub method: &'a str,
}

/// What a head means for the request that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request's own answer, with a body in this framing.
    Own(Framing),
    /// The worker promises that the request did not and will not run.
    NotRun(Framing),
    /// Another worker has this address; the request did not run.
    Misdirected,
    /// It cannot be used, and the connection neither.
    Unusable(Event),
}

/// Decides whose answer `head` is before any byte of it may go to the client.
pub fn classify_response(
    head: &Head,
    metadata: &ResponseMetadata,
    expected: &Expected,
) -> ResponseClass {
    if !is_own(head, metadata, expected) && !broken(Invariant::AnswerId) {
        return ResponseClass::Unusable(Event::HeadOfOtherRequest);
    }
    if metadata.misdirected {
        return ResponseClass::Misdirected;
    }
    let success = (200..300).contains(&head.status);
    let Ok(framing) = head.response_framing(expected.method) else {
        return ResponseClass::Unusable(Event::Malformed);
    };
    // an end of the connection would look like the end of such an answer
    if framing == Framing::Close && success && !broken(Invariant::WholeAnswer) {
        return ResponseClass::Unusable(Event::Malformed);
    }
    match (metadata.not_run, success) {
        // it cannot both have succeeded and not have run
        (true, true) => ResponseClass::Unusable(Event::Malformed),
        (true, false) => ResponseClass::NotRun(framing),
        (false, _) => ResponseClass::Own(framing),
    }
}

/// Every answer names the request that it answers, a refusal too: a late answer
/// may stand where this one is due, and its promise would be another request's.
fn is_own(head: &Head, metadata: &ResponseMetadata, expected: &Expected) -> bool {
    let success = (200..300).contains(&head.status);
    match &metadata.id {
        Some(id) => id == expected.id && (metadata.signed_by_worker || !success),
        None => expected.id.is_empty() && !success,
    }
}
