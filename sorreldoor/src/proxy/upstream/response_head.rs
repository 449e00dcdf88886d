//! Waiting for the head of a worker's response, with a time-out for failover.

use super::attempt::{Attempt, FAILOVER_CHECK_INTERVAL_MS};
use super::connection_pool::Connection;
use super::worker_wait::{wait_for_worker, Wakeup};
use crate::configuration::hosted::{Kind, Route};
use crate::proxy::client::Client;
use crate::proxy::dialect::Dialect;
use crate::proxy::http1::{parse_response_head, Head, ReadBuffer};
use crate::proxy::request_state::RequestEvent;
use crate::runtime::Clock;
use crate::types::Millis;

/// The shortest time-out for the response head of a non-idempotent request.
const MIN_HEAD_TIMEOUT_MS: Millis = 400;
/// The shortest time-out for the response head of an idempotent request.
const MIN_IDEMPOTENT_HEAD_TIMEOUT_MS: Millis = 150;
/// An idempotent request's time-out, as tenths of the route's latency target.
const IDEMPOTENT_TIMEOUT_TENTHS: Millis = 6;
/// The time-out without a latency target: beyond any deadline, and safe to double.
const NO_TIMEOUT_MS: Millis = Millis::MAX / 4;

/// Removes response heads from the buffer up to the first final one, and returns
/// it. Interim (1xx) responses are skipped; `None` while the head is incomplete.
///
/// # Errors
/// [`RequestEvent::Malformed`] for a malformed or too large head.
pub fn take_final_head(buffer: &mut ReadBuffer) -> Result<Option<Head>, RequestEvent> {
    loop {
        match parse_response_head(buffer) {
            Ok(Some(head)) if (100..200).contains(&head.status) => {}
            Ok(head) => return Ok(head),
            Err(_) => return Err(RequestEvent::Malformed),
        }
    }
}

/// Milliseconds without a response head after which failover is considered.
fn head_timeout(route: &Route) -> Millis {
    if route.latency_target_ms == 0 {
        return NO_TIMEOUT_MS;
    }
    match route.kind {
        // early enough for a retry to meet the latency target
        Kind::Idempotent => (route.latency_target_ms * IDEMPOTENT_TIMEOUT_TENTHS / 10)
            .max(MIN_IDEMPOTENT_HEAD_TIMEOUT_MS),
        Kind::Once | Kind::Stream => route.latency_target_ms.max(MIN_HEAD_TIMEOUT_MS),
    }
}

/// Waits for the head of the response. After its time-out, the attempt is given up
/// as soon as the balancer allows failover.
///
/// # Errors
/// The event that ended the wait.
pub async fn await_head<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    client: &Client,
    connection: &mut Connection,
) -> Result<Head, RequestEvent> {
    let idempotent = attempt.route.kind == Kind::Idempotent;
    let timeout = head_timeout(attempt.route);
    let started_at = attempt.now();
    let mut check_at = started_at.saturating_add(timeout);
    loop {
        if let Some(head) = take_final_head(&mut connection.buffer)? {
            return Ok(head);
        }
        let now = attempt.now();
        if now >= attempt.deadline {
            return Err(RequestEvent::DeadlinePassed);
        }
        if now >= check_at {
            // a worker that sends other responses gets twice the time-out
            let overdue = idempotent || now >= started_at.saturating_add(2 * timeout);
            if attempt.may_fail_over(if overdue { 0 } else { timeout }) {
                return Err(RequestEvent::IdleTimeout);
            }
            check_at = now + FAILOVER_CHECK_INTERVAL_MS;
        }
        let wait_ms = check_at.min(attempt.deadline) - now;
        match wait_for_worker(connection, Some(client), wait_ms).await {
            Wakeup::BytesRead | Wakeup::TimedOut => {}
            Wakeup::WorkerClosed => return Err(RequestEvent::Closed),
            Wakeup::WorkerReset => return Err(RequestEvent::Reset),
            Wakeup::ClientDisconnected => return Err(RequestEvent::ClientDone),
        }
    }
}
