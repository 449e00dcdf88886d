//! A single question to another node: the addresses of the cores.

use super::connection::read_frame;
use crate::wire::{self, CoreAddresses, Payload};
use async_std::future::timeout;
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for the whole exchange; shorter than what callers wait for a redirect.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks the node that accepts frames at `peer` for the addresses of the cores; `None` if
/// it does not answer in time. Frames carry `site_fingerprint`.
pub async fn query_core_addresses(
    peer: SocketAddr,
    site_fingerprint: &str,
) -> Option<CoreAddresses> {
    let answer = timeout(QUERY_TIMEOUT, exchange(peer, site_fingerprint)).await;
    answer.ok().flatten()
}

async fn exchange(peer: SocketAddr, site_fingerprint: &str) -> Option<CoreAddresses> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    let question = wire::encode_frame(site_fingerprint, &Payload::CoreAddressesRequest);
    stream.write_all(&question).await.ok()?;
    loop {
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).await.ok()?;
        let length = wire::frame_length(prefix).ok()?;
        let frame = read_frame(&mut stream, length).await?;
        // a core sends its hello and other frames first
        if let Payload::CoreAddresses(answer) = wire::decode_frame(site_fingerprint, &frame).ok()? {
            return Some(answer);
        }
    }
}
