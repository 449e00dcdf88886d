//! Bootstrap of a site and connections to other cores: passes events to
//! the part `bootstrap` and carries out its effects.

use super::Controller;
use crate::consensus::{Consensus, Event, Member};
use crate::control_plane::bootstrap::{format_member_ids, Context, Effect};
use crate::control_plane::connections::LIVE_TIMEOUT_MS;
use crate::control_plane::events::ControllerEffect;
use crate::control_plane::idempotency;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::replicated_state::{encode, ReplicatedState};
use crate::store::DurableState;
use crate::wire::{BootstrapMessage, Hello, Payload};

/// Store key of the promised founders.
const PROMISED_FOUNDERS_KEY: &str = "promise";

impl Controller {
    /// Periodic step of a core that has neither bootstrapped nor joined a site.
    pub(super) fn tick_bootstrap(&mut self) {
        let live = self.live_cores(LIVE_TIMEOUT_MS);
        let context = Context {
            own: &self.own_hello,
            now: self.now,
            members: None,
        };
        let effects = self.bootstrap.tick(&live, &context);
        self.bootstrap_effects(effects);
    }

    /// Asks a core of a bootstrapped site for the members' addresses.
    pub(super) fn query_founded_core(&mut self) {
        let live = self.live_cores(LIVE_TIMEOUT_MS);
        let query = self.bootstrap.query_founded_core(&live, self.now);
        self.bootstrap_effects(query.into_iter().collect());
    }

    pub(super) fn on_bootstrap_message(
        &mut self,
        conn: Conn,
        from: &Hello,
        message: BootstrapMessage,
    ) {
        let consensus = self.consensus.as_ref();
        let context = Context {
            own: &self.own_hello,
            now: self.now,
            members: consensus.map(|consensus| consensus.members()),
        };
        let effects = self.bootstrap.on_message(conn, from, message, &context);
        self.bootstrap_effects(effects);
    }

    fn bootstrap_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(conn, message) => self.send(conn, Payload::Bootstrap(message)),
                Effect::SavePromise(founders) => {
                    let value = founders.map_or_else(Vec::new, |founders| encode(&founders));
                    self.effects
                        .push(ControllerEffect::StoreValue(PROMISED_FOUNDERS_KEY, value));
                }
                Effect::Log(event, details) => self.log_event(event, details),
                Effect::Bootstrap(founders) => self.bootstrap_site(founders),
                Effect::Join => self.join_site(),
                Effect::Discover(addresses) => self.peer_addresses.discover(addresses),
                Effect::ReconcileConnections => self.reconcile_connections(),
            }
        }
    }

    fn bootstrap_site(&mut self, founders: Vec<Member>) {
        self.log_event(LogEvent::ClusterBootstrapped, format_member_ids(&founders));
        let state = ReplicatedState::new(self.site.clone());
        let (id, timing, seed, now) = (self.own_hello.id, self.timing.clone(), self.seed, self.now);
        let consensus = Consensus::bootstrap(id, timing, founders, state, seed, now);
        self.consensus = Some(consensus);
        self.idempotency_event(idempotency::Event::Founded);
        self.announce_membership();
        self.step_consensus(Event::Tick);
    }

    fn join_site(&mut self) {
        let state = ReplicatedState::new(self.site.clone());
        let (id, timing, seed, now) = (self.own_hello.id, self.timing.clone(), self.seed, self.now);
        let blank = DurableState::default().to_consensus();
        self.consensus = Some(Consensus::new(id, timing, blank, state, seed, now));
    }

    /// Announces to all connected nodes that this core belongs to a bootstrapped
    /// site, and connects to the other members.
    pub(super) fn announce_membership(&mut self) {
        self.own_hello.founded = true;
        for conn in self.connections.all() {
            let hello = self.own_hello.clone();
            self.send(conn, Payload::Hello(hello));
        }
        self.reconcile_connections();
    }

    /// Connects to new members and seeds, and disconnects from addresses that are
    /// neither any more.
    pub(super) fn reconcile_connections(&mut self) {
        let consensus = self.consensus.as_ref();
        let members = consensus.map_or(&[][..], |consensus| consensus.members());
        let changes =
            self.peer_addresses
                .reconcile(self.own_hello.id, &self.own_hello.addr, members);
        let connect = changes.connect.into_iter().map(ControllerEffect::Connect);
        self.effects.extend(connect);
        let disconnect = changes.disconnect.into_iter();
        self.effects
            .extend(disconnect.map(ControllerEffect::Disconnect));
    }
}
