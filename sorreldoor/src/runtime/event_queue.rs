//! The bounded queue from the tasks and threads of a process to its event loop.
//! It has two lanes: urgent events are handled before ordinary ones, so that a
//! flood of ordinary events does not delay elections. Each lane is in order.

use async_std::channel::{bounded, Receiver, Sender, TrySendError};
use futures_lite::future;

/// An event with a priority, which determines its lane.
pub trait Prioritized {
    /// Whether it is handled before ordinary events, also earlier ones.
    fn is_urgent(&self) -> bool {
        false
    }
}

/// Why an event could not be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The event loop has ended.
    Closed,
    /// The lane of the event is full.
    Full,
}

/// The sending end; clones send to the same queue.
#[derive(Debug)]
pub struct EventSender<T> {
    urgent: Sender<T>,
    ordinary: Sender<T>,
}

/// The receiving end, for the event loop.
#[derive(Debug)]
pub struct EventReceiver<T> {
    urgent: Receiver<T>,
    ordinary: Receiver<T>,
}

/// Creates a queue with room for `capacity` events in each lane.
#[must_use]
pub fn event_queue<T>(capacity: usize) -> (EventSender<T>, EventReceiver<T>) {
    let (urgent_sender, urgent_receiver) = bounded(capacity);
    let (ordinary_sender, ordinary_receiver) = bounded(capacity);
    let sender = EventSender {
        urgent: urgent_sender,
        ordinary: ordinary_sender,
    };
    let receiver = EventReceiver {
        urgent: urgent_receiver,
        ordinary: ordinary_receiver,
    };
    (sender, receiver)
}

impl<T> Clone for EventSender<T> {
    fn clone(&self) -> EventSender<T> {
        EventSender {
            urgent: self.urgent.clone(),
            ordinary: self.ordinary.clone(),
        }
    }
}

impl<T: Prioritized> EventSender<T> {
    fn lane(&self, event: &T) -> &Sender<T> {
        if event.is_urgent() {
            &self.urgent
        } else {
            &self.ordinary
        }
    }

    /// Queues an event, waiting while its lane is full.
    ///
    /// # Errors
    /// The queue is closed.
    pub async fn send(&self, event: T) -> Result<(), SendError> {
        let sent = self.lane(&event).send(event).await;
        sent.map_err(|_| SendError::Closed)
    }

    /// As [`EventSender::send`], on the current thread.
    ///
    /// # Errors
    /// The queue is closed.
    pub fn send_blocking(&self, event: T) -> Result<(), SendError> {
        let sent = self.lane(&event).send_blocking(event);
        sent.map_err(|_| SendError::Closed)
    }

    /// Queues an event without waiting.
    ///
    /// # Errors
    /// The queue is closed, or the event's lane is full.
    pub fn try_send(&self, event: T) -> Result<(), SendError> {
        let sent = self.lane(&event).try_send(event);
        sent.map_err(|error| match error {
            TrySendError::Full(_) => SendError::Full,
            TrySendError::Closed(_) => SendError::Closed,
        })
    }
}

impl<T> EventReceiver<T> {
    /// Waits for the next event: an urgent one if there is any. `None` once all
    /// senders are dropped and the queue is empty.
    pub async fn recv(&self) -> Option<T> {
        // `or` polls the urgent lane first
        future::or(self.urgent.recv(), self.ordinary.recv())
            .await
            .ok()
    }

    /// As [`EventReceiver::recv`], on the current thread.
    pub fn recv_blocking(&self) -> Option<T> {
        future::block_on(self.recv())
    }
}
