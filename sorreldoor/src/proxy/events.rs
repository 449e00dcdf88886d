//! The events of a `text/event-stream` body: where one ends, and which of them
//! the client has.

/// Events that go to the client.
#[derive(Debug, Default)]
pub struct Passed {
    pub bytes: Vec<u8>,
    /// The id of the last of them that has one.
    pub last_event: Option<u64>,
    /// A worker can continue behind them: each that holds data has an id.
    pub resumable: bool,
}

/// The length of the first whole event, with its empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(i) = bytes[at..].iter().position(|c| *c == b'\n') {
        let end = at + i + 1;
        let line = &bytes[at..end - 1];
        if line.strip_suffix(b"\r").unwrap_or(line).is_empty() {
            return Some(end);
        }
        at = end;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|b| *b == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok())
}

fn has_data(event: &[u8]) -> bool {
    event
        .split(|b| *b == b'\n')
        .any(|line| line.starts_with(b"data"))
}

/// Takes the whole events at the front of `received`, less those that a client
/// which has `last_event` holds already; at the end of the body, what is left too.
pub fn pass(received: &mut Vec<u8>, last_event: Option<u64>, at_end: bool) -> Passed {
    let mut passed = Passed {
        resumable: true,
        ..Passed::default()
    };
    let mut last = last_event;
    let mut at = 0;
    while let Some(length) = event_length(&received[at..]) {
        let event = &received[at..at + length];
        let id = event_id(event);
        at += length;
        // a worker that goes on from an older event must not repeat one
        let known = id.is_some_and(|id| last.is_some_and(|l| id <= l));
        if known {
            continue;
        }
        passed.bytes.extend_from_slice(event);
        passed.resumable &= id.is_some() || !has_data(event);
        passed.last_event = id.or(passed.last_event);
        last = id.or(last);
    }
    received.drain(..at);
    if at_end {
        passed.bytes.append(received);
    }
    passed
}
