//! An edge's session and permit: it pulls what it lacks, and serves only
//! while a core has proved to it, a moment ago, that it is up to date.

use crate::consensus::Millis;
use crate::pacing::Pacing;
use crate::rules::{broken, Rule};
use crate::wire::Have;
use std::net::SocketAddr;

/// Alarms farther apart than this mean that the process did not run.
const GAP: Millis = 400;
/// A wall clock that runs ahead of the monotonic one by so much was suspended.
const JUMP: i64 = 1000;
const SILENT: Millis = 900;
/// Between renewals, and between those while the permit runs out.
const RENEW_MS: Millis = 300;
const AGAIN_MS: Millis = 120;
/// Between tries to come to a core of one's own region.
const HOME_MS: Millis = 10_000;
/// Between renewals, and silence of a core, while nothing is proved yet.
const SOON_MS: Millis = 100;
const SOON_SILENT: Millis = 500;
/// A node is young, and has much to learn, for so long after its start.
const YOUNG_MS: Millis = 1500;
/// An unproved session looks for a core that can prove itself so often.
const LOOK_MS: Millis = 800;

#[derive(Clone, Debug)]
pub struct Pull {
    cores: Vec<(SocketAddr, bool)>,
    at: usize,
    /// Spreads edges over the cores of their region.
    salt: String,
    home_at: Millis,
    /// A core of one's own region that is dialled beside the session's.
    trying: Option<(SocketAddr, Millis)>,
    pub dialled: Option<SocketAddr>,
    pub conn: Option<u64>,
    pub have: Have,
    permit_ms: Millis,
    permit_until: Millis,
    no: u64,
    /// Renewals on their way: number and when they were sent.
    sent: Vec<(u64, Millis)>,
    renew_at: Millis,
    heard: Millis,
    last_event: Millis,
    last_wall: i64,
    was: bool,
    renew_ms: Millis,
    began: Millis,
    unproven_after: Option<Millis>,
    /// A core has proved itself in this life.
    proved: bool,
    /// Something unproved was taken.
    lone: bool,
}

/// What came of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Granted {
    Proved,
    /// Not proved, and taken for want of any record.
    Unproved,
    No,
}

/// What the edge should do about its session now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullFx {
    Dial(SocketAddr),
    Undial(SocketAddr),
    Renew {
        conn: u64,
        no: u64,
        /// A record that is not proved current will do.
        unproven: bool,
    },
    Lost,
    Woken(String),
    PermitLost,
    PermitBack,
}

impl Pull {
    pub fn new(seeds: &[SocketAddr], permit_ms: Millis, now: Millis, wall: i64) -> Pull {
        Pull {
            cores: seeds.iter().map(|s| (*s, false)).collect(),
            at: 0,
            salt: String::new(),
            home_at: now,
            trying: None,
            dialled: None,
            conn: None,
            have: Have::default(),
            permit_ms,
            permit_until: 0,
            no: 0,
            sent: Vec::new(),
            renew_at: now,
            heard: now,
            last_event: now,
            last_wall: wall,
            was: false,
            renew_ms: RENEW_MS,
            began: now,
            unproven_after: None,
            proved: false,
            lone: false,
        }
    }

    pub fn named(self, node: &str) -> Pull {
        // not all need find the first seed dead when they start at once
        let at = crate::place::mix(node, "seed") as usize % self.cores.len().max(1);
        Pull {
            at,
            salt: node.to_string(),
            ..self
        }
    }

    /// Renewed so often, and content with an unproven record after so long
    /// without any.
    pub fn paced(self, t: &Pacing) -> Pull {
        Pull {
            renew_ms: t.renew_ms,
            unproven_after: t.unproven_after_ms,
            ..self
        }
    }

    /// Silence after which a session counts as lost.
    fn silent(&self) -> Millis {
        if self.proved {
            SILENT.max(self.renew_ms * 2 + 300)
        } else {
            SOON_SILENT
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

    fn unproven(&self, now: Millis) -> bool {
        let due = |ms| now.saturating_sub(self.began) >= ms;
        // once anything was proved, nothing unproved is taken any more
        !self.proved && self.unproven_after.is_some_and(due)
    }

    pub fn permit(&self, now: Millis) -> bool {
        now < self.permit_until || broken(Rule::Permit)
    }

    pub fn left(&self, now: Millis) -> Millis {
        self.permit_until.saturating_sub(now)
    }

    /// To be called before anything else at every event: while the process
    /// or its machine slept, whatever it held may have become old.
    pub fn awake(&mut self, now: Millis, wall: i64) -> Option<PullFx> {
        let gap = now.saturating_sub(self.last_event);
        let jump = (wall - self.last_wall) - gap as i64;
        self.last_event = now;
        self.last_wall = wall;
        // while it slept the world may have moved on, and a monotonic
        // clock may have stood still with the machine
        if (gap > GAP || jump > JUMP) && !broken(Rule::Woken) {
            self.permit_until = 0;
            self.sent.clear();
            self.heard = now;
            self.renew_at = now;
            return Some(PullFx::Woken(format!("gap {gap} ms, jump {jump} ms")));
        }
        None
    }

    pub fn alarm(&mut self, now: Millis) -> Vec<PullFx> {
        let mut out = Vec::new();
        self.go_home(now, &mut out);
        self.session(now, &mut out);
        if self.was != self.permit(now) {
            self.was = !self.was;
            out.push(if self.was {
                PullFx::PermitBack
            } else {
                PullFx::PermitLost
            });
        }
        if let Some(conn) = self.conn.filter(|_| now >= self.renew_at) {
            out.push(self.renew(conn, now));
        }
        out
    }

    /// Ask for a renewal now; what is granted counts from this moment.
    pub fn renew(&mut self, conn: u64, now: Millis) -> PullFx {
        self.no += 1;
        self.sent.push((self.no, now));
        if self.sent.len() > 64 {
            self.sent.remove(0);
        }
        let soon = self.left(now) < self.permit_ms / 2;
        let every = self.every(now);
        self.renew_at = now + if soon { AGAIN_MS.min(every) } else { every };
        let (no, unproven) = (self.no, self.unproven(now));
        PullFx::Renew { conn, no, unproven }
    }

    pub fn last_no(&self) -> u64 {
        self.no
    }

    /// Come to a core of one's own region: what is asked of one far off costs
    /// its way twice, and a claim twice that. The old session stands until
    /// the new one does.
    fn go_home(&mut self, now: Millis, out: &mut Vec<PullFx>) {
        let near = |a: &SocketAddr| self.cores.iter().any(|(c, n)| *n && c == a);
        if let Some((a, since)) = self.trying {
            let late = now.saturating_sub(since) > self.silent();
            if late || self.conn.is_none() {
                self.trying = None;
                out.extend(Some(PullFx::Undial(a)).filter(|_| self.dialled != Some(a)));
            }
            return;
        }
        let away = self.dialled.as_ref().is_some_and(|a| !near(a));
        if now < self.home_at || self.conn.is_none() || !(away || self.lone) {
            return;
        }
        // one that gives what it cannot prove may be cut off from a
        // majority which others reach
        let every = if self.lone { LOOK_MS } else { HOME_MS };
        let wanted = |c: &&(SocketAddr, bool)| {
            if self.lone {
                Some(c.0) != self.dialled
            } else {
                c.1
            }
        };
        // the first may be down for good, so each time another is tried
        let all: Vec<SocketAddr> = self.cores.iter().filter(wanted).map(|c| c.0).collect();
        let turn = (now / every) as usize % all.len().max(1);
        if let Some(a) = all.get(turn).copied() {
            self.home_at = now + every;
            self.trying = Some((a, now));
            out.push(PullFx::Dial(a));
        }
    }

    /// Keep a session with one core; go on to the next when it is silent.
    fn session(&mut self, now: Millis, out: &mut Vec<PullFx>) {
        let silent = now.saturating_sub(self.heard) > self.silent();
        if self.dialled.is_some() && !silent {
            return;
        }
        if let Some(a) = self.dialled.take() {
            out.push(PullFx::Undial(a));
            if self.conn.take().is_some() {
                out.push(PullFx::Lost);
            }
            self.at += 1;
        }
        if let Some((a, _)) = self.cores.get(self.at % self.cores.len().max(1)).copied() {
            self.dialled = Some(a);
            self.heard = now;
            out.push(PullFx::Dial(a));
        }
    }

    /// A connection stands; whether it is now the session's, and what the
    /// session leaves behind.
    pub fn up(&mut self, conn: u64, addr: SocketAddr, now: Millis) -> Vec<PullFx> {
        let mut out = Vec::new();
        if self.trying.is_some_and(|(a, _)| a == addr) {
            self.trying = None;
            out.extend(self.dialled.filter(|a| *a != addr).map(PullFx::Undial));
            self.dialled = Some(addr);
            self.at = self.cores.iter().position(|(a, _)| *a == addr).unwrap_or(0);
            self.heard = now;
        }
        if self.dialled == Some(addr) {
            self.conn = Some(conn);
            self.heard = now;
            // what it lacks comes within one round trip
            let ask = self.renew(conn, now);
            out.push(ask);
        }
        out
    }

    pub fn down(&mut self, conn: u64) {
        if self.conn == Some(conn) {
            self.conn = None;
        }
    }

    /// A grant came: it counts from when its renewal was sent. `some` tells
    /// that it brings a record.
    pub fn granted(&mut self, no: u64, ok: bool, some: bool, now: Millis) -> Granted {
        let Some(i) = self.sent.iter().position(|(n, _)| *n == no) else {
            return Granted::No;
        };
        let at = self.sent[i].1;
        self.sent.drain(..=i);
        let lone = !ok && self.unproven(now) && (some || self.have.record > 0);
        self.proved |= ok;
        if lone && !self.lone {
            self.home_at = now + LOOK_MS;
        }
        self.lone = lone || (self.lone && !ok);
        if ok || lone {
            self.heard = now;
            self.permit_until = self.permit_until.max(at + self.permit_ms);
            // what was sent to be sure is not needed any more
            self.renew_at = self.renew_at.max(at + self.every(now));
        } else {
            // a core without a quorum is no use for long; look on sooner
            self.heard = self.heard.min(now.saturating_sub(self.silent() / 2));
        }
        match (ok, lone) {
            (true, _) => Granted::Proved,
            (_, true) => Granted::Unproved,
            _ => Granted::No,
        }
    }

    /// A core answered that it has a newer record and could not send it yet:
    /// it is alive, but what this node has is not proved current.
    pub fn withheld(&mut self, no: u64, now: Millis) {
        let Some(i) = self.sent.iter().position(|(n, _)| *n == no) else {
            return;
        };
        self.sent.drain(..=i);
        self.heard = now;
        self.renew_at = self.renew_at.min(now + AGAIN_MS);
    }

    /// The cores as the site has them now; those of one's own region first.
    pub fn take_cores(&mut self, mut cores: Vec<(SocketAddr, bool)>) {
        let salt = &self.salt;
        cores.sort_by_key(|(a, near)| (!near, crate::place::mix(salt, &a.to_string())));
        if !cores.is_empty() && cores != self.cores {
            self.cores = cores;
            self.at = self
                .cores
                .iter()
                .position(|(a, _)| Some(*a) == self.dialled)
                .unwrap_or(0);
        }
    }
}
