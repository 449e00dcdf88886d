//! An edge's session with a core: it fetches the state that it lacks, and has a
//! valid lease while a core has recently confirmed that this state is current. A
//! renewal that is not granted in time is hedged: sent to one more core, and the
//! first core that grants one takes over the session.

mod candidates;
mod lease;

use crate::invariants::{broken, Invariant};
use crate::net::Conn;
use crate::pacing::Pacing;
use crate::types::Millis;
use crate::wire::{KnownVersions, Unverified};
use candidates::Candidate;
use lease::{Lease, Renewal};
use std::net::SocketAddr;

/// Milliseconds between two events above which the process counts as
/// suspended.
const GAP: Millis = 400;
/// Milliseconds by which the wall clock runs ahead of the monotonic one where
/// the machine was suspended.
const JUMP: i64 = 1000;
/// Milliseconds between renewals while the lease is about to expire.
const AGAIN_MS: Millis = 120;
/// Milliseconds between renewals while nothing is confirmed yet.
const SOON_MS: Millis = 100;
/// Milliseconds until a renewal is hedged while nothing is confirmed yet.
const SOON_HEDGE_MS: Millis = 200;
/// Milliseconds after the start of a node in which it renews often.
const YOUNG_MS: Millis = 1500;
/// Milliseconds, beyond `unverified_after_ms`, until an edge without confirmed
/// state accepts it from a core that knows no leader.
const SEARCH_MS: Millis = 1000;

/// An edge's subscription to the state of the cores, and its lease. It does no
/// I/O: events go in, and `SubscriptionEffect`s come out. Times are of the
/// monotonic clock, in milliseconds.
#[derive(Clone, Debug)]
pub struct Pull {
    /// The cores, and whether each is in the edge's own region.
    cores: Vec<(SocketAddr, bool)>,
    /// Index of the core that is tried next.
    next: usize,
    /// Spreads edges over the cores of their region.
    salt: String,
    home_at: Millis,
    candidates: Vec<Candidate>,
    /// When a renewal is hedged, unless one is granted before.
    hedge_at: Millis,
    /// Address of the core of the session, connected or not.
    pub dialled: Option<SocketAddr>,
    /// Connection of the session, while it is established.
    pub conn: Option<Conn>,
    /// Versions of the state that the edge has. Its owner updates them as it
    /// applies a delta.
    pub have: KnownVersions,
    lease: Lease,
    renew_at: Millis,
    last_event: Millis,
    last_wall: i64,
    held: bool,
    renew_ms: Millis,
    hedge_ms: Millis,
    began: Millis,
    unverified_after: Option<Millis>,
    /// Whether any core has granted a renewal since the start.
    proved: bool,
    /// Effects of a grant, returned by the next `tick`.
    due: Vec<SubscriptionEffect>,
}

/// What a grant means for the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Granted {
    /// The state is confirmed and the lease extended: apply the delta.
    Proved,
    /// Not confirmed, but accepted for want of any confirmed state: the lease
    /// is extended, apply the delta.
    Unverified,
    /// Not granted: ignore the delta.
    No,
}

/// What the edge should do for its subscription.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriptionEffect {
    /// Keep a connection to this core.
    Connect(SocketAddr),
    /// Stop connecting to this core.
    Disconnect(SocketAddr),
    /// Send a renewal of the lease.
    Renew {
        /// Connection to send it on.
        conn: Conn,
        /// Number of the renewal, which its grant carries back.
        no: u64,
        /// State that is accepted without confirmation.
        unverified: Unverified,
    },
    /// Log that the session was lost: another core answered first.
    Lost,
    /// Log that the process or machine was suspended, with the cause; the
    /// lease is void.
    Woken(String),
    /// Log that the lease has expired.
    LeaseExpired,
    /// Log that the lease is valid again.
    LeaseRenewed,
}

impl Pull {
    /// A subscription without a session. `seeds` are the cores to try first,
    /// `now` is the monotonic and `wall` the wall clock, in milliseconds.
    pub fn new(seeds: &[SocketAddr], lease_ms: Millis, now: Millis, wall: i64) -> Pull {
        let pacing = Pacing::default();
        Pull {
            cores: seeds.iter().map(|s| (*s, false)).collect(),
            next: 0,
            salt: String::new(),
            home_at: now,
            candidates: Vec::new(),
            hedge_at: now + SOON_HEDGE_MS,
            dialled: None,
            conn: None,
            have: KnownVersions::default(),
            lease: Lease::new(lease_ms),
            renew_at: now,
            last_event: now,
            last_wall: wall,
            held: false,
            renew_ms: pacing.renew_ms,
            hedge_ms: pacing.hedge_ms,
            began: now,
            unverified_after: None,
            proved: false,
            due: Vec::new(),
        }
    }

    /// Sets the name of the node, which spreads nodes over the cores.
    pub fn named(self, node: &str) -> Pull {
        // not all need find the first seed dead when they start at once
        let next = crate::placement::hash_pair(node, "seed") as usize % self.cores.len().max(1);
        Pull {
            next,
            salt: node.to_string(),
            ..self
        }
    }

    /// Sets the intervals of renewals and hedges, and after how long
    /// unverified state is accepted.
    pub fn paced(self, t: &Pacing) -> Pull {
        Pull {
            renew_ms: t.renew_ms,
            hedge_ms: t.hedge_ms,
            unverified_after: t.unverified_after_ms,
            ..self
        }
    }

    /// Whether it has something of each source, verified or not, and can serve.
    fn has_state(&self) -> bool {
        let have = &self.have;
        have.record > 0 && have.registry > 0 && have.edge_sessions > 0
    }

    /// Milliseconds between renewals; less for a node that has just started and
    /// lacks state. One that has it is in no hurry: where all start at once, the
    /// cores need their time for an election.
    fn every(&self, now: Millis) -> Millis {
        let age = now.saturating_sub(self.began);
        let young = age < YOUNG_MS || (!self.proved && age < YOUNG_MS * 4);
        let hurries = !self.has_state() || broken(Invariant::Unhurried);
        if young && hurries {
            SOON_MS.min(self.renew_ms)
        } else {
            self.renew_ms
        }
    }

    /// Milliseconds until a renewal is hedged.
    fn hedge(&self) -> Millis {
        let hurries = !self.has_state() || broken(Invariant::Unhurried);
        if !self.proved && hurries {
            SOON_HEDGE_MS.min(self.hedge_ms)
        } else {
            self.hedge_ms
        }
    }

    /// Which state is accepted without confirmation.
    fn unverified(&self, now: Millis) -> Unverified {
        let Some(after) = self.unverified_after.filter(|_| !self.proved) else {
            // once anything was proved, nothing unverified is taken any more
            return Unverified::None;
        };
        let age = now.saturating_sub(self.began);
        if age < after {
            Unverified::None
        } else if age < after + SEARCH_MS {
            Unverified::FromStarting
        } else {
            Unverified::FromAny
        }
    }

    /// Whether the lease is valid.
    pub fn lease(&self, now: Millis) -> bool {
        self.lease.holds(now)
    }

    /// Milliseconds until the lease expires; 0 if it has.
    pub fn left(&self, now: Millis) -> Millis {
        self.lease.left(now)
    }

    /// To be called first at every event: if the process or its machine was
    /// suspended, the lease is void, since what the edge has may be old.
    pub fn awake(&mut self, now: Millis, wall: i64) -> Option<SubscriptionEffect> {
        let gap = now.saturating_sub(self.last_event);
        let jump = (wall - self.last_wall) - gap as i64;
        self.last_event = now;
        self.last_wall = wall;
        // while it slept the world may have moved on, and a monotonic
        // clock may have stood still with the machine
        if (gap > GAP || jump > JUMP) && !broken(Invariant::Woken) {
            self.lease.void();
            self.renew_at = now;
            self.hedge_at = now + self.hedge();
            return Some(SubscriptionEffect::Woken(format!(
                "gap {gap} ms, jump {jump} ms"
            )));
        }
        None
    }

    /// Advances time: connects, renews, hedges, and reports a changed lease.
    pub fn tick(&mut self, now: Millis) -> Vec<SubscriptionEffect> {
        let mut out = std::mem::take(&mut self.due);
        self.drop_candidates(now, &mut out);
        self.session(now, &mut out);
        self.go_home(now, &mut out);
        self.hedge_alarm(now, &mut out);
        if self.held != self.lease(now) {
            self.held = !self.held;
            // the cores should know at once whether this edge serves
            self.renew_at = now;
            out.push(if self.held {
                SubscriptionEffect::LeaseRenewed
            } else {
                SubscriptionEffect::LeaseExpired
            });
        }
        if let Some(conn) = self.conn.filter(|_| now >= self.renew_at) {
            out.push(self.renew(conn, now));
        }
        self.renew_candidates(now, &mut out);
        out
    }

    /// Renews the lease now; what is granted counts from this moment.
    pub fn renew(&mut self, conn: Conn, now: Millis) -> SubscriptionEffect {
        let no = self.lease.ask(conn, now);
        let soon = self.left(now) < self.lease.length / 2;
        let every = self.every(now);
        self.renew_at = now + if soon { AGAIN_MS.min(every) } else { every };
        let unverified = self.unverified(now);
        SubscriptionEffect::Renew {
            conn,
            no,
            unverified,
        }
    }

    /// Number of the last renewal; 0 before the first.
    pub fn last_no(&self) -> u64 {
        self.lease.last_no()
    }

    /// Connects to the next core if there is no session.
    fn session(&mut self, now: Millis, out: &mut Vec<SubscriptionEffect>) {
        if self.dialled.is_some() || self.cores.is_empty() {
            return;
        }
        let (addr, _) = self.cores[self.next % self.cores.len()];
        self.next += 1;
        self.dialled = Some(addr);
        self.hedge_at = self.hedge_at.max(now + self.hedge());
        out.push(SubscriptionEffect::Connect(addr));
    }

    /// A dialled connection is established; renews on it at once.
    pub fn up(&mut self, conn: Conn, addr: SocketAddr, now: Millis) -> Vec<SubscriptionEffect> {
        // what it lacks comes within one round trip
        if self.dialled == Some(addr) {
            self.conn = Some(conn);
            return vec![self.renew(conn, now)];
        }
        let mut out = Vec::new();
        if let Some(c) = self.candidates.iter_mut().find(|c| c.addr == addr) {
            c.conn = Some(conn);
            c.renew_at = now;
            self.renew_candidates(now, &mut out);
        }
        out
    }

    /// A connection is closed. Its core stays dialled.
    pub fn down(&mut self, conn: Conn) {
        if self.conn == Some(conn) {
            self.conn = None;
        }
        for c in self.candidates.iter_mut().filter(|c| c.conn == Some(conn)) {
            c.conn = None;
        }
    }

    /// Takes a grant for renewal `no`; `ok` if its state is confirmed, `some`
    /// if its delta brings an update of the state. The lease counts from when
    /// the renewal was sent.
    pub fn granted(&mut self, no: u64, ok: bool, some: bool, now: Millis) -> Granted {
        let Some(renewal) = self.lease.find(no) else {
            return Granted::No;
        };
        if ok {
            self.on_proof(renewal, now);
            return Granted::Proved;
        }
        let wanted = self.unverified(now) != Unverified::None;
        if wanted && (some || self.have.record > 0) {
            // the proof may follow under the same number
            self.lease.extend(renewal.sent_at);
            return Granted::Unverified;
        }
        self.lease.answered(renewal);
        if self.conn == Some(renewal.conn) {
            // a core without a majority is no use; look on at once
            self.hedge_at = self.hedge_at.min(now);
        }
        Granted::No
    }

    fn on_proof(&mut self, renewal: Renewal, now: Millis) {
        self.lease.answered(renewal);
        self.lease.extend(renewal.sent_at);
        self.proved = true;
        let every = self.every(now);
        self.hedge_at = self.hedge_at.max(renewal.sent_at + every + self.hedge());
        self.take_session(renewal.conn);
        // what was sent to be sure is not needed any more
        self.renew_at = self.renew_at.max(renewal.sent_at + every);
    }

    /// Takes a grant without a newer state that its core has and could not
    /// send yet: the core is alive, but the state of this edge is not
    /// confirmed.
    pub fn withheld(&mut self, no: u64, now: Millis) {
        let Some(renewal) = self.lease.find(no) else {
            return;
        };
        self.lease.answered(renewal);
        if self.conn == Some(renewal.conn) {
            self.hedge_at = self.hedge_at.max(now + self.hedge());
            self.renew_at = self.renew_at.min(now + AGAIN_MS);
        }
    }

    /// Takes the cores of a delta, by address and region, under their version.
    pub fn update_cores(&mut self, version: u64, cores: &[(String, u8)], own_region: u8) {
        self.have.cores = version;
        let parsed = cores.iter().filter_map(|(address, region)| {
            let address = address.parse().ok()?;
            Some((address, *region == own_region))
        });
        self.take_cores(parsed.collect());
    }

    /// Takes the cores as the site has them now, with whether each is in the
    /// region of the edge; those are tried first.
    pub fn take_cores(&mut self, mut cores: Vec<(SocketAddr, bool)>) {
        let salt = &self.salt;
        cores.sort_by_key(|(a, near)| (!near, crate::placement::hash_pair(salt, &a.to_string())));
        if !cores.is_empty() && cores != self.cores {
            self.cores = cores;
            let own = |(a, _): &(SocketAddr, bool)| Some(*a) == self.dialled;
            self.next = self.cores.iter().position(own).map_or(0, |i| i + 1);
        }
    }
}
