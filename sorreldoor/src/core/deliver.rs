//! Sessions of edges, permits granted on proved contact, news by serials.

use super::events::{HubFx, Want};
use super::hub::Hub;
use crate::agree::*;
use crate::events::Ev;
use crate::net::Conn;
use crate::roster::{Loads, Roster};
use crate::rules::{broken, Rule};
use crate::wire::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An edge not heard of for so long has no session.
const SEAT_MS: Ms = 1500;

impl Hub {
    pub(super) fn seat(&mut self, conn: Conn, h: Hello) {
        // why: a node has one session here; what is left of an older is stale
        let old: Vec<Conn> = self
            .seats
            .iter()
            .filter(|(c, s)| s.hello.node == h.node && **c != conn)
            .map(|(c, _)| *c)
            .collect();
        for c in old {
            self.seats.remove(&c);
            self.out.push(HubFx::Close(c));
        }
        self.say(Ev::NodeJoined, h.node.clone());
        self.seats.insert(
            conn,
            Seat {
                hello: h,
                serial: 0,
                permit: false,
                running: 0,
                took: Vec::new(),
            },
        );
        self.seats_changed();
    }

    pub(super) fn unseat(&mut self, conn: Conn) {
        if let Some(s) = self.seats.remove(&conn) {
            self.say(Ev::NodeLost, s.hello.node);
            self.seats_changed();
        }
    }

    fn seats_changed(&mut self) {
        self.seats_serial += 1;
        self.merge();
        self.tell_sessions();
    }

    fn tell_sessions(&mut self) {
        let s = Sessions {
            core: self.me.id,
            boot: self.me.boot,
            serial: self.seats_serial,
            seats: self.seats.values().cloned().collect(),
        };
        for (c, _) in self.live_cores(3000).into_values() {
            self.send(c, Payload::Sessions(s.clone()));
        }
    }

    pub(super) fn on_sessions(&mut self, from: Hello, s: Sessions) {
        let old = self.sessions.get(&from.id);
        // why: frames may pass each other on two lines; only news counts
        let newer = old.is_none_or(|o| o.boot != s.boot || s.serial >= o.serial);
        if s.core == from.id && newer && old.is_none_or(|o| *o != s) {
            self.sessions.insert(from.id, s);
            self.merge();
        }
    }

    /// All sessions of all cores that are heard of, an edge once.
    fn merge(&mut self) {
        let live = self.live_cores(3000);
        let mut all: BTreeMap<String, Seat> = BTreeMap::new();
        let others = self
            .sessions
            .iter()
            .filter(|(id, _)| live.contains_key(id))
            .flat_map(|(_, s)| s.seats.iter());
        for s in others.chain(self.seats.values()) {
            // why: what errands took is for tuning, and no edge needs it
            let s = Seat {
                took: Vec::new(),
                ..s.clone()
            };
            all.insert(s.hello.node.clone(), s);
        }
        let all: Vec<Seat> = all.into_values().collect();
        if all != self.merged.1 {
            // why: a serial that also grows across cores' restarts
            self.merged.0 += 1;
            self.merged.1 = all;
        }
    }

    pub(super) fn seats_alarm(&mut self) {
        let old = self.now.saturating_sub(SEAT_MS);
        let lost: Vec<Conn> = self
            .seats
            .keys()
            .filter(|c| self.lines.get(c).is_none_or(|l| l.heard < old))
            .copied()
            .collect();
        for c in lost {
            self.unseat(c);
            self.out.push(HubFx::Close(c));
        }
        self.merge();
        self.tell_sessions();
    }

    /// Every edge's own account of what its errands took.
    pub(super) fn accounts(&self) -> Vec<&Seat> {
        let live = self.live_cores(3000);
        let others = self.sessions.iter().filter(|(id, _)| live.contains_key(id));
        let others = others.flat_map(|(_, s)| s.seats.iter());
        others.chain(self.seats.values()).collect()
    }

    pub fn all_seats(&self) -> &[Seat] {
        &self.merged.1
    }

    pub(super) fn on_renew(&mut self, conn: Conn, no: u64, have: Have, doing: Doing) {
        let Some(s) = self.seats.get_mut(&conn) else {
            return;
        };
        s.serial = doing.serial;
        s.permit = doing.permit;
        s.running = doing.running;
        s.took = doing.took;
        self.seats_serial += 1;
        self.wants.push(Want::Grant { conn, no, have });
    }

    /// One proof of leadership serves all who asked before it began.
    pub(super) fn start_read(&mut self) {
        if self.wants.is_empty() || self.reading.len() >= 4 {
            return;
        }
        self.next_rid += 1;
        let rid = self.next_rid;
        let w = std::mem::take(&mut self.wants);
        if self.agree.is_none() || self.leaving {
            return self.serve(w, false);
        }
        if broken(Rule::Proof) {
            return self.serve(w, true);
        }
        self.reading.insert(rid, w);
        self.agreed(Event::Read { rid });
    }

    pub(super) fn on_read(&mut self, rid: u64, ok: bool) {
        let w = self.reading.remove(&rid).unwrap_or_default();
        self.quorum = ok;
        self.serve(w, ok);
    }

    fn serve(&mut self, wants: Vec<Want>, ok: bool) {
        for w in wants {
            match w {
                Want::Http(rid) => self.out.push(HubFx::Looked(rid, ok)),
                Want::Find(from, pid) => {
                    let a = self.agree.as_ref();
                    let o = a.and_then(|a| a.machine().answered(pid));
                    let o = o
                        .and_then(|b| crate::record::decode(&b))
                        .map(OpOutcome::Got);
                    let none = if ok {
                        OpOutcome::Nothing
                    } else {
                        OpOutcome::Unknown
                    };
                    self.op_done(from, o.unwrap_or(none));
                }
                Want::Grant { conn, no, have } => {
                    let news = if ok {
                        self.news(&have)
                    } else {
                        News::default()
                    };
                    self.send(conn, Payload::Grant { no, ok, news });
                }
            }
        }
    }

    /// What the asker lacks, source by source.
    fn news(&self, have: &Have) -> News {
        let r = self.agree.as_ref().map(|a| a.machine());
        let members = self.agree.as_ref().map_or(&[][..], |a| a.members());
        News {
            cores: members
                .iter()
                .filter(|m| m.voter)
                .map(|m| (m.addr.clone(), m.region))
                .collect(),
            record: r.filter(|r| r.rev() > have.record).map(|r| r.view()),
            roster: self.roster.clone().filter(|r| r.serial > have.roster),
            loads: Some(self.loads.clone()).filter(|l| l.mark() > have.loads),
            seats: Some(self.merged.clone()).filter(|s| s.0 != have.seats),
        }
    }

    pub(super) fn on_roster(&mut self, r: Result<Roster, String>) {
        match r {
            Ok(r) => {
                self.roster_problem = None;
                self.take_roster(Arc::new(r));
            }
            Err(e) => {
                if self.roster_problem.is_none() {
                    self.say(Ev::RosterLost, e.clone());
                }
                self.roster_problem = Some(e);
            }
        }
    }

    /// A newer list, from the platform or from a core that reaches it.
    pub(super) fn take_roster(&mut self, r: Arc<Roster>) {
        if self.roster.as_ref().is_some_and(|o| o.serial >= r.serial) {
            return;
        }
        let n = r.workers.len();
        self.say(Ev::RosterRead, format!("serial {}, {n} workers", r.serial));
        self.roster = Some(r.clone());
        for (c, _) in self.live_cores(3000).into_values() {
            self.send(c, Payload::Roster(r.clone()));
        }
    }

    pub(super) fn take_loads(&mut self, l: Arc<Loads>) {
        let epoch = self.agree.as_ref().map_or(0, |a| a.machine().epoch());
        // why: a deposed holder of the duty may still be gathering
        if l.epoch >= epoch && l.mark() > self.loads.mark() {
            self.loads = l;
        }
    }
}
