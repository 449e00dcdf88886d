//! How much of its response one client has received, over all attempts.

/// How much of its response a client has received, and what is buffered for it.
#[derive(Debug, Default)]
pub struct Delivery {
    /// The head of a stream was written to the client.
    pub head_sent: bool,
    /// The last event that the client has, or said it has.
    pub last_event: Option<u64>,
    /// A worker's error response, kept in case no other worker does better.
    pub error_response: Option<Vec<u8>>,
    /// The stream so far of a client that cannot read chunks.
    buffered_stream: Vec<u8>,
    /// The `Last-Event-ID` of the client's request.
    requested_last_event: Option<u64>,
}

impl Delivery {
    /// Nothing delivered yet, to a client that resumes after `last_event`.
    pub fn new(last_event: Option<u64>) -> Delivery {
        Delivery {
            last_event,
            requested_last_event: last_event,
            ..Delivery::default()
        }
    }

    /// Buffers events for a client that needs the complete stream at once.
    pub fn buffer(&mut self, events: &[u8]) {
        self.buffered_stream.extend_from_slice(events);
    }

    /// Removes all buffered events.
    #[must_use]
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffered_stream)
    }

    /// Drops buffered events after a broken stream, so that the next worker
    /// starts where the client's request did; no effect once the head was sent.
    pub fn discard_buffered(&mut self) {
        if !self.head_sent {
            self.buffered_stream.clear();
            self.last_event = self.requested_last_event;
        }
    }
}
