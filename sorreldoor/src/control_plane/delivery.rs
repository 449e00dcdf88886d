//! Sessions of edges, permits granted on proved contact, news by serials.

use super::controller::Controller;
use super::events::{ControllerEffect, Want};
use super::updates::Due;
use crate::consensus::*;
use crate::discovery::Loads;
use crate::invariants::{broken, Invariant};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::replicated_state::encode;
use crate::wire::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An edge not heard of for so long has no session.
const SESSION_TIMEOUT_MS: Millis = 1500;
/// Sessions that have not changed are told again so often.
const REPORT_AGAIN_MS: Millis = 5000;

impl Controller {
    pub(super) fn begin_session(&mut self, conn: Conn, h: Hello) {
        // a node has one session here; what is left of an older is stale
        let old: Vec<Conn> = self
            .edge_sessions
            .iter()
            .filter(|(c, s)| s.hello.node == h.node && **c != conn)
            .map(|(c, _)| *c)
            .collect();
        for c in old {
            self.edge_sessions.remove(&c);
            self.updates.closed(c);
            self.out.push(ControllerEffect::Close(c));
        }
        self.log_event(LogEvent::EdgeConnected, h.node.clone());
        self.edge_sessions.insert(
            conn,
            EdgeSession {
                hello: h,
                version: 0,
                lease: false,
                running: 0,
                took: Vec::new(),
            },
        );
        self.sessions_changed();
    }

    pub(super) fn end_session(&mut self, conn: Conn) {
        self.updates.closed(conn);
        if let Some(s) = self.edge_sessions.remove(&conn) {
            self.log_event(LogEvent::EdgeDisconnected, s.hello.node);
            self.sessions_changed();
        }
    }

    fn sessions_changed(&mut self) {
        self.merge();
        self.tell_sessions(true);
    }

    /// This core's sessions as other cores are told of them.
    fn own_sessions(&self) -> Vec<EdgeSession> {
        let all = self.edge_sessions.values().cloned();
        if self.pacing.accounts {
            return all.collect();
        }
        let bare = |s: EdgeSession| EdgeSession {
            version: 0,
            running: 0,
            took: Vec::new(),
            ..s
        };
        all.map(bare).collect()
    }

    fn tell_sessions(&mut self, now: bool) {
        let edge_sessions = self.own_sessions();
        let old = self.now.saturating_sub(self.told.1) >= REPORT_AGAIN_MS;
        let new = edge_sessions != self.told.0;
        // what has not changed was told; now and then again, since a full
        // ring may have dropped it
        if !(new || old || now) {
            return;
        }
        self.report_version += u64::from(new);
        self.told = (edge_sessions, self.now);
        for (c, _) in self.live_cores(3000).into_values() {
            self.send_sessions(c);
        }
    }

    fn send_sessions(&mut self, c: Conn) {
        let s = SessionReport {
            core: self.me.id,
            incarnation: self.me.incarnation,
            version: self.report_version,
            edge_sessions: self.told.0.clone(),
        };
        self.send(c, Payload::SessionReport(s));
    }

    /// What a core that has just come needs to know at once.
    pub(super) fn brief(&mut self, conn: Conn) {
        self.send_sessions(conn);
        if let Some(r) = self.worker_list.at(self.now) {
            self.send(conn, Payload::WorkerRegistry(r));
        }
    }

    pub(super) fn on_sessions(&mut self, from: Hello, s: SessionReport) {
        let old = self.session_reports.get(&from.id);
        // frames may pass each other on two lines; only news counts
        let newer = old.is_none_or(|o| o.incarnation != s.incarnation || s.version >= o.version);
        if s.core == from.id && newer && old.is_none_or(|o| *o != s) {
            self.session_reports.insert(from.id, s);
            self.merge();
        }
    }

    /// All sessions of all cores that are heard of, an edge once.
    fn merge(&mut self) {
        // an edge beside a dead core must not be named longer than others
        let live = self.live_cores(SESSION_TIMEOUT_MS);
        let mut all: BTreeMap<String, EdgeSession> = BTreeMap::new();
        let others = self
            .session_reports
            .iter()
            .filter(|(id, _)| live.contains_key(id))
            .flat_map(|(_, s)| s.edge_sessions.iter());
        for s in others.chain(self.edge_sessions.values()) {
            // what errands took is for tuning, and no edge needs it
            let s = EdgeSession {
                took: Vec::new(),
                ..s.clone()
            };
            all.insert(s.hello.node.clone(), s);
        }
        let all: Vec<EdgeSession> = all.into_values().collect();
        let places: Vec<EdgeEndpoint> = all.iter().map(|s| self.place(s)).collect();
        if places != *self.places.1 {
            // the same list has the same mark on every core
            self.places = (mark(&encode(&places)), Arc::new(places));
        }
        self.merged = all;
    }

    /// What edges are shown of one of them.
    fn place(&self, s: &EdgeSession) -> EdgeEndpoint {
        let r = self.consensus.as_ref().map(|a| a.machine());
        // how much still runs matters where it is waited for, and would
        // elsewhere be news for everyone with each errand
        let counts = r.is_some_and(|r| r.evacuated(s.hello.zone));
        EdgeEndpoint {
            node: s.hello.node.clone(),
            zone: s.hello.zone,
            region: s.hello.region,
            http: s.hello.http.clone(),
            ready: s.lease,
            running: if counts { s.running } else { 0 },
        }
    }

    pub(super) fn sessions_alarm(&mut self) {
        let silent = SESSION_TIMEOUT_MS.max(self.pacing.renew_ms * 2 + 500);
        let old = self.now.saturating_sub(silent);
        let lost: Vec<Conn> = self
            .edge_sessions
            .keys()
            .filter(|c| self.connections.get(c).is_none_or(|l| l.heard < old))
            .copied()
            .collect();
        for c in lost {
            self.end_session(c);
            self.out.push(ControllerEffect::Close(c));
        }
        self.merge();
        self.tell_sessions(false);
    }

    /// Every edge's own account of what its errands took.
    pub(super) fn accounts(&self) -> Vec<&EdgeSession> {
        let live = self.live_cores(3000);
        let others = self
            .session_reports
            .iter()
            .filter(|(id, _)| live.contains_key(id));
        let others = others.flat_map(|(_, s)| s.edge_sessions.iter());
        others.chain(self.edge_sessions.values()).collect()
    }

    pub fn all_sessions(&self) -> &[EdgeSession] {
        &self.merged
    }

    /// The edges as edges are shown them, under a mark of what is shown.
    pub fn places(&self) -> &(u64, Arc<Vec<EdgeEndpoint>>) {
        &self.places
    }

    pub(super) fn on_renew(
        &mut self,
        conn: Conn,
        ask: (u64, KnownVersions),
        edge_status: EdgeStatus,
        unverified: Unverified,
    ) {
        let Some(s) = self.edge_sessions.get_mut(&conn) else {
            return;
        };
        let turned = s.lease != edge_status.lease;
        s.version = edge_status.version;
        s.lease = edge_status.lease;
        s.running = edge_status.running;
        s.took = edge_status.took;
        if turned {
            self.sessions_changed();
        }
        let (no, have) = ask;
        let led = self.consensus.as_ref().is_some_and(|a| a.led()) || broken(Invariant::Proof);
        let offered = match unverified {
            Unverified::None => false,
            Unverified::FromStarting => !self.reads.proved || broken(Invariant::Unverified),
            Unverified::FromAny => !led,
        };
        if offered {
            let delta = self.delta(conn, &have);
            self.deny(conn, no, delta);
        } else if !led {
            // no proof will come from here; the edge is to ask elsewhere
            self.deny(conn, no, StateDelta::default());
        }
        if led {
            self.want(Want::Grant { conn, no, have });
        }
    }

    /// Answer a renewal without a proof.
    fn deny(&mut self, conn: Conn, no: u64, delta: StateDelta) {
        let ok = false;
        self.send(conn, Payload::Grant { no, ok, delta });
    }

    /// What the asker lacks, source by source.
    pub(super) fn delta(&mut self, conn: Conn, have: &KnownVersions) -> StateDelta {
        let record = self.consensus.as_ref().map(|a| a.machine());
        let due = record.map_or(Due::Nothing, |r| {
            self.updates.due(r, conn, have.record, self.now)
        });
        let (record, record_withheld) = match due {
            Due::Nothing => (None, false),
            Due::Update(u) => (Some(u), false),
            Due::Later => (None, true),
        };
        let members = self.consensus.as_ref().map_or(&[][..], |a| a.members());
        let cores: Vec<(String, u8)> = members
            .iter()
            .filter(|m| m.voter)
            .map(|m| (m.addr.clone(), m.region))
            .collect();
        let at = mark(&encode(&cores));
        let places = || (self.places.0, self.places.1.to_vec());
        StateDelta {
            cores: Some((at, cores)).filter(|c| c.0 != have.cores && !c.1.is_empty()),
            record,
            record_withheld,
            registry: self
                .worker_list
                .at(self.now)
                .filter(|r| r.version > have.registry),
            loads: Some(self.loads.clone()).filter(|l| l.mark() > have.loads),
            edge_sessions: (self.places.0 != have.edge_sessions).then(places),
        }
    }

    pub(super) fn take_loads(&mut self, l: Arc<Loads>) {
        let epoch = self.consensus.as_ref().map_or(0, |a| a.machine().epoch());
        // a deposed holder of the duty may still be gathering
        if l.epoch >= epoch && l.mark() > self.loads.mark() {
            self.loads = l;
        }
    }
}
