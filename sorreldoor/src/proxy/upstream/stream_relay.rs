//! Forwarding an event stream to the client, event by event. A stream that fails
//! is resumed at another worker if the route allows it; otherwise the client can
//! detect that it is incomplete.

use super::attempt::{Attempt, AttemptResult, FAILOVER_CHECK_INTERVAL_MS};
use super::connection_pool::Connection;
use super::event_stream::{take_events, ForwardedEvents};
use super::worker_wait::{wait_for_worker, Wakeup};
use crate::balancer::AttemptOutcome;
use crate::error::ErrorCode;
use crate::proxy::client::Client;
use crate::proxy::delivery::Delivery;
use crate::proxy::dialect::Dialect;
use crate::proxy::http1::{BodyDecoder, Framing, Head};
use crate::proxy::request_state::RequestEvent;
use crate::proxy::response_writer::{complete_response, stream_head};
use crate::runtime::Clock;
use crate::types::Millis;

/// The shortest time-out between events, in milliseconds.
const MIN_EVENT_TIMEOUT_MS: Millis = 400;
/// Milliseconds without bytes after which the relay also waits for a disconnect of
/// the client. While events arrive, writing them detects it.
const QUIET_MS: Millis = 150;
/// The time-out without a latency target: beyond any deadline, and safe to double.
const NO_TIMEOUT_MS: Millis = Millis::MAX / 4;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Appends a chunk; an empty one would end the chunked body.
fn write_chunk(bytes: &[u8], out: &mut Vec<u8>) {
    if !bytes.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
    }
}

/// A stream that is being forwarded from a worker to the client.
struct StreamRelay<'a, 'b, D, C> {
    attempt: &'a Attempt<'b, D, C>,
    client: &'a mut Client,
    delivery: &'a mut Delivery,
    head: Head,
    /// When events were last forwarded, in milliseconds of the monotonic clock.
    forwarded_at: Millis,
    /// Whether no events of this worker were forwarded yet.
    awaiting_first_event: bool,
}

/// Forwards a stream until it ends, fails, or the attempt fails over.
pub async fn relay_stream<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
    mut connection: Connection,
    head: Head,
    framing: Framing,
) -> AttemptResult {
    let mut decoder = BodyDecoder::new(framing);
    let mut received = Vec::new();
    let timeout = event_timeout(attempt);
    let mut relay = StreamRelay {
        attempt,
        client,
        delivery,
        head,
        forwarded_at: attempt.now(),
        awaiting_first_event: true,
    };
    let mut check_at = relay.forwarded_at.saturating_add(timeout);
    let mut quiet = false;
    loop {
        let Ok(complete) = decoder.decode(&mut connection.buffer, &mut received) else {
            return relay.fail(connection, RequestEvent::Malformed);
        };
        let events = take_events(&mut received, relay.delivery.last_event, complete);
        if !events.bytes.is_empty() || complete {
            if !relay.forward(events, complete).await {
                attempt.close_connection(connection);
                return attempt.client_disconnected();
            }
            check_at = relay.forwarded_at.saturating_add(timeout);
        }
        if complete {
            attempt.release_connection(connection, &relay.head, &decoder);
            return relay.finish();
        }
        let now = attempt.now();
        if now >= attempt.deadline {
            return relay.deadline_passed(connection).await;
        }
        if now >= check_at {
            // a worker that sends other responses gets twice the time-out
            let overdue = now >= relay.forwarded_at.saturating_add(2 * timeout);
            if attempt.may_fail_over(if overdue { 0 } else { timeout }) {
                return relay.fail(connection, RequestEvent::IdleTimeout);
            }
            check_at = now + FAILOVER_CHECK_INTERVAL_MS;
        }
        let until_check = check_at.min(attempt.deadline) - now;
        let wakeup = if quiet {
            wait_for_worker(&mut connection, Some(relay.client), until_check).await
        } else {
            wait_for_worker(&mut connection, None, until_check.min(QUIET_MS)).await
        };
        quiet = wakeup == Wakeup::TimedOut;
        match wakeup {
            Wakeup::BytesRead => attempt.record_worker_activity(),
            Wakeup::TimedOut => {}
            Wakeup::WorkerReset => return relay.fail(connection, RequestEvent::Reset),
            Wakeup::WorkerClosed => return relay.fail(connection, RequestEvent::Closed),
            Wakeup::ClientDisconnected => {
                attempt.close_connection(connection);
                return attempt.client_disconnected();
            }
        }
    }
}

/// Milliseconds without an event after which failover is considered. Before that,
/// the stream still meets its latency target.
fn event_timeout<D: Dialect, C: Clock>(attempt: &Attempt<'_, D, C>) -> Millis {
    let route = attempt.route;
    if route.gap_ms == 0 || !route.resume {
        return NO_TIMEOUT_MS;
    }
    route.gap_ms.max(MIN_EVENT_TIMEOUT_MS)
}

impl<D: Dialect, C: Clock> StreamRelay<'_, '_, D, C> {
    /// Forwards events to the client; false if it has disconnected.
    async fn forward(&mut self, events: ForwardedEvents, complete: bool) -> bool {
        self.delivery.last_event = events.last_event.or(self.delivery.last_event);
        let written = match self.client.http10 {
            true => self.forward_buffered(&events, complete).await,
            false => self.forward_chunk(&events, complete).await,
        };
        if std::mem::take(&mut self.awaiting_first_event) {
            self.attempt.record_outcome(AttemptOutcome::FirstEvent);
        }
        self.forwarded_at = self.attempt.now();
        written
    }

    /// Writes events as one chunk, after the head if that was not sent before.
    async fn forward_chunk(&mut self, events: &ForwardedEvents, complete: bool) -> bool {
        let mut out = Vec::new();
        if !self.delivery.head_sent {
            out = stream_head(self.client, &self.head);
            self.delivery.head_sent = true;
        }
        write_chunk(&events.bytes, &mut out);
        if complete {
            out.extend_from_slice(LAST_CHUNK);
        }
        self.attempt.record_event(RequestEvent::PartDelivered {
            resumable: events.resumable,
        });
        self.client.write(&out).await
    }

    /// Buffers events for an HTTP/1.0 client, which receives the complete stream
    /// with its `Content-Length`. Without chunks it could not detect truncation.
    async fn forward_buffered(&mut self, events: &ForwardedEvents, complete: bool) -> bool {
        self.delivery.buffer(&events.bytes);
        if !complete {
            return true;
        }
        let body = self.delivery.take_buffered();
        let response = complete_response(self.client, &self.head, &body);
        self.client.write(&response).await
    }

    /// Ends the request after a complete stream.
    fn finish(self) -> AttemptResult {
        self.attempt
            .record_outcome(AttemptOutcome::Completed(self.head.status));
        self.attempt.record_event(RequestEvent::ClientDone);
        let keep_alive = !self.client.close_after_response;
        AttemptResult::Finished { keep_alive }
    }

    /// Ends the attempt after a failure of the worker. The balancer decides whether
    /// the stream is resumed at another.
    fn fail(self, connection: Connection, event: RequestEvent) -> AttemptResult {
        self.attempt.close_connection(connection);
        self.delivery.discard_buffered();
        self.attempt.worker_failed(event)
    }

    /// Ends the request at its deadline, which is not a failure of the worker.
    async fn deadline_passed(self, connection: Connection) -> AttemptResult {
        self.attempt.close_connection(connection);
        self.attempt.record_event(RequestEvent::DeadlinePassed);
        self.attempt.record_outcome(AttemptOutcome::Canceled);
        let head_sent = self.delivery.head_sent;
        let keep_alive = !head_sent && self.client.send_error(ErrorCode::DeadlineExceeded, 0).await;
        AttemptResult::Finished { keep_alive }
    }
}
