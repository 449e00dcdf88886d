//! Waiting for bytes of a worker, a disconnect of the client, or a time-out.

use super::connection_pool::Connection;
use crate::proxy::client::Client;
use crate::types::Millis;
use async_std::task::sleep;
use futures_lite::future::or;
use std::time::Duration;

/// What ended a wait for a worker's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    BytesRead,
    /// The worker closed the connection without a reset.
    WorkerClosed,
    /// The connection failed.
    WorkerReset,
    ClientDisconnected,
    TimedOut,
}

/// Waits for bytes of the worker, a disconnect of the client if one is given, or
/// `timeout_ms`. If several are ready, the first of this list is returned.
pub async fn wait_for_worker(
    connection: &mut Connection,
    client: Option<&Client>,
    timeout_ms: Millis,
) -> Wakeup {
    let read = async {
        match connection.buffer.fill(&mut connection.stream).await {
            Ok(0) => Wakeup::WorkerClosed,
            Ok(_) => Wakeup::BytesRead,
            Err(_) => Wakeup::WorkerReset,
        }
    };
    let timer = async {
        sleep(Duration::from_millis(timeout_ms)).await;
        Wakeup::TimedOut
    };
    let Some(client) = client else {
        return or(read, timer).await;
    };
    let disconnected = async {
        client.disconnected().await;
        Wakeup::ClientDisconnected
    };
    or(read, or(disconnected, timer)).await
}
