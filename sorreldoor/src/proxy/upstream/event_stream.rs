//! Server-sent events of a `text/event-stream` body (HTML standard, section
//! 9.2): splits a body into events, and drops those that the client already has.

/// Events to be forwarded to the client.
#[derive(Debug, Default)]
pub struct ForwardedEvents {
    /// The events as received.
    pub bytes: Vec<u8>,
    /// The id of the last event that has one.
    pub last_event: Option<u64>,
    /// Whether each event with data has an id, so that another worker can resume
    /// the stream after them.
    pub resumable: bool,
}

/// The length in bytes of the first complete event, with the empty line that ends
/// it; `None` if there is none.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(length) = bytes[start..].iter().position(|b| *b == b'\n') {
        let end = start + length + 1;
        let line = &bytes[start..end - 1];
        if line.strip_suffix(b"\r").unwrap_or(line).is_empty() {
            return Some(end);
        }
        start = end;
    }
    None
}

/// The first `id` field of the event that is a number.
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

/// Removes the complete events from the front of `received`, and returns those
/// with no id or one above `last_event`. At the end of the body (`at_end`) it also
/// returns the bytes after the last complete event.
pub fn take_events(
    received: &mut Vec<u8>,
    last_event: Option<u64>,
    at_end: bool,
) -> ForwardedEvents {
    let mut forwarded = ForwardedEvents {
        resumable: true,
        ..ForwardedEvents::default()
    };
    let mut delivered = last_event;
    let mut start = 0;
    while let Some(length) = event_length(&received[start..]) {
        let event = &received[start..start + length];
        let id = event_id(event);
        start += length;
        // a worker may resume from an older event than requested; the client must not
        // get an event twice
        let duplicate = id.is_some_and(|id| delivered.is_some_and(|last| id <= last));
        if duplicate {
            continue;
        }
        forwarded.bytes.extend_from_slice(event);
        forwarded.resumable &= id.is_some() || !has_data(event);
        forwarded.last_event = id.or(forwarded.last_event);
        delivered = id.or(delivered);
    }
    received.drain(..start);
    if at_end {
        forwarded.bytes.append(received);
    }
    forwarded
}
