//! Waiting for a worker, its caller and the time at once.

use super::client::Client;
use super::pool::Line;
use crate::consensus::Millis;
use async_std::task::sleep;
use futures_lite::future::or;
use std::time::Duration;

/// What woke a wait for a worker's bytes.
pub enum Woke {
    Read,
    Broke,
    Gone,
    Late,
}

/// Waits for bytes of a worker, for the caller to hang up, or for the time.
pub async fn listen(line: &mut Line, c: Option<&Client>, ms: Millis) -> Woke {
    let read = async {
        match line.buf.fill(&mut line.s).await {
            Ok(n) if n > 0 => Woke::Read,
            _ => Woke::Broke,
        }
    };
    let late = async {
        sleep(Duration::from_millis(ms)).await;
        Woke::Late
    };
    match c {
        None => or(read, late).await,
        Some(c) => {
            let gone = async {
                c.gone().await;
                Woke::Gone
            };
            or(read, or(gone, late)).await
        }
    }
}
