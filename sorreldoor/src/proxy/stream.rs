//! Streams of events: passed on as they come, continued at another worker
//! where the route allows, and never made to look finished when they are not.

use super::answer::{stream_head, whole_answer};
use super::attempt::Event;
use super::body::Decoder;
use super::client::Client;
use super::delivery::Delivery;
use super::dialect::Dialect;
use super::events::{self, Passed};
use super::exchange::{Exchange, Outcome, SILENCE_CHECK_MS};
use super::http1::{Framing, Head};
use super::pool::Connection;
use super::wait::{wait_for_worker, Wakeup};
use crate::balancer::AttemptOutcome;
use crate::runtime::Clock;
use crate::types::Millis;

/// Silence in the middle of a stream is not taken for its end before this.
const LEAST_GAP_MS: Millis = 400;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn chunk(bytes: &[u8], out: &mut Vec<u8>) {
    if !bytes.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
    }
}

/// A stream between a worker and the client.
struct Relay<'a, 'b, D, C> {
    exchange: &'a Exchange<'b, D, C>,
    client: &'a mut Client,
    delivery: &'a mut Delivery,
    head: Head,
    /// When the client was last given anything.
    passed_at: Millis,
    first: bool,
}

/// Passes a stream on until it ends, breaks, or is left for another worker.
pub async fn relay<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    client: &mut Client,
    delivery: &mut Delivery,
    mut connection: Connection,
    head: Head,
    framing: Framing,
) -> Outcome {
    let mut decoder = Decoder::new(framing);
    let mut received = Vec::new();
    let gap = longest_gap(exchange);
    let mut relay = Relay {
        exchange,
        client,
        delivery,
        head,
        passed_at: exchange.now(),
        first: true,
    };
    let mut until = relay.passed_at.saturating_add(gap);
    loop {
        let Ok(whole) = decoder.run(&mut connection.buf, &mut received) else {
            return relay.broke(connection, Event::Malformed);
        };
        let passed = events::pass(&mut received, relay.delivery.last_event, whole);
        if !passed.bytes.is_empty() || whole {
            if !relay.pass(passed, whole).await {
                exchange.close(connection);
                return exchange.client_gone();
            }
            until = relay.passed_at.saturating_add(gap);
        }
        if whole {
            exchange.release(connection, &relay.head, &decoder);
            return relay.finished();
        }
        let now = exchange.now();
        if now >= exchange.deadline {
            return relay.late(connection).await;
        }
        if now >= until {
            // a worker that speaks to others is slow, but not for twice as long
            let slow = now >= relay.passed_at.saturating_add(2 * gap);
            if exchange.may_move(if slow { 0 } else { gap }) {
                return relay.broke(connection, Event::Silence);
            }
            until = now + SILENCE_CHECK_MS;
        }
        let wait_ms = until.min(exchange.deadline) - now;
        match wait_for_worker(&mut connection, None, wait_ms).await {
            Wakeup::BytesRead => exchange.worker_alive(),
            Wakeup::TimedOut => {}
            Wakeup::WorkerReset => return relay.broke(connection, Event::Reset),
            Wakeup::WorkerClosed | Wakeup::ClientGone => {
                return relay.broke(connection, Event::Closed)
            }
        }
    }
}

/// A pause shorter than what makes an answer late gives no reason to move.
fn longest_gap<D: Dialect, C: Clock>(exchange: &Exchange<'_, D, C>) -> Millis {
    let gap = Some(exchange.route.gap_ms).filter(|g| *g > 0 && exchange.route.resume);
    gap.map_or(Millis::MAX / 4, |g| g.max(LEAST_GAP_MS))
}

impl<D: Dialect, C: Clock> Relay<'_, '_, D, C> {
    /// Gives events to the client; false once it is gone.
    async fn pass(&mut self, passed: Passed, whole: bool) -> bool {
        self.delivery.last_event = passed.last_event.or(self.delivery.last_event);
        let written = match self.client.http10 {
            true => self.pass_held(&passed, whole).await,
            false => self.pass_chunk(&passed, whole).await,
        };
        if std::mem::take(&mut self.first) {
            self.exchange.outcome(AttemptOutcome::FirstEvent);
        }
        self.passed_at = self.exchange.now();
        written
    }

    async fn pass_chunk(&mut self, passed: &Passed, whole: bool) -> bool {
        let mut out = Vec::new();
        if !self.delivery.head_sent {
            out = stream_head(self.client, &self.head);
            self.delivery.head_sent = true;
        }
        chunk(&passed.bytes, &mut out);
        if whole {
            out.extend_from_slice(LAST_CHUNK);
        }
        self.exchange.progressed(Event::PartDelivered {
            resumable: passed.resumable,
        });
        self.client.write(&out).await
    }

    /// Without chunks only a length shows that a stream is whole, so such a
    /// client gets it at its end.
    async fn pass_held(&mut self, passed: &Passed, whole: bool) -> bool {
        self.delivery.hold(&passed.bytes);
        if !whole {
            return true;
        }
        let body = self.delivery.take_held();
        let answer = whole_answer(self.client, &self.head, &body);
        self.client.write(&answer).await
    }

    fn finished(self) -> Outcome {
        self.exchange
            .outcome(AttemptOutcome::Completed(self.head.status));
        self.exchange.progressed(Event::ClientDone);
        let keep_alive = !self.client.close;
        Outcome::Finished { keep_alive }
    }

    /// The stream ends here at this worker; whether it goes on is the table's
    /// to say.
    fn broke(self, connection: Connection, event: Event) -> Outcome {
        self.exchange.close(connection);
        self.delivery.forget_held();
        self.exchange.worker_failed(event)
    }

    /// Its time is over; the worker is not to blame.
    async fn late(self, connection: Connection) -> Outcome {
        self.exchange.close(connection);
        self.exchange.progressed(Event::DeadlinePassed);
        self.exchange.outcome(AttemptOutcome::Canceled);
        let head_sent = self.delivery.head_sent;
        let keep_alive = !head_sent
            && self
                .client
                .answer(crate::error::ErrorCode::DeadlineExceeded, 0)
                .await;
        Outcome::Finished { keep_alive }
    }
}
