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
pub enum Verdict {
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
pub fn judge(head: &Head, told: &ResponseMetadata, expected: &Expected) -> Verdict {
    if !is_own(head, told, expected) && !broken(Invariant::AnswerId) {
        return Verdict::Unusable(Event::HeadOfOtherRequest);
    }
    if told.misdirected {
        return Verdict::Misdirected;
    }
    let success = (200..300).contains(&head.status);
    let Ok(framing) = head.answer_framing(expected.method) else {
        return Verdict::Unusable(Event::Malformed);
    };
    // an end of the connection would look like the end of such an answer
    if framing == Framing::Close && success && !broken(Invariant::WholeAnswer) {
        return Verdict::Unusable(Event::Malformed);
    }
    match (told.not_run, success) {
        // it cannot both have succeeded and not have run
        (true, true) => Verdict::Unusable(Event::Malformed),
        (true, false) => Verdict::NotRun(framing),
        (false, _) => Verdict::Own(framing),
    }
}

/// Every answer names the request that it answers, a refusal too: a late answer
/// may stand where this one is due, and its promise would be another request's.
fn is_own(head: &Head, told: &ResponseMetadata, expected: &Expected) -> bool {
    let success = (200..300).contains(&head.status);
    match &told.id {
        Some(id) => id == expected.id && (told.stamped || !success),
        None => expected.id.is_empty() && !success,
    }
}
