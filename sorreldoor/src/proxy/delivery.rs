//! What a client has received of its response, over all attempts.

/// What a client has received of its response, and what is buffered for it.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Whether the head of a stream was written to the client.
    pub head_sent: bool,
    /// The last event that the client has received, from this response or an earlier
    /// one (`Last-Event-ID`).
    pub last_event: Option<u64>,
    /// A worker's error response, sent to the client if no other attempt succeeds.
    pub error_response: Option<Vec<u8>>,
    /// Events for a client without chunked coding, until the stream is complete.
    buffered_stream: Vec<u8>,
    /// The `Last-Event-ID` of the client's request.
    requested_last_event: Option<u64>,
}

impl Delivery {
    /// Before the first attempt; the client resumes after `last_event`.
    pub fn new(last_event: Option<u64>) -> Delivery {
        Delivery {
            last_event,
            requested_last_event: last_event,
            ..Delivery::default()
        }
    }

    /// Buffers events for a client without chunked coding.
    pub fn buffer(&mut self, events: &[u8]) {
        self.buffered_stream.extend_from_slice(events);
    }

    /// Removes all buffered events.
    #[must_use]
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffered_stream)
    }

    /// Discards buffered events after a failed stream, so that the next attempt
    /// starts from the client's own `Last-Event-ID`. No effect once the head was sent.
    pub fn discard_buffered(&mut self) {
        if !self.head_sent {
            self.buffered_stream.clear();
            self.last_event = self.requested_last_event;
        }
    }
}
