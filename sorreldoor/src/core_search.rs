//! Search for the cores by a node that reaches none of those it knows: it reads the
//! seeds from the settings again, and asks other nodes for the cores' addresses.
//!
//! [`CoreSearch`] is a state machine without I/O. Edges and cores call it while they
//! are isolated and connect to the addresses that it finds.

use crate::net::Conn;
use crate::types::Millis;
use std::net::SocketAddr;

/// Interval of the rounds of a search.
const ROUND_MS: Millis = 500;
/// Peers that are asked in each round.
const PEERS_PER_ROUND: usize = 2;
/// Time after which a peer that has not answered is given up.
const ANSWER_TIMEOUT_MS: Millis = 1300;
/// Peers that are remembered; those that were named last are kept.
const MAX_PEERS: usize = 32;
/// Addresses that a search keeps, so that peers cannot grow the list without bound.
const MAX_FOUND: usize = 32;

/// What the owner of the search must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchEffect {
    /// Read the seeds from the settings again, and pass them to [`CoreSearch::add_found`].
    ReadSeeds,
    /// Connect to this peer, and send `Payload::CoreAddressesRequest`.
    Connect(SocketAddr),
    /// Close the connection to this peer.
    Disconnect(SocketAddr),
}

/// A peer that was asked and has not answered yet.
#[derive(Clone, Copy, Debug)]
struct AskedPeer {
    addr: SocketAddr,
    conn: Option<Conn>,
    asked_at: Millis,
}

/// The peers that may know the cores, and what they answered.
#[derive(Clone, Debug, Default)]
pub struct CoreSearch {
    peers: Vec<SocketAddr>,
    next_peer: usize,
    asked: Vec<AskedPeer>,
    found: Vec<SocketAddr>,
    next_round_at: Millis,
}

impl CoreSearch {
    /// A search that asks these peers at first.
    #[must_use]
    pub fn with_peers(peers: Vec<SocketAddr>) -> CoreSearch {
        let mut search = CoreSearch::default();
        search.add_peers(peers);
        search
    }

    /// Remembers peers: nodes that accept frames and answer requests for the cores'
    /// addresses. Those of earlier calls are kept, as far as there is room.
    pub fn add_peers(&mut self, newest: Vec<SocketAddr>) {
        let earlier = std::mem::replace(&mut self.peers, newest);
        let absent = earlier
            .into_iter()
            .filter(|addr| !self.peers.contains(addr));
        let absent: Vec<SocketAddr> = absent.collect();
        self.peers.extend(absent);
        self.peers.truncate(MAX_PEERS);
    }

    /// Goes on with the search while the node is isolated.
    #[must_use]
    pub fn tick(&mut self, now: Millis) -> Vec<SearchEffect> {
        let mut effects = self.give_up_late_peers(now);
        if now < self.next_round_at {
            return effects;
        }
        self.next_round_at = now + ROUND_MS;
        effects.push(SearchEffect::ReadSeeds);
        for _ in 0..PEERS_PER_ROUND.min(self.peers.len()) {
            let addr = self.peers[self.next_peer % self.peers.len()];
            self.next_peer = self.next_peer.wrapping_add(1);
            if !self.is_asked(addr) {
                self.asked.push(AskedPeer {
                    addr,
                    conn: None,
                    asked_at: now,
                });
                effects.push(SearchEffect::Connect(addr));
            }
        }
        effects
    }

    fn give_up_late_peers(&mut self, now: Millis) -> Vec<SearchEffect> {
        let is_late = |peer: &AskedPeer| now.saturating_sub(peer.asked_at) > ANSWER_TIMEOUT_MS;
        let late = self.asked.iter().filter(|peer| is_late(peer));
        let effects = late
            .map(|peer| SearchEffect::Disconnect(peer.addr))
            .collect();
        self.asked.retain(|peer| !is_late(peer));
        effects
    }

    /// Ends the search: a core has confirmed this node's state.
    #[must_use]
    pub fn stop(&mut self) -> Vec<SearchEffect> {
        self.found.clear();
        self.next_round_at = 0;
        let asked = self.asked.drain(..);
        asked
            .map(|peer| SearchEffect::Disconnect(peer.addr))
            .collect()
    }

    /// Whether a peer at this address was asked and has not answered yet.
    #[must_use]
    pub fn is_asked(&self, addr: SocketAddr) -> bool {
        self.asked.iter().any(|peer| peer.addr == addr)
    }

    /// Records the connection to an asked peer; false if the address is another one.
    pub fn on_connected(&mut self, addr: SocketAddr, conn: Conn) -> bool {
        let peer = self.asked.iter_mut().find(|peer| peer.addr == addr);
        peer.map(|peer| peer.conn = Some(conn)).is_some()
    }

    /// Handles a peer's answer: keeps the addresses, and closes the connection. Answers
    /// on other connections are ignored.
    #[must_use]
    pub fn on_answer(&mut self, conn: Conn, addresses: &[String]) -> Vec<SearchEffect> {
        let index = self.asked.iter().position(|peer| peer.conn == Some(conn));
        let Some(peer) = index.map(|index| self.asked.swap_remove(index)) else {
            return Vec::new();
        };
        let parsed = addresses.iter().filter_map(|addr| addr.parse().ok());
        self.add_found(parsed.collect());
        vec![SearchEffect::Disconnect(peer.addr)]
    }

    /// Adds addresses to those that were found; returns whether any is new.
    pub fn add_found(&mut self, addresses: Vec<SocketAddr>) -> bool {
        let known = self.found.len();
        for addr in addresses {
            if !self.found.contains(&addr) && self.found.len() < MAX_FOUND {
                self.found.push(addr);
            }
        }
        self.found.len() > known
    }

    /// The addresses found since the search began, which may be cores.
    #[must_use]
    pub fn found(&self) -> &[SocketAddr] {
        &self.found
    }
}
