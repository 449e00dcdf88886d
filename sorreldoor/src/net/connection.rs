//! One connection from its establishment to its end.

use super::{locked, queue, Closed, Conn, Dial, Net, NetEvent, OutgoingFrames, USER_TIMEOUT};
use crate::log_events::{log_event, LogEvent};
use crate::runtime::Prioritized;
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

/// A connection on which nothing arrives for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a frame that must arrive within `IDLE_TIMEOUT`, or the connection
/// counts as dead.
const PIECE_BYTES: usize = 16 * 1024;

impl<E: Prioritized + Send + 'static> Net<E> {
    /// Serves a connection until it ends, with events for all that happens.
    pub(super) async fn run_connection(
        self,
        stream: TcpStream,
        dialled: Option<(SocketAddr, Arc<Dial>)>,
    ) {
        let conn = self.next_conn.fetch_add(1, Ordering::Relaxed);
        set_options(&stream);
        let (outgoing, frames, closed) = queue();
        locked(&self.outgoing).insert(conn, outgoing);
        if let Some((_, dial)) = &dialled {
            dial.conn.store(conn, Ordering::SeqCst);
            // it may have been told to stop while it was connecting
            if dial.stopped.load(Ordering::SeqCst) {
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
            let mut head = [0; 4];
            let read = timeout(IDLE_TIMEOUT, stream.read_exact(&mut head)).await;
            if !matches!(read, Ok(Ok(()))) {
                return;
            }
            let unpacked = match wire::frame_length(head) {
                Err(refused) => Err(refused),
                Ok(length) => {
                    let Some(bytes) = read_frame(&mut stream, length).await else {
                        return;
                    };
                    wire::decode_frame(&self.site_fingerprint, &bytes)
                }
            };
            match unpacked {
                Ok(payload) => {
                    let payload = Box::new(payload);
                    if !self.report(NetEvent::Frame { conn, payload }).await {
                        return;
                    }
                }
                Err(refused) => {
                    let from = stream.peer_addr().map(|addr| addr.to_string());
                    let from = from.unwrap_or_default();
                    log_event(LogEvent::FrameRejected, format!("from {from}: {refused}"));
                    return;
                }
            }
        }
    }
}

/// Without these a connection works as well, only later or longer.
fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = set_tcp_user_timeout(stream, USER_TIMEOUT.as_millis() as u32);
}

/// Reads a frame's bytes. A slow link may take its time, as long as something
/// comes.
async fn read_frame(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut frame = vec![0; length];
    for piece in frame.chunks_mut(PIECE_BYTES) {
        timeout(IDLE_TIMEOUT, stream.read_exact(piece))
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
