//! Sending a request to a worker: acquires a connection, writes the request, and
//! records whether any of its bytes may have left.

use super::attempt::Attempt;
use super::connection_pool::{Connection, MAX_IDLE_NON_IDEMPOTENT};
use super::response_head::take_final_head;
use crate::proxy::dialect::{Dialect, ForwardHeaders};
use crate::proxy::http1::Head;
use crate::proxy::request_state::RequestEvent;
use crate::runtime::Clock;
use crate::types::Millis;
use async_std::future::timeout;
use async_std::io::prelude::WriteExt;
use futures_lite::future::or;
use std::time::Duration;

/// Time-out for establishing a connection.
const CONNECT_TIMEOUT_MS: Millis = 400;
/// Idempotent requests may use any pooled connection: they can be retried if the
/// worker has closed it.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(3600);
/// Bytes reserved for the headers that the dialect adds.
const ADDED_HEADERS_BYTES: usize = 192;

/// The result of [`send_request`].
pub enum SendResult {
    /// The complete request was written.
    Sent(Connection),
    /// The head of the response was received before the request was written
    /// completely; the connection must not be reused.
    EarlyResponse(Connection, Head),
    /// No byte has left: no connection was established, or it failed before the
    /// first byte.
    NothingSent,
    /// It failed after some bytes may have left.
    Failed(RequestEvent),
}

/// The result of one [`write_step`], in bytes.
enum WriteStep {
    Wrote(std::io::Result<usize>),
    Read(std::io::Result<usize>),
}

/// Sends the request to its worker. A pooled connection that fails before the
/// first byte is written is replaced by a new one.
pub async fn send_request<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    last_event: Option<u64>,
) -> SendResult {
    let mut pooled = pooled_connection(attempt);
    loop {
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match new_connection(attempt).await {
                Some(connection) => connection,
                None => return SendResult::NothingSent,
            },
        };
        attempt.record_event(RequestEvent::Connected);
        let replaceable = connection.reused;
        match write_request(attempt, connection, last_event).await {
            SendResult::NothingSent if replaceable => {
                attempt
                    .shared
                    .connections
                    .acquire_new(attempt.target.endpoint_index);
            }
            result => return result,
        }
    }
}

fn pooled_connection<D: Dialect, C: Clock>(attempt: &Attempt<'_, D, C>) -> Option<Connection> {
    let max_idle = match (attempt.target.new_connection, attempt.route.repeatable()) {
        (true, _) => Duration::ZERO,
        (false, true) => MAX_IDLE_IDEMPOTENT,
        // the worker may be closing a connection that has been idle for longer
        (false, false) => MAX_IDLE_NON_IDEMPOTENT,
    };
    attempt
        .shared
        .connections
        .acquire(attempt.target.endpoint_index, max_idle)
}

async fn new_connection<D: Dialect, C: Clock>(attempt: &Attempt<'_, D, C>) -> Option<Connection> {
    let connections = &attempt.shared.connections;
    let worker = attempt.target.endpoint_index;
    connections.evict_surplus(worker, attempt.target.max_conns);
    let within = Duration::from_millis(CONNECT_TIMEOUT_MS.min(attempt.time_left().max(1)));
    let addr = attempt.shared.connect_address(attempt.target.addr);
    match timeout(within, Connection::connect(addr)).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(_)) | Err(_) => {
            connections.discard(worker);
            None
        }
    }
}

fn encode_request<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    last_event: Option<u64>,
) -> Vec<u8> {
    let request = attempt.request;
    let capacity = request.head.len() + request.body.len() + ADDED_HEADERS_BYTES;
    let mut bytes = Vec::with_capacity(capacity);
    bytes.extend_from_slice(&request.head);
    let headers = ForwardHeaders {
        worker: &attempt.target.name,
        remaining_ms: attempt.time_left(),
        priority: attempt.target.priority,
        last_event,
        tenant: attempt.target.tenant.as_deref(),
    };
    attempt
        .shared
        .dialect
        .write_forward_headers(&headers, &mut bytes);
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Writes the request to `connection`, and closes the connection if that fails.
async fn write_request<D: Dialect, C: Clock>(
    attempt: &Attempt<'_, D, C>,
    mut connection: Connection,
    last_event: Option<u64>,
) -> SendResult {
    let bytes = encode_request(attempt, last_event);
    let mut written = 0;
    while written < bytes.len() {
        let within = Duration::from_millis(attempt.time_left().max(1));
        let step = timeout(within, write_step(&mut connection, &bytes[written..])).await;
        let failure = match step {
            Ok(WriteStep::Wrote(Ok(count))) if count > 0 => {
                written += count;
                attempt.record_event(RequestEvent::BytesWritten(count as u64));
                continue;
            }
            // bytes received before the first one is written belong to no request
            Ok(WriteStep::Read(Ok(count))) if count > 0 && written > 0 => {
                match take_final_head(&mut connection.buffer) {
                    Ok(None) => continue,
                    Ok(Some(head)) => return SendResult::EarlyResponse(connection, head),
                    Err(event) => event,
                }
            }
            Ok(WriteStep::Wrote(_)) => RequestEvent::Reset,
            Ok(WriteStep::Read(_)) => RequestEvent::Closed,
            Err(_) => RequestEvent::DeadlinePassed,
        };
        attempt.close_connection(connection);
        return match written {
            0 => SendResult::NothingSent,
            _ => SendResult::Failed(failure),
        };
    }
    connection.request_sent = true;
    attempt.record_event(RequestEvent::RequestSent);
    SendResult::Sent(connection)
}

/// Writes some bytes, or reads an early response if the worker accepts none.
async fn write_step(connection: &mut Connection, bytes: &[u8]) -> WriteStep {
    let mut writer = connection.stream.clone();
    let write = async { WriteStep::Wrote(writer.write(bytes).await) };
    let read = async { WriteStep::Read(connection.buffer.fill(&mut connection.stream).await) };
    or(write, read).await
}
