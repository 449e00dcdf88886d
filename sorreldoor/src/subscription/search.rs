//! The search for cores by an edge that gets no confirmed grant from those it knows,
//! and its answers to other nodes that search.

use super::{CoreSubscription, SubscriptionEffect};
use crate::core_search::SearchEffect;
use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::types::Millis;
use crate::wire::{CoreAddresses, EdgeEndpoint};
use std::net::SocketAddr;

/// Time without a confirmed grant after which the search begins; longer than most
/// elections, in which every core is known and none can confirm.
const SEARCH_AFTER_MS: Millis = 2000;

impl CoreSubscription {
    /// Sets nodes to ask for the cores before other edges are known.
    #[must_use]
    pub fn with_peers(mut self, peers: &[SocketAddr]) -> CoreSubscription {
        self.search.add_peers(peers.to_vec());
        self
    }

    /// Remembers the other edges that accept frames, to be asked for the cores.
    pub fn update_peers(&mut self, edges: &[EdgeEndpoint]) {
        let others = edges.iter().filter(|edge| edge.node != self.node_name);
        let peers = others.filter_map(|edge| edge.addr.parse().ok());
        self.search.add_peers(peers.collect());
    }

    /// Goes on with the search for cores if this edge is isolated.
    pub(super) fn search_cores(&mut self, now: Millis, effects: &mut Vec<SubscriptionEffect>) {
        let is_isolated = self.isolation.duration(now) >= SEARCH_AFTER_MS;
        if is_isolated && !is_disabled(Invariant::IsolatedNodeSearches) {
            let found = self.search.tick(now);
            effects.extend(found.into_iter().map(SubscriptionEffect::from));
        }
    }

    /// Ends the search after a confirmed grant.
    pub(super) fn stop_search(&mut self) {
        let closed = self.search.stop();
        self.pending_effects
            .extend(closed.into_iter().map(SubscriptionEffect::from));
    }

    /// Whether a connection to this address is one to a peer that is asked for the cores.
    #[must_use]
    pub fn is_asked_peer(&self, addr: SocketAddr) -> bool {
        self.search.is_asked(addr)
    }

    /// Handles the seeds that were read from the settings again.
    pub fn on_seeds(&mut self, seeds: Vec<SocketAddr>, now: Millis) {
        let known = self.search.found().len();
        self.search.add_found(seeds);
        self.try_found(known, now);
    }

    /// Handles a peer's answer.
    pub fn on_core_addresses(
        &mut self,
        conn: Conn,
        answer: &CoreAddresses,
        now: Millis,
    ) -> Vec<SubscriptionEffect> {
        let known = self.search.found().len();
        let effects = self.search.on_answer(conn, &answer.addresses);
        self.try_found(known, now);
        effects.into_iter().map(SubscriptionEffect::from).collect()
    }

    /// Tries the addresses that were found after the first `known` ones next.
    fn try_found(&mut self, known: usize, now: Millis) {
        if self.search.found().len() > known {
            self.next_core = self.cores.len() + known;
            self.hedge_at = self.hedge_at.min(now);
        }
    }

    /// The addresses to try: those of the cores, then those that a search has found.
    pub(super) fn addresses_to_try(&self) -> Vec<SocketAddr> {
        let cores = self.cores.iter().map(|(addr, _)| *addr);
        cores.chain(self.search.found().iter().copied()).collect()
    }

    /// The answer to a node that asks for the cores.
    #[must_use]
    pub fn core_addresses(&self, now: Millis) -> CoreAddresses {
        let addresses = self.cores.iter().map(|(addr, _)| addr.to_string());
        CoreAddresses {
            addresses: addresses.collect(),
            confirmed: self.is_confirmed(now),
        }
    }
}

impl From<SearchEffect> for SubscriptionEffect {
    fn from(effect: SearchEffect) -> SubscriptionEffect {
        match effect {
            SearchEffect::ReadSeeds => SubscriptionEffect::ReadSeeds,
            SearchEffect::Connect(addr) => SubscriptionEffect::Connect(addr),
            SearchEffect::Disconnect(addr) => SubscriptionEffect::Disconnect(addr),
        }
    }
}
