//! The listener of clients' connections, with a limit on open ones.

use super::dialect::Dialect;
use super::serve_connection::serve_connection;
use super::shared_state::SharedState;
use crate::runtime::Clock;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// How long to wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts and serves clients' connections, at most `max_connections` at a time.
/// Never returns.
pub async fn accept_connections<D: Dialect, C: Clock + Send + Sync + 'static>(
    listener: TcpListener,
    shared: Arc<SharedState<D, C>>,
    max_connections: usize,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        // closed at once, so that the client tries another node
        if shared.open_connections.load(Ordering::Relaxed) >= max_connections {
            continue;
        }
        task::spawn(serve_counted(shared.clone(), stream));
    }
}

async fn serve_counted<D: Dialect, C: Clock + Send + Sync + 'static>(
    shared: Arc<SharedState<D, C>>,
    stream: TcpStream,
) {
    shared.open_connections.fetch_add(1, Ordering::Relaxed);
    serve_connection(shared.clone(), stream).await;
    shared.open_connections.fetch_sub(1, Ordering::Relaxed);
}
