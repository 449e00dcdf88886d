//! Founding a site, and finding the members of one that is founded.

use super::controller::Controller;
use super::events::ControllerEffect;
use super::idempotency;
use super::membership::learner;
use crate::consensus::*;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::replicated_state::{encode, ReplicatedState};
use crate::types::*;
use crate::wire::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Between questions to founded cores.
const ASK_MS: Millis = 250;

fn founding_voter(hello: &Hello) -> Member {
    let voter = true;
    Member {
        voter,
        ..learner(hello)
    }
}

impl Controller {
    /// Dial the seeds and every member but oneself.
    pub(super) fn redial(&mut self) {
        let own: Option<SocketAddr> = self.me.addr.parse().ok();
        let members = self.consensus.as_ref().map_or(&[][..], |a| a.members());
        let mut want: BTreeSet<SocketAddr> = members
            .iter()
            .filter(|m| m.id != self.me.id)
            .filter_map(|m| m.addr.parse().ok())
            .collect();
        if members.is_empty() {
            want.extend(&self.known);
        }
        want.extend(self.seeds.iter());
        want.retain(|a| Some(*a) != own);
        for a in want.difference(&self.peer_addresses) {
            self.out.push(ControllerEffect::Connect(*a));
        }
        for a in self.peer_addresses.difference(&want) {
            self.out.push(ControllerEffect::Disconnect(*a));
        }
        self.peer_addresses = want;
    }

    /// A blank core: found with the others, or join what is founded.
    pub(super) fn founding_alarm(&mut self) {
        let live = self.live_cores(1500);
        if self.ask_founded(&live) || !self.bootstrap {
            return;
        }
        if let Some(mut set) = self.founding_set(&live) {
            set.sort_by_key(|m| m.id);
            // a promise binds across restarts, so that no two sets of
            // cores that share one can both be founded
            self.out
                .push(ControllerEffect::Keep("promise", encode(&set)));
            self.log_event(LogEvent::BootstrapPromised, names(&set));
            self.promise = Some(set);
        }
        let Some(set) = self.promise.clone() else {
            return;
        };
        for (c, _) in live.values() {
            let f = Founding::Promise { set: set.clone() };
            self.send(*c, Payload::Founding(f));
        }
        let all = set
            .iter()
            .all(|m| m.id == self.me.id || self.promises.get(&m.id) == Some(&set));
        if all {
            self.found(set);
        }
    }

    /// Ask a founded core what this one is, and where the others are; false
    /// if none is heard of.
    pub(super) fn ask_founded(&mut self, live: &BTreeMap<NodeId, (Conn, Hello)>) -> bool {
        let told: Vec<Conn> = live
            .values()
            .filter(|(_, h)| h.founded)
            .map(|l| l.0)
            .collect();
        if !told.is_empty() {
            // whether this core was promised a seat is the founders' to say,
            // and one of them may not answer, so each time another is asked
            let c = told[(self.now / ASK_MS) as usize % told.len()];
            let set = self.promise.clone().unwrap_or_default();
            self.send(c, Payload::Founding(Founding::Promise { set }));
        }
        !told.is_empty()
    }

    /// Whom to found with, once all of them are here and nothing is promised.
    fn founding_set(&self, live: &BTreeMap<NodeId, (Conn, Hello)>) -> Option<Vec<Member>> {
        let all: Vec<&Hello> = live.values().map(|(_, h)| h).chain([&self.me]).collect();
        let by = |h: &&&Hello| !self.grow || self.founder(h);
        let set: Vec<&Hello> = all.iter().filter(by).copied().collect();
        let wanted = if self.grow {
            self.founders.len()
        } else {
            self.cores
        };
        // a core that is no seed waits until the seeds have founded
        let mine = set.iter().any(|h| h.id == self.me.id);
        let ready = self.promise.is_none() && mine && set.len() == wanted;
        ready.then(|| set.into_iter().map(founding_voter).collect())
    }

    fn founder(&self, h: &Hello) -> bool {
        h.addr.parse().is_ok_and(|a| self.founders.contains(&a))
    }

    fn found(&mut self, set: Vec<Member>) {
        self.log_event(LogEvent::ClusterBootstrapped, names(&set));
        let r = ReplicatedState::new(self.site.clone());
        let (timing, seed, now) = (self.timing.clone(), self.seed, self.now);
        self.consensus = Some(Consensus::found(self.me.id, timing, set, r, seed, now));
        self.idempotency_event(idempotency::Event::Founded);
        self.greet();
        self.step_consensus(Event::Tick);
    }

    pub(super) fn greet(&mut self) {
        self.me.founded = true;
        for c in self.connections.all() {
            let h = self.me.clone();
            self.send(c, Payload::Hello(h));
        }
        self.redial();
    }

    pub(super) fn on_founding(&mut self, conn: Conn, from: Hello, f: Founding) {
        match f {
            Founding::Promise { set } => {
                let Some(a) = &self.consensus else {
                    self.promises.insert(from.id, set);
                    return;
                };
                // one that has only just joined does not know who founded
                if a.members().is_empty() {
                    return;
                }
                // only a blank core that is in the founding set by its own
                // identity may take its seat; any other joins as a non-voter
                let seat = a.members().iter().any(|m| m.id == from.id && m.voter);
                let set = if seat { set } else { Vec::new() };
                // a newcomer knows its seeds only, and the leader may be none
                let at = a.members().iter().map(|m| m.addr.clone()).collect();
                self.send(conn, Payload::Founding(Founding::Founded { set, at }));
            }
            Founding::Founded { set, at } => {
                let at = at.iter().filter_map(|a| a.parse().ok());
                self.known = at.collect();
                if self.consensus.is_some() {
                    return self.redial();
                }
                if self.promise.as_ref() == Some(&set) && !set.is_empty() {
                    return self.found(set);
                }
                self.log_event(LogEvent::JoiningAsLearner, format!("through {}", from.node));
                // a promise that came to nothing must not look like a founder's
                self.out.push(ControllerEffect::Keep("promise", Vec::new()));
                self.promise = None;
                let k = crate::store::DurableState::default().to_consensus();
                let r = ReplicatedState::new(self.site.clone());
                let (timing, seed, now) = (self.timing.clone(), self.seed, self.now);
                self.consensus = Some(Consensus::new(self.me.id, timing, k, r, seed, now));
                // it does not say that it is of the site before the log
                // has told it who is
                self.redial();
            }
        }
    }
}

fn names(set: &[Member]) -> String {
    let v: Vec<String> = set.iter().map(|m| format!("{:x}", m.id)).collect();
    v.join(" ")
}
