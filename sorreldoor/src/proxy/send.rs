//! Sending a request to a worker: a connection, the bytes, and how many left.

use super::attempt::Event;
use super::await_head::final_head;
use super::dialect::{Dialect, ForwardHeaders};
use super::exchange::Exchange;
use super::http1::Head;
use super::pool::{Connection, RECENT};
use crate::runtime::Clock;
use crate::types::Millis;
use async_std::future::timeout;
use async_std::io::prelude::WriteExt;
use futures_lite::future::or;
use std::time::Duration;

/// A connection that does not come up within this is given up.
const CONNECT_MS: Millis = 400;
/// Requests that may be repeated use idle connections of any age.
const ANY_AGE: Duration = Duration::from_secs(3600);
/// Room for the headers that are added for the worker.
const ADDED_HEADERS: usize = 192;

/// How the sending ended.
pub enum Sent {
    /// The whole request was written.
    Whole(Connection),
    /// The head of an answer came before that; the connection is not to be
    /// used for another request.
    AnsweredEarly(Connection, Head),
    /// Nothing can have left: no connection, or it failed before any byte.
    NothingLeft,
    /// It ended after some bytes may have left.
    Failed(Event),
}

/// One step of writing.
enum Step {
    Wrote(std::io::Result<usize>),
    Read(std::io::Result<usize>),
}

/// Sends the request to its worker. A kept connection that fails before its
/// first byte is replaced by a new one.
pub async fn send<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    last_event: Option<u64>,
) -> Sent {
    let mut kept = kept_connection(exchange);
    loop {
        let connection = match kept.take() {
            Some(c) => c,
            None => match new_connection(exchange).await {
                Some(c) => c,
                None => return Sent::NothingLeft,
            },
        };
        exchange.progressed(Event::Connected);
        let replaceable = connection.reused;
        match write(exchange, connection, last_event).await {
            Sent::NothingLeft if replaceable => {
                exchange.shared.pool.take_new(exchange.target.worker);
            }
            sent => return sent,
        }
    }
}

fn kept_connection<D: Dialect, C: Clock>(exchange: &Exchange<'_, D, C>) -> Option<Connection> {
    let within = match (exchange.target.new_connection, exchange.route.repeatable()) {
        (true, _) => Duration::ZERO,
        (false, true) => ANY_AGE,
        // a worker's end of an older connection may be on its way
        (false, false) => RECENT,
    };
    exchange.shared.pool.take(exchange.target.worker, within)
}

async fn new_connection<D: Dialect, C: Clock>(exchange: &Exchange<'_, D, C>) -> Option<Connection> {
    let (worker, most) = (exchange.target.worker, exchange.target.max_conns);
    exchange.shared.pool.make_room(worker, most);
    let within = Duration::from_millis(CONNECT_MS.min(exchange.time_left().max(1)));
    let to = exchange.shared.reached(exchange.target.addr);
    match timeout(within, Connection::connect(to)).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(_)) | Err(_) => {
            exchange.shared.pool.closed(worker);
            None
        }
    }
}

fn wire<D: Dialect, C: Clock>(exchange: &Exchange<'_, D, C>, last_event: Option<u64>) -> Vec<u8> {
    let request = exchange.request;
    let room = request.wire.len() + request.body.len() + ADDED_HEADERS;
    let mut bytes = Vec::with_capacity(room);
    bytes.extend_from_slice(&request.wire);
    let headers = ForwardHeaders {
        worker: &exchange.target.name,
        remaining_ms: exchange.time_left(),
        priority: exchange.target.priority,
        last_event,
    };
    exchange
        .shared
        .dialect
        .write_forward_headers(&headers, &mut bytes);
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

async fn write<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    mut connection: Connection,
    last_event: Option<u64>,
) -> Sent {
    let bytes = wire(exchange, last_event);
    let mut written = 0;
    while written < bytes.len() {
        let within = Duration::from_millis(exchange.time_left().max(1));
        let step = timeout(within, step(&mut connection, &bytes[written..])).await;
        let failure = match step {
            Ok(Step::Wrote(Ok(count))) if count > 0 => {
                written += count;
                exchange.progressed(Event::BytesWritten(count as u64));
                continue;
            }
            // what comes before the first byte has left answers no request
            Ok(Step::Read(Ok(count))) if count > 0 && written > 0 => {
                match final_head(&mut connection.buf) {
                    Ok(None) => continue,
                    Ok(Some(head)) => return Sent::AnsweredEarly(connection, head),
                    Err(event) => event,
                }
            }
            Ok(Step::Wrote(_)) => Event::Reset,
            Ok(Step::Read(_)) => Event::Closed,
            Err(_) => Event::DeadlinePassed,
        };
        exchange.close(connection);
        return match written {
            0 => Sent::NothingLeft,
            _ => Sent::Failed(failure),
        };
    }
    connection.request_sent = true;
    exchange.progressed(Event::RequestSent);
    Sent::Whole(connection)
}

/// Writes what can be written, or reads where the worker speaks first.
async fn step(connection: &mut Connection, bytes: &[u8]) -> Step {
    let mut writer = connection.stream.clone();
    let write = async { Step::Wrote(writer.write(bytes).await) };
    let read = async { Step::Read(connection.buf.fill(&mut connection.stream).await) };
    or(write, read).await
}
