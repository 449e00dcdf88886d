//! Waiting for the head of a worker's answer.

use super::attempt::Event;
use super::client::Client;
use super::dialect::Dialect;
use super::exchange::{Exchange, SILENCE_CHECK_MS};
use super::http1::{parse_response_head, Head, ReadBuffer};
use super::pool::Connection;
use super::wait::{wait_for_worker, Wakeup};
use crate::configuration::hosted::{Kind, Route};
use crate::runtime::Clock;
use crate::types::Millis;

/// Silence at a worker is not taken for its end before this.
const LEAST_PATIENCE_MS: Millis = 400;
/// The same for answers that are small and may be asked for again.
const LEAST_SMALL_PATIENCE_MS: Millis = 150;
/// The part of the aim for which such an answer is waited for, in tenths.
const SMALL_PATIENCE_TENTHS: Millis = 6;

/// The next head in the buffer that is no interim (1xx) one.
pub fn final_head(buf: &mut ReadBuffer) -> Result<Option<Head>, Event> {
    loop {
        match parse_response_head(buf) {
            Ok(Some(head)) if (100..200).contains(&head.status) => {}
            Ok(head) => return Ok(head),
            Err(_) => return Err(Event::Malformed),
        }
    }
}

/// How long a worker may be silent before its head.
fn patience(route: &Route) -> Millis {
    if route.aim_ms == 0 {
        return Millis::MAX / 4;
    }
    match route.kind {
        // a small answer that is lost is best asked for again while that is in time
        Kind::Idempotent => {
            (route.aim_ms * SMALL_PATIENCE_TENTHS / 10).max(LEAST_SMALL_PATIENCE_MS)
        }
        Kind::Once | Kind::Stream => route.aim_ms.max(LEAST_PATIENCE_MS),
    }
}

/// The head of the answer, or how the wait for it ended.
pub async fn await_head<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    client: &Client,
    connection: &mut Connection,
) -> Result<Head, Event> {
    let small = exchange.route.kind == Kind::Idempotent;
    let patience = patience(exchange.route);
    let began = exchange.now();
    let mut until = began.saturating_add(patience);
    loop {
        if let Some(head) = final_head(&mut connection.buf)? {
            return Ok(head);
        }
        let now = exchange.now();
        if now >= exchange.deadline {
            return Err(Event::DeadlinePassed);
        }
        if now >= until {
            // a worker that speaks to others is slow, but not for twice as long
            let slow = small || now >= began.saturating_add(2 * patience);
            if exchange.may_move(if slow { 0 } else { patience }) {
                return Err(Event::Silence);
            }
            until = now + SILENCE_CHECK_MS;
        }
        let wait_ms = until.min(exchange.deadline) - now;
        match wait_for_worker(connection, Some(client), wait_ms).await {
            Wakeup::BytesRead | Wakeup::TimedOut => {}
            Wakeup::WorkerClosed => return Err(Event::Closed),
            Wakeup::WorkerReset => return Err(Event::Reset),
            Wakeup::ClientGone => return Err(Event::ClientDone),
        }
    }
}
