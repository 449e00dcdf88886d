//! An edge's session with a core: it pulls what it lacks, and holds a lease
//! while a core has proved to it, a moment ago, that it is up to date. A
//! renewal that is not answered in time is hedged: sent to one core more, and
//! the first core that proves itself has the session.

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

/// Alarms farther apart than this mean that the process did not run.
const GAP: Millis = 400;
/// A wall clock that runs ahead of the monotonic one by so much was suspended.
const JUMP: i64 = 1000;
/// Between renewals while the lease runs out.
const AGAIN_MS: Millis = 120;
/// Between renewals, and until one is hedged, while nothing is proved yet.
const SOON_MS: Millis = 100;
const SOON_HEDGE_MS: Millis = 200;
/// A node is young, and has much to learn, for so long after its start.
const YOUNG_MS: Millis = 1500;
/// After so long without a proof from any core an edge without a record
/// takes one from a core that has lost its majority.
const SEARCH_MS: Millis = 1000;

#[derive(Clone, Debug)]
pub struct Pull {
    /// The cores, and whether each is in the edge's own region.
    cores: Vec<(SocketAddr, bool)>,
    /// Which core is tried next.
    next: usize,
    /// Spreads edges over the cores of their region.
    salt: String,
    home_at: Millis,
    candidates: Vec<Candidate>,
    /// When one core more is tried, unless there is a proof before.
    hedge_at: Millis,
    pub dialled: Option<SocketAddr>,
    pub conn: Option<Conn>,
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
    /// A core has proved itself in this life.
    proved: bool,
    /// What follows from a grant, carried out at the next alarm.
    due: Vec<SubscriptionEffect>,
}

/// What came of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Granted {
    Proved,
    /// Not proved, and taken for want of any record.
    Unverified,
    No,
}

/// What the edge should do about its session now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriptionEffect {
    Connect(SocketAddr),
    Disconnect(SocketAddr),
    Renew {
        conn: Conn,
        no: u64,
        unverified: Unverified,
    },
    Lost,
    Woken(String),
    LeaseExpired,
    LeaseRenewed,
}

impl Pull {
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

    pub fn named(self, node: &str) -> Pull {
        // not all need find the first seed dead when they start at once
        let next = crate::placement::mix(node, "seed") as usize % self.cores.len().max(1);
        Pull {
            next,
            salt: node.to_string(),
            ..self
        }
    }

    /// Renewed and hedged so often, and content with an unverified record
    /// after so long without any.
    pub fn paced(self, t: &Pacing) -> Pull {
        Pull {
            renew_ms: t.renew_ms,
            hedge_ms: t.hedge_ms,
            unverified_after: t.unverified_after_ms,
            ..self
        }
    }

    /// Between renewals: a node that has just started asks often.
    fn every(&self, now: Millis) -> Millis {
        let age = now.saturating_sub(self.began);
        let soon = age < YOUNG_MS || (!self.proved && age < YOUNG_MS * 4);
        if soon {
            SOON_MS.min(self.renew_ms)
        } else {
            self.renew_ms
        }
    }

    /// Until one core more is tried.
    fn hedge(&self) -> Millis {
        if self.proved {
            self.hedge_ms
        } else {
            SOON_HEDGE_MS.min(self.hedge_ms)
        }
    }

    /// Which record that is not proved current will do.
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

    pub fn lease(&self, now: Millis) -> bool {
        self.lease.holds(now)
    }

    pub fn left(&self, now: Millis) -> Millis {
        self.lease.left(now)
    }

    /// To be called before anything else at every event: while the process
    /// or its machine slept, whatever it held may have become old.
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

    pub fn tick(&mut self, now: Millis) -> Vec<SubscriptionEffect> {
        let mut out = std::mem::take(&mut self.due);
        self.drop_candidates(now, &mut out);
        self.session(now, &mut out);
        self.go_home(now, &mut out);
        self.hedge_alarm(now, &mut out);
        if self.held != self.lease(now) {
            self.held = !self.held;
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

    /// Ask for a renewal now; what is granted counts from this moment.
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

    pub fn last_no(&self) -> u64 {
        self.lease.last_no()
    }

    /// Have a session with some core, proved or not.
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

    /// A connection stands; what is asked on it at once.
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

    pub fn down(&mut self, conn: Conn) {
        if self.conn == Some(conn) {
            self.conn = None;
        }
        for c in self.candidates.iter_mut().filter(|c| c.conn == Some(conn)) {
            c.conn = None;
        }
    }

    /// A grant came: it counts from when its renewal was sent. `some` tells
    /// that it brings a record.
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

    /// A core answered that it has a newer record and could not send it yet:
    /// it is alive, but what this node has is not proved current.
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

    /// The cores as the site has them now; those of one's own region first.
    pub fn take_cores(&mut self, mut cores: Vec<(SocketAddr, bool)>) {
        let salt = &self.salt;
        cores.sort_by_key(|(a, near)| (!near, crate::placement::mix(salt, &a.to_string())));
        if !cores.is_empty() && cores != self.cores {
            self.cores = cores;
            let own = |(a, _): &(SocketAddr, bool)| Some(*a) == self.dialled;
            self.next = self.cores.iter().position(own).map_or(0, |i| i + 1);
        }
    }
}
