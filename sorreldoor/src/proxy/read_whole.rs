//! Reading the rest of an answer whole, before the client sees any of it.

use super::attempt::Event;
use super::body::Decoder;
use super::client::Client;
use super::dialect::Dialect;
use super::exchange::Exchange;
use super::http1::Head;
use super::pool::Connection;
use super::wait::{wait_for_worker, Wakeup};
use crate::runtime::Clock;
use crate::types::Millis;

/// A worker's whole answer in memory, at most.
const MOST_ANSWER: usize = 32 << 20;

/// Reads the rest of an answer within `most_ms`, and keeps the connection if
/// it may be used again; or how the reading ended.
pub async fn read_whole<D: Dialect, C: Clock>(
    exchange: &Exchange<'_, D, C>,
    client: &Client,
    mut connection: Connection,
    head: &Head,
    decoder: &mut Decoder,
    most_ms: Millis,
) -> Result<Vec<u8>, Event> {
    let until = exchange.now().saturating_add(most_ms);
    let mut body = Vec::new();
    loop {
        let failure = match decoder.run(&mut connection.buf, &mut body) {
            Ok(true) => break,
            Ok(false) if body.len() <= MOST_ANSWER => {
                let left = until.saturating_sub(exchange.now());
                match wait_for_worker(&mut connection, Some(client), left).await {
                    Wakeup::BytesRead => continue,
                    // a reset may have taken bytes with it, a close has not
                    Wakeup::WorkerClosed if decoder.ended() => break,
                    Wakeup::WorkerClosed => Event::Closed,
                    Wakeup::WorkerReset => Event::Reset,
                    Wakeup::ClientGone => Event::ClientDone,
                    Wakeup::TimedOut => Event::DeadlinePassed,
                }
            }
            Ok(false) | Err(_) => Event::Malformed,
        };
        exchange.close(connection);
        return Err(failure);
    }
    exchange.release(connection, head, decoder);
    Ok(body)
}
