//! How far the answer to one client has come, over all workers that served it.

/// What the client holds of its answer, and what is kept for it.
#[derive(Debug, Default)]
pub struct Delivery {
    /// The head of a stream has gone to the client.
    pub head_sent: bool,
    /// The last event that the client has, or said it has.
    pub last_event: Option<u64>,
    /// A worker's failure, kept in case no other worker does better.
    pub failure: Option<Vec<u8>>,
    /// The stream of a client that cannot be sent chunks, until it is whole.
    held: Vec<u8>,
    /// The last event that the client said it has.
    asked_after: Option<u64>,
}

impl Delivery {
    pub fn new(last_event: Option<u64>) -> Delivery {
        Delivery {
            last_event,
            asked_after: last_event,
            ..Delivery::default()
        }
    }

    /// Keeps events for a client that can only be given them whole.
    pub fn hold(&mut self, events: &[u8]) {
        self.held.extend_from_slice(events);
    }

    /// Everything held, once the stream is whole.
    pub fn take_held(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.held)
    }

    /// The stream broke before the client had any of it: the next worker
    /// starts where the client asked.
    pub fn forget_held(&mut self) {
        if !self.head_sent {
            self.held.clear();
            self.last_event = self.asked_after;
        }
    }
}
