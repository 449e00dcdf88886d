//! Waiting for a worker's bytes, its client and a timer at once.

use super::client::Client;
use super::pool::Connection;
use crate::types::Millis;
use async_std::task::sleep;
use futures_lite::future::or;
use std::time::Duration;

/// What ended a wait for a worker's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    BytesRead,
    /// The worker ended the connection in order.
    WorkerClosed,
    /// The connection failed.
    WorkerReset,
    ClientGone,
    TimedOut,
}

/// Waits for bytes of a worker, for the client to hang up, or for the time.
pub async fn wait_for_worker(
    connection: &mut Connection,
    client: Option<&Client>,
    most_ms: Millis,
) -> Wakeup {
    let read = async {
        match connection.buf.fill(&mut connection.stream).await {
            Ok(0) => Wakeup::WorkerClosed,
            Ok(_) => Wakeup::BytesRead,
            Err(_) => Wakeup::WorkerReset,
        }
    };
    let timer = async {
        sleep(Duration::from_millis(most_ms)).await;
        Wakeup::TimedOut
    };
    let Some(client) = client else {
        return or(read, timer).await;
    };
    let gone = async {
        client.gone().await;
        Wakeup::ClientGone
    };
    or(read, or(gone, timer)).await
}
