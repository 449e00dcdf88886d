//! The search for other cores by a core that reaches no leader, and its answers to
//! nodes that search.

use super::Controller;
use crate::control_plane::connections::LIVE_TIMEOUT_MS;
use crate::control_plane::events::ControllerEffect;
use crate::core_search::SearchEffect;
use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::types::Millis;
use crate::wire::{CoreAddresses, Payload};
use std::net::SocketAddr;

/// Time without a leader, or for a joining core without a founded core, after which the
/// search begins. A leader counts as known for two election time-outs after its last message.
const SEARCH_AFTER_MS: Millis = 1000;

impl Controller {
    /// Periodic step: remembers the peers while in contact, and searches while not.
    pub(super) fn tick_core_search(&mut self) {
        if self.is_in_contact() {
            self.in_contact_at = self.now;
            return self.stop_search();
        }
        let isolated_ms = self.now.saturating_sub(self.in_contact_at);
        if isolated_ms >= SEARCH_AFTER_MS && !is_disabled(Invariant::IsolatedNodeSearches) {
            let effects = self.search.tick(self.now);
            self.search_effects(effects);
        }
    }

    /// Whether this core has a leader, or is joining through a founded core.
    fn is_in_contact(&self) -> bool {
        match &self.consensus {
            Some(consensus) if !consensus.members().is_empty() => consensus.has_leader(),
            _ => {
                let live = self.live_cores(LIVE_TIMEOUT_MS);
                live.values().any(|(_, hello)| hello.founded)
            }
        }
    }

    fn stop_search(&mut self) {
        let edges = self.sessions.endpoints().endpoints.iter();
        let peers = edges.filter_map(|edge| edge.addr.parse().ok()).collect();
        self.search.add_peers(peers);
        let effects = self.search.stop();
        self.search_effects(effects);
        if self.peer_addresses.found(&[]) {
            self.reconcile_connections();
        }
    }

    fn search_effects(&mut self, effects: Vec<SearchEffect>) {
        self.effects
            .extend(effects.into_iter().map(|effect| match effect {
                SearchEffect::ReadSeeds => ControllerEffect::ReadSeeds,
                SearchEffect::Connect(addr) => ControllerEffect::Connect(addr),
                SearchEffect::Disconnect(addr) => ControllerEffect::Disconnect(addr),
            }));
    }

    /// Handles the seeds that were read from the settings again.
    pub(super) fn on_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.search.add_found(seeds);
        self.connect_to_found();
    }

    /// Asks a peer to which this core has connected for the cores' addresses; false for
    /// a connection to any other address.
    pub(super) fn ask_peer(&mut self, conn: Conn, dialled: Option<SocketAddr>) -> bool {
        let is_asked = dialled.is_some_and(|addr| self.search.on_connected(addr, conn));
        if is_asked {
            self.send(conn, Payload::CoreAddressesRequest);
        }
        is_asked
    }

    pub(super) fn on_core_addresses(&mut self, conn: Conn, answer: &CoreAddresses) {
        let effects = self.search.on_answer(conn, &answer.addresses);
        self.search_effects(effects);
        self.connect_to_found();
    }

    fn connect_to_found(&mut self) {
        if self.peer_addresses.found(self.search.found()) {
            self.reconcile_connections();
        }
    }

    /// Answers a node that asks for the cores; a core without members has no answer.
    pub(super) fn send_core_addresses(&mut self, conn: Conn) {
        let Some(consensus) = &self.consensus else {
            return;
        };
        let members = consensus.members().iter();
        let answer = CoreAddresses {
            addresses: members.map(|member| member.addr.clone()).collect(),
            confirmed: consensus.has_leader(),
        };
        self.send(conn, Payload::CoreAddresses(answer));
    }
}
