//! Cluster bootstrap: blank cores agree on the first members, once.
//!
//! Each blank core promises one set of founders, keeps the promise on disk, and
//! bootstraps when all founders have promised the same set. A promise binds
//! across restarts, so two sets that share a core cannot both bootstrap. A core
//! that meets a founded one joins it instead, as a learner.
//!
//! [`Bootstrap`] is pure: it takes an event and returns [`Effect`]s.

mod peer_addresses;

pub use peer_addresses::PeerAddresses;

use super::membership::joining_learner;
use crate::consensus::Member;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{BootstrapMessage, Hello};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Milliseconds after which the next bootstrapped core is asked.
const QUERY_INTERVAL_MS: Millis = 250;

/// Cores that are reachable, each with a connection and its hello.
pub type LiveCores = BTreeMap<NodeId, (Conn, Hello)>;

/// How a core bootstraps a site.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether this core may bootstrap a site; otherwise it only joins one.
    pub enabled: bool,
    /// Addresses of the only cores that bootstrap the site; without any, the first
    /// `cores` cores do.
    pub seeds_only: Option<BTreeSet<SocketAddr>>,
    /// Number of founders where any core may be one.
    pub cores: usize,
    /// The founders that this core promised before a restart.
    pub promise: Option<Vec<Member>>,
}

/// What the controller is to do, in this order.
#[derive(Debug)]
pub enum Effect {
    /// Send on a connection.
    Send(Conn, BootstrapMessage),
    /// Keep the promised founders on disk; none takes a promise back.
    KeepPromise(Option<Vec<Member>>),
    /// Write a log event.
    Log(LogEvent, String),
    /// Bootstrap the site with these founders.
    Found(Vec<Member>),
    /// Join the founded site as a learner.
    Join,
    /// Remember where the members are.
    Discover(BTreeSet<SocketAddr>),
    /// Match the connections to the members and seeds.
    Redial,
}

/// This core's membership as the part sees it.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// This core.
    pub own: &'a Hello,
    /// Time by the monotonic clock, in milliseconds.
    pub now: Millis,
    /// The members; none while this core is part of no site, empty until it has
    /// received the log.
    pub members: Option<&'a [Member]>,
}

/// One core's part in the bootstrap.
#[derive(Debug)]
pub struct Bootstrap {
    enabled: bool,
    seeds_only: Option<BTreeSet<SocketAddr>>,
    cores: usize,
    promise: Option<Vec<Member>>,
    peer_promises: BTreeMap<NodeId, Vec<Member>>,
}

impl Bootstrap {
    /// Starts with the promise that was kept on disk, if any.
    #[must_use]
    pub fn new(options: Options) -> Bootstrap {
        Bootstrap {
            // a core that may not bootstrap must not use what it once promised
            promise: options.promise.filter(|_| options.enabled),
            enabled: options.enabled,
            seeds_only: options.seeds_only,
            cores: options.cores,
            peer_promises: BTreeMap::new(),
        }
    }

    /// Periodic step of a blank core: bootstrap with the others, or join.
    #[must_use]
    pub fn tick(&mut self, live: &LiveCores, context: &Context) -> Vec<Effect> {
        if let Some(query) = self.query(live, context.now) {
            return vec![query];
        }
        if !self.enabled {
            return Vec::new();
        }
        let mut effects = self.make_promise(live, context.own);
        let Some(founders) = &self.promise else {
            return effects;
        };
        effects.extend(live.values().map(|(conn, _)| promise(*conn, founders)));
        if self.is_agreed(founders, context.own.id) {
            effects.push(Effect::Found(founders.clone()));
        }
        effects
    }

    /// Asks a founded core for the members and whether this core is one; none
    /// if no founded core is live.
    #[must_use]
    pub fn query(&self, live: &LiveCores, now: Millis) -> Option<Effect> {
        let founded: Vec<Conn> = live
            .values()
            .filter(|(_, hello)| hello.founded)
            .map(|(conn, _)| *conn)
            .collect();
        if founded.is_empty() {
            return None;
        }
        // one of them may not answer, so another is asked each time
        let turn = (now / QUERY_INTERVAL_MS) as usize % founded.len();
        let founders = self.promise.as_deref().unwrap_or_default();
        Some(promise(founded[turn], founders))
    }

    /// Reacts to a message of another core.
    #[must_use]
    pub fn on_message(
        &mut self,
        conn: Conn,
        from: &Hello,
        message: BootstrapMessage,
        context: &Context,
    ) -> Vec<Effect> {
        match message {
            BootstrapMessage::Promise { founders } => match context.members {
                None => {
                    self.peer_promises.insert(from.id, founders);
                    Vec::new()
                }
                // a core that has only just joined does not know the founders
                Some([]) => Vec::new(),
                Some(members) => vec![Effect::Send(conn, answer(from.id, founders, members))],
            },
            BootstrapMessage::Founded {
                founders,
                addresses,
            } => self.on_founded(from, founders, &addresses, context),
        }
    }

    fn on_founded(
        &mut self,
        from: &Hello,
        founders: Vec<Member>,
        addresses: &[String],
        context: &Context,
    ) -> Vec<Effect> {
        let addresses = addresses.iter().filter_map(|a| a.parse().ok()).collect();
        let mut effects = vec![Effect::Discover(addresses)];
        if context.members.is_some() {
            effects.push(Effect::Redial);
        } else if self.promise.as_ref() == Some(&founders) && !founders.is_empty() {
            effects.push(Effect::Found(founders));
        } else {
            let about = format!("through {}", from.node);
            effects.push(Effect::Log(LogEvent::JoiningAsLearner, about));
            // an unused promise must not look like a founder's
            self.promise = None;
            effects.push(Effect::KeepPromise(None));
            effects.push(Effect::Join);
            // it announces itself as a member only once it has the log
            effects.push(Effect::Redial);
        }
        effects
    }

    /// Promises the founders once all of them are live and none are promised.
    fn make_promise(&mut self, live: &LiveCores, own: &Hello) -> Vec<Effect> {
        let Some(mut founders) = self.candidate_founders(live, own) else {
            return Vec::new();
        };
        founders.sort_by_key(|member| member.id);
        self.promise = Some(founders.clone());
        let about = names(&founders);
        vec![
            Effect::KeepPromise(Some(founders)),
            Effect::Log(LogEvent::BootstrapPromised, about),
        ]
    }

    fn candidate_founders(&self, live: &LiveCores, own: &Hello) -> Option<Vec<Member>> {
        let candidates: Vec<&Hello> = live
            .values()
            .map(|(_, hello)| hello)
            .chain([own])
            .filter(|hello| self.may_found(hello))
            .collect();
        let wanted = self.seeds_only.as_ref().map_or(self.cores, BTreeSet::len);
        // a core that is no seed waits until the seeds have bootstrapped
        let is_candidate = candidates.iter().any(|hello| hello.id == own.id);
        let ready = self.promise.is_none() && is_candidate && candidates.len() == wanted;
        ready.then(|| candidates.into_iter().map(founding_voter).collect())
    }

    fn may_found(&self, hello: &Hello) -> bool {
        self.seeds_only
            .as_ref()
            .is_none_or(|seeds| hello.addr.parse().is_ok_and(|a| seeds.contains(&a)))
    }

    fn is_agreed(&self, founders: &[Member], own_id: NodeId) -> bool {
        founders.iter().all(|member| {
            let peer_promise = self.peer_promises.get(&member.id);
            member.id == own_id || peer_promise.is_some_and(|p| p == founders)
        })
    }
}

/// A founded core's answer. Only a blank core that is a founder by its own
/// identity may take its seat as a voter; any other joins as a learner. It gets
/// all addresses, since it knows only seeds, and the leader may be none.
fn answer(asker: NodeId, founders: Vec<Member>, members: &[Member]) -> BootstrapMessage {
    let is_voter = members
        .iter()
        .any(|member| member.id == asker && member.voter);
    BootstrapMessage::Founded {
        founders: if is_voter { founders } else { Vec::new() },
        addresses: members.iter().map(|member| member.addr.clone()).collect(),
    }
}

fn promise(conn: Conn, founders: &[Member]) -> Effect {
    let founders = founders.to_vec();
    Effect::Send(conn, BootstrapMessage::Promise { founders })
}

fn founding_voter(hello: &Hello) -> Member {
    Member {
        voter: true,
        ..joining_learner(hello)
    }
}

/// The identities of members, as log events show them.
#[must_use]
pub fn names(members: &[Member]) -> String {
    let names: Vec<String> = members.iter().map(|m| format!("{:x}", m.id)).collect();
    names.join(" ")
}
