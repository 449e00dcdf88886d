//! The lifetime of one connection: socket options, reader and writer.

use super::{queue, Closed, Conn, Net, NetEvent, OutgoingFrames, OutgoingTarget, USER_TIMEOUT};
use crate::log_events::{log_event, LogEvent};
use crate::runtime::Prioritized;
use crate::sync::lock;
use crate::wire;
use async_std::future::timeout;
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future;
use rustix::net::sockopt::set_tcp_user_timeout;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// A connection that receives no data for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Each chunk of a frame must arrive within `IDLE_TIMEOUT`, or the connection is
/// closed.
const READ_CHUNK_BYTES: usize = 16 * 1024;

impl<E: Prioritized + Send + 'static> Net<E> {
    /// Serves a connection until it is closed, and reports its events.
    pub(super) async fn run_connection(
        self,
        stream: TcpStream,
        dialled: Option<(SocketAddr, Arc<OutgoingTarget>)>,
    ) {
        let conn = self.next_conn.fetch_add(1, Ordering::Relaxed);
        set_options(&stream);
        let (outgoing, frames, closed) = queue();
        lock(&self.outgoing).insert(conn, outgoing);
        if let Some((_, target)) = &dialled {
            target.conn.store(conn, Ordering::SeqCst);
            // `undial` may have been called during the connection attempt
            if target.stopped.load(Ordering::SeqCst) {
                return self.close(conn);
            }
        }
        let dialled = dialled.map(|(addr, _)| addr);
        self.report(NetEvent::Up { conn, dialled }).await;
        let writer = task::spawn(write_frames(stream.clone(), frames));
        self.read_until_closed(conn, stream, closed).await;
        self.close(conn);
        writer.cancel().await;
        self.report(NetEvent::Down { conn }).await;
    }

    async fn report(&self, event: NetEvent) -> bool {
        self.events.send((self.wrap_event)(event)).await.is_ok()
    }

    async fn read_until_closed(&self, conn: Conn, stream: TcpStream, closed: Closed) {
        future::or(self.read_frames(conn, stream), closed.wait()).await;
    }

    async fn read_frames(&self, conn: Conn, mut stream: TcpStream) {
        loop {
            let mut prefix = [0; 4];
            let read = timeout(IDLE_TIMEOUT, stream.read_exact(&mut prefix)).await;
            if !matches!(read, Ok(Ok(()))) {
                return;
            }
            let decoded = match wire::frame_length(prefix) {
                Err(error) => Err(error),
                Ok(length) => {
                    let Some(bytes) = read_frame(&mut stream, length).await else {
                        return;
                    };
                    wire::decode_frame(&self.site_fingerprint, &bytes)
                }
            };
            match decoded {
                Ok(payload) => {
                    let payload = Box::new(payload);
                    if !self.report(NetEvent::Frame { conn, payload }).await {
                        return;
                    }
                }
                Err(error) => {
                    let from = stream.peer_addr().map(|addr| addr.to_string());
                    let from = from.unwrap_or_default();
                    log_event(LogEvent::FrameRejected, format!("from {from}: {error}"));
                    return;
                }
            }
        }
    }
}

/// Sets socket options. Failures are ignored, since a connection works without
/// them: only with more latency, and with later detection of a lost peer.
fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = set_tcp_user_timeout(stream, USER_TIMEOUT.as_millis() as u32);
}

/// Reads a frame of `length` bytes in chunks, so that a slow link may take longer
/// than `IDLE_TIMEOUT` in total; `None` if the connection fails or times out.
pub(super) async fn read_frame(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut frame = vec![0; length];
    for chunk in frame.chunks_mut(READ_CHUNK_BYTES) {
        timeout(IDLE_TIMEOUT, stream.read_exact(chunk))
            .await
            .ok()?
            .ok()?;
    }
    Some(frame)
}

async fn write_frames(mut stream: TcpStream, frames: OutgoingFrames) {
    while let Some(frame) = frames.next().await {
        if stream.write_all(&frame).await.is_err() {
            break;
        }
        frames.written(&frame);
    }
    let _ = stream.shutdown(Shutdown::Both);
}
