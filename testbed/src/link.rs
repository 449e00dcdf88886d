//! A stretch of network: bytes arrive later by a set delay, or not at all.

use async_std::channel::{bounded, Receiver, Sender};
use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Link {
    pub addr: SocketAddr,
    set_blocked: Arc<AtomicBool>,
}

impl Link {
    /// Listen on a free port and carry what comes to `to`.
    pub async fn start(to: SocketAddr, delay: Duration) -> async_std::io::Result<Link> {
        let l = TcpListener::bind("127.0.0.1:0").await?;
        let addr = l.local_addr()?;
        let set_blocked = Arc::new(AtomicBool::new(false));
        task::spawn(accept(l, to, delay, set_blocked.clone()));
        Ok(Link { addr, set_blocked })
    }

    /// While cut, nothing passes and nobody is told.
    pub fn set_blocked(&self, on: bool) {
        self.set_blocked.store(on, Ordering::SeqCst);
    }
}

async fn accept(l: TcpListener, to: SocketAddr, delay: Duration, set_blocked: Arc<AtomicBool>) {
    loop {
        let Ok((near, _)) = l.accept().await else {
            continue;
        };
        let set_blocked = set_blocked.clone();
        task::spawn(async move {
            // the way there takes its time before anything can be sent
            task::sleep(delay).await;
            if set_blocked.load(Ordering::SeqCst) {
                task::sleep(Duration::from_secs(2)).await;
                return;
            }
            let Ok(far) = TcpStream::connect(to).await else {
                let _ = near.shutdown(Shutdown::Both);
                return;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            task::spawn(carry(near.clone(), far.clone(), delay, set_blocked.clone()));
            carry(far, near, delay, set_blocked).await;
        });
    }
}

async fn carry(mut from: TcpStream, to: TcpStream, delay: Duration, set_blocked: Arc<AtomicBool>) {
    let (tx, rx): (Sender<(Instant, Vec<u8>)>, _) = bounded(1024);
    let out = task::spawn(deliver(rx, to, set_blocked));
    let mut b = vec![0; 16 * 1024];
    while let Ok(n) = from.read(&mut b).await {
        if n == 0 {
            break;
        }
        let at = Instant::now() + delay;
        if tx.send((at, b[..n].to_vec())).await.is_err() {
            break;
        }
    }
    drop(tx);
    out.await;
}

async fn deliver(
    rx: Receiver<(Instant, Vec<u8>)>,
    mut to: TcpStream,
    set_blocked: Arc<AtomicBool>,
) {
    while let Ok((at, b)) = rx.recv().await {
        let left = at.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            task::sleep(left).await;
        }
        // a TCP stream cannot lose bytes in its middle, so a cut holds
        // them back, and what came before it arrives after it
        while set_blocked.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(20)).await;
        }
        if to.write_all(&b).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
