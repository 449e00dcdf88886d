//! Bootstrap and the connections to other cores: the parts' effects carried out.

use super::Controller;
use crate::consensus::{Consensus, Event, Member};
use crate::control_plane::bootstrap::{names, Context, Effect};
use crate::control_plane::connections::LIVE_MS;
use crate::control_plane::events::ControllerEffect;
use crate::control_plane::idempotency;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::replicated_state::{encode, ReplicatedState};
use crate::store::DurableState;
use crate::wire::{BootstrapMessage, Hello, Payload};

/// Name of the stored value that holds the promised founders.
const PROMISE_KEY: &str = "promise";

impl Controller {
    /// Periodic step of a core that is part of no site.
    pub(super) fn tick_bootstrap(&mut self) {
        let live = self.live_cores(LIVE_MS);
        let context = Context {
            own: &self.me,
            now: self.now,
            members: None,
        };
        let effects = self.bootstrap.tick(&live, &context);
        self.bootstrap_effects(effects);
    }

    /// Asks a founded core where the members are.
    pub(super) fn query_founded(&mut self) {
        let live = self.live_cores(LIVE_MS);
        let query = self.bootstrap.query(&live, self.now);
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
            own: &self.me,
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
                Effect::KeepPromise(founders) => {
                    let value = founders.map_or_else(Vec::new, |founders| encode(&founders));
                    self.out.push(ControllerEffect::Keep(PROMISE_KEY, value));
                }
                Effect::Log(event, about) => self.log_event(event, about),
                Effect::Found(founders) => self.found(founders),
                Effect::Join => self.join(),
                Effect::Discover(addresses) => self.peer_addresses.discover(addresses),
                Effect::Redial => self.redial(),
            }
        }
    }

    fn found(&mut self, founders: Vec<Member>) {
        self.log_event(LogEvent::ClusterBootstrapped, names(&founders));
        let record = ReplicatedState::new(self.site.clone());
        let (id, timing, seed, now) = (self.me.id, self.timing.clone(), self.seed, self.now);
        let consensus = Consensus::bootstrap(id, timing, founders, record, seed, now);
        self.consensus = Some(consensus);
        self.idempotency_event(idempotency::Event::Founded);
        self.announce_membership();
        self.step_consensus(Event::Tick);
    }

    fn join(&mut self) {
        let record = ReplicatedState::new(self.site.clone());
        let (id, timing, seed, now) = (self.me.id, self.timing.clone(), self.seed, self.now);
        let blank = DurableState::default().to_consensus();
        self.consensus = Some(Consensus::new(id, timing, blank, record, seed, now));
    }

    /// Tells all peers that this core is a member, and connects to the others.
    pub(super) fn announce_membership(&mut self) {
        self.me.founded = true;
        for conn in self.connections.all() {
            let hello = self.me.clone();
            self.send(conn, Payload::Hello(hello));
        }
        self.redial();
    }

    /// Matches the connections to the members and seeds.
    pub(super) fn redial(&mut self) {
        let consensus = self.consensus.as_ref();
        let members = consensus.map_or(&[][..], |consensus| consensus.members());
        let changes = self
            .peer_addresses
            .reconcile(self.me.id, &self.me.addr, members);
        let connect = changes.connect.into_iter().map(ControllerEffect::Connect);
        self.out.extend(connect);
        let disconnect = changes.disconnect.into_iter();
        self.out
            .extend(disconnect.map(ControllerEffect::Disconnect));
    }
}
