//! Bootstrap of a site: blank cores agree once on the founders, the initial
//! voters of the consensus group.
//!
//! Each blank core promises one set of founders, stores the promise on disk, and
//! bootstraps when all founders have promised the same set. A promise is binding
//! across restarts, so two sets that share a core cannot both bootstrap. A blank
//! core that is connected to a core of a bootstrapped site joins that site as a
//! learner instead.
//!
//! [`Bootstrap`] is a reducer without I/O: it takes events and returns [`Effect`]s.

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

/// Interval after which the query goes to the next founded core.
const QUERY_INTERVAL_MS: Millis = 250;

/// Live cores by id, each with a connection to it and its hello.
pub type LiveCores = BTreeMap<NodeId, (Conn, Hello)>;

/// How a core bootstraps a site.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether this core may bootstrap a site; otherwise it only joins one.
    pub enabled: bool,
    /// Addresses of the only cores that may be founders; `None` where any core may
    /// be one.
    pub allowed_founders: Option<BTreeSet<SocketAddr>>,
    /// Number of founders where any core may be one.
    pub founder_count: usize,
    /// The founders that this core promised before a restart.
    pub promised_founders: Option<Vec<Member>>,
}

/// An action for the controller; actions are carried out in order.
#[derive(Debug)]
pub enum Effect {
    /// Send on a connection.
    Send(Conn, BootstrapMessage),
    /// Store the promised founders on disk; `None` withdraws the promise.
    SavePromise(Option<Vec<Member>>),
    /// Write a log event.
    Log(LogEvent, String),
    /// Bootstrap the site with these founders.
    Bootstrap(Vec<Member>),
    /// Join the bootstrapped site as a learner.
    Join,
    /// Replace the addresses of the members discovered through a peer.
    Discover(BTreeSet<SocketAddr>),
    /// Connect to the current members and seeds, and disconnect from others.
    ReconcileConnections,
}

/// The state of this core that decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// This core's own hello.
    pub own: &'a Hello,
    /// Time by the monotonic clock, in milliseconds.
    pub now: Millis,
    /// The members: `None` until this core has bootstrapped or joined a site,
    /// and empty until a joining core has received the log.
    pub members: Option<&'a [Member]>,
}

/// The bootstrap state of one core: its promise and those of its peers.
#[derive(Debug)]
pub struct Bootstrap {
    enabled: bool,
    allowed_founders: Option<BTreeSet<SocketAddr>>,
    founder_count: usize,
    promised_founders: Option<Vec<Member>>,
    peer_promises: BTreeMap<NodeId, Vec<Member>>,
}

impl Bootstrap {
    /// Starts with the promise that was stored on disk, if any.
    #[must_use]
    pub fn new(options: Options) -> Bootstrap {
        Bootstrap {
            // a promise is void where the settings no longer allow a bootstrap
            promised_founders: options.promised_founders.filter(|_| options.enabled),
            enabled: options.enabled,
            allowed_founders: options.allowed_founders,
            founder_count: options.founder_count,
            peer_promises: BTreeMap::new(),
        }
    }

    /// Periodic step of a blank core: asks a founded core to join its site, or
    /// promises founders and bootstraps once all of them have promised the same.
    #[must_use]
    pub fn tick(&mut self, live: &LiveCores, context: &Context) -> Vec<Effect> {
        if let Some(query) = self.query_founded_core(live, context.now) {
            return vec![query];
        }
        if !self.enabled {
            return Vec::new();
        }
        let mut effects = self.make_promise(live, context.own);
        let Some(founders) = &self.promised_founders else {
            return effects;
        };
        effects.extend(live.values().map(|(conn, _)| send_promise(*conn, founders)));
        if self.is_agreed(founders, context.own.id) {
            effects.push(Effect::Bootstrap(founders.clone()));
        }
        effects
    }

    /// Asks a founded core for the members and whether this core is a founder;
    /// `None` if no founded core is live.
    #[must_use]
    pub fn query_founded_core(&self, live: &LiveCores, now: Millis) -> Option<Effect> {
        let founded: Vec<Conn> = live
            .values()
            .filter(|(_, hello)| hello.founded)
            .map(|(conn, _)| *conn)
            .collect();
        if founded.is_empty() {
            return None;
        }
        // rotates, since one of them may not answer
        let turn = (now / QUERY_INTERVAL_MS) as usize % founded.len();
        let founders = self.promised_founders.as_deref().unwrap_or_default();
        Some(send_promise(founded[turn], founders))
    }

    /// Handles a message of another core.
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
                // a core that has joined but received no log knows no members
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
            effects.push(Effect::ReconcileConnections);
        } else if self.promised_founders.as_ref() == Some(&founders) && !founders.is_empty() {
            effects.push(Effect::Bootstrap(founders));
        } else {
            let details = format!("through {}", from.node);
            effects.push(Effect::Log(LogEvent::JoiningAsLearner, details));
            // after a restart an unused promise would mark this core as a founder
            self.promised_founders = None;
            effects.push(Effect::SavePromise(None));
            effects.push(Effect::Join);
            // the membership is announced only once the log has been received
            effects.push(Effect::ReconcileConnections);
        }
        effects
    }

    /// Promises founders if all of them are live and this core has not promised
    /// any yet.
    fn make_promise(&mut self, live: &LiveCores, own: &Hello) -> Vec<Effect> {
        let Some(mut founders) = self.candidate_founders(live, own) else {
            return Vec::new();
        };
        founders.sort_by_key(|member| member.id);
        self.promised_founders = Some(founders.clone());
        let details = format_member_ids(&founders);
        vec![
            Effect::SavePromise(Some(founders)),
            Effect::Log(LogEvent::BootstrapPromised, details),
        ]
    }

    fn candidate_founders(&self, live: &LiveCores, own: &Hello) -> Option<Vec<Member>> {
        let candidates: Vec<&Hello> = live
            .values()
            .map(|(_, hello)| hello)
            .chain([own])
            .filter(|hello| self.may_found(hello))
            .collect();
        let expected = self
            .allowed_founders
            .as_ref()
            .map_or(self.founder_count, BTreeSet::len);
        // other cores wait until the allowed founders have bootstrapped
        let is_candidate = candidates.iter().any(|hello| hello.id == own.id);
        let ready =
            self.promised_founders.is_none() && is_candidate && candidates.len() == expected;
        ready.then(|| candidates.into_iter().map(founding_voter).collect())
    }

    fn may_found(&self, hello: &Hello) -> bool {
        self.allowed_founders
            .as_ref()
            .is_none_or(|allowed| hello.addr.parse().is_ok_and(|a| allowed.contains(&a)))
    }

    fn is_agreed(&self, founders: &[Member], own_id: NodeId) -> bool {
        founders.iter().all(|member| {
            let peer_promise = self.peer_promises.get(&member.id);
            member.id == own_id || peer_promise.is_some_and(|p| p == founders)
        })
    }
}

/// A founded core's answer to a blank core. It returns the founders only to a
/// core that is already a voter under its current id; any other must join as a
/// learner. It contains all members' addresses, since a blank core knows only
/// the seeds, and the leader need not be one.
fn answer(peer: NodeId, founders: Vec<Member>, members: &[Member]) -> BootstrapMessage {
    let is_voter = members
        .iter()
        .any(|member| member.id == peer && member.voter);
    BootstrapMessage::Founded {
        founders: if is_voter { founders } else { Vec::new() },
        addresses: members.iter().map(|member| member.addr.clone()).collect(),
    }
}

fn send_promise(conn: Conn, founders: &[Member]) -> Effect {
    let founders = founders.to_vec();
    Effect::Send(conn, BootstrapMessage::Promise { founders })
}

fn founding_voter(hello: &Hello) -> Member {
    Member {
        voter: true,
        ..joining_learner(hello)
    }
}

/// The ids of members in hexadecimal, separated by spaces, for log events.
#[must_use]
pub fn format_member_ids(members: &[Member]) -> String {
    let ids: Vec<String> = members.iter().map(|m| format!("{:x}", m.id)).collect();
    ids.join(" ")
}
