//! The events that change the state of a request.

use super::Repeatability;

/// An input of [`RequestProgress`](super::RequestProgress).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestEvent {
    /// The balancer chose a worker; the route has this repeatability.
    WorkerChosen(Repeatability),
    /// No connection was established, or it failed before any byte was written.
    ConnectFailed,
    /// The connection to the worker is established.
    Connected,
    /// The operating system accepted this many more bytes.
    BytesWritten(u64),
    /// The complete request was written.
    RequestSent,
    /// The worker states that it did not and will not run the request.
    NotRun,
    /// The head of this request's own response was received.
    HeadReceived,
    /// A response was received that belongs to another request, or to none.
    MismatchedHead,
    /// The received bytes are not a valid HTTP response.
    Malformed,
    /// The worker's response was read to its end.
    ResponseComplete,
    /// The head, and possibly part of the body, was forwarded to the client.
    PartDelivered {
        /// Whether another worker can resume the stream after this part.
        resumable: bool,
    },
    /// The connection to the worker failed.
    Reset,
    /// The worker closed the connection.
    Closed,
    /// The worker sent nothing within the idle time-out.
    IdleTimeout,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The client disconnected, or has its complete response.
    ClientDone,
    /// This node is shutting down and sends no more queued requests.
    Shutdown,
    /// A new configuration gives the route this repeatability.
    ConfigurationChanged(Repeatability),
}
