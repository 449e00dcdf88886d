//! A TCP proxy that delays traffic, and can block it.

use async_std::channel::{bounded, Receiver, Sender};
use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A listener whose connections are forwarded to one address with a delay.
pub struct Link {
    /// The address that accepts connections.
    pub addr: SocketAddr,
    blocked: Arc<AtomicBool>,
}

impl Link {
    /// Listens on a free port and forwards each connection to `to`, with `delay`
    /// in each direction.
    ///
    /// # Errors
    /// No port can be opened.
    pub async fn start(to: SocketAddr, delay: Duration) -> async_std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let blocked = Arc::new(AtomicBool::new(false));
        task::spawn(accept(listener, to, delay, blocked.clone()));
        Ok(Link { addr, blocked })
    }

    /// Blocks or unblocks the link. While it is blocked, established connections
    /// stay open but forward no bytes; new ones are closed after a while.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, delay: Duration, blocked: Arc<AtomicBool>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let blocked = blocked.clone();
        task::spawn(async move {
            // the handshake takes one delay before data can be sent
            task::sleep(delay).await;
            if blocked.load(Ordering::SeqCst) {
                task::sleep(Duration::from_secs(2)).await;
                return;
            }
            let Ok(far) = TcpStream::connect(to).await else {
                let _ = near.shutdown(Shutdown::Both);
                return;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            task::spawn(forward(near.clone(), far.clone(), delay, blocked.clone()));
            forward(far, near, delay, blocked).await;
        });
    }
}

async fn forward(mut from: TcpStream, to: TcpStream, delay: Duration, blocked: Arc<AtomicBool>) {
    let (sender, receiver): (Sender<(Instant, Vec<u8>)>, _) = bounded(1024);
    let delivery = task::spawn(deliver(receiver, to, blocked));
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        let deliver_at = Instant::now() + delay;
        if sender
            .send((deliver_at, buffer[..length].to_vec()))
            .await
            .is_err()
        {
            break;
        }
    }
    drop(sender);
    delivery.await;
}

async fn deliver(
    receiver: Receiver<(Instant, Vec<u8>)>,
    mut to: TcpStream,
    blocked: Arc<AtomicBool>,
) {
    while let Ok((deliver_at, bytes)) = receiver.recv().await {
        let remaining = deliver_at.saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            task::sleep(remaining).await;
        }
        // a TCP stream cannot lose bytes, so a blocked link holds them until it is
        // unblocked
        while blocked.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(20)).await;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
