//! Reading a complete response body before any of it is forwarded.

use super::attempt::Attempt;
use super::connection_pool::Connection;
use super::worker_wait::{wait_for_worker, Wakeup};
use crate::proxy::client::Client;
use crate::proxy::dialect::Dialect;
use crate::proxy::http1::{BodyDecoder, Framing, Head};
use crate::proxy::request_state::RequestEvent;
use crate::runtime::Clock;
use crate::types::Millis;

/// Limit on the body of a response, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Reads the body within `timeout_ms`, and returns the connection to the pool if it
/// can be reused.
///
/// # Errors
/// The event that ended the reading; the connection is closed.
pub async fn read_response_body<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    client: &Client,
    mut connection: Connection,
    head: &Head,
    framing: Framing,
    timeout_ms: Millis,
) -> Result<Vec<u8>, RequestEvent> {
    let deadline = attempt.now().saturating_add(timeout_ms);
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        let failure = match decoder.decode(&mut connection.buffer, &mut body) {
            Ok(true) => break,
            Ok(false) if body.len() <= MAX_BODY_BYTES => {
                let left = deadline.saturating_sub(attempt.now());
                match wait_for_worker(&mut connection, Some(client), left).await {
                    Wakeup::BytesRead => continue,
                    // unlike a close, a reset may have lost bytes
                    Wakeup::WorkerClosed if decoder.is_complete_at_close() => break,
                    Wakeup::WorkerClosed => RequestEvent::Closed,
                    Wakeup::WorkerReset => RequestEvent::Reset,
                    Wakeup::ClientDisconnected => RequestEvent::ClientDone,
                    Wakeup::TimedOut => RequestEvent::DeadlinePassed,
                }
            }
            Ok(false) | Err(_) => RequestEvent::Malformed,
        };
        attempt.close_connection(connection);
        return Err(failure);
    }
    attempt.release_connection(connection, head, &decoder);
    Ok(body)
}
