//! Edges: their sessions, and the leases and state they are granted.

use super::Controller;
use crate::control_plane::distribution::Sources;
use crate::control_plane::events::ControllerEffect;
use crate::control_plane::reads::Read;
use crate::control_plane::sessions::{SessionChange, SESSION_TIMEOUT_MS};
use crate::invariants::{broken, Invariant};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{EdgeStatus, Hello, KnownVersions, Payload, SessionReport};
use crate::wire::{StateDelta, Unverified};

/// Added to two renewal intervals, the time after which a silent edge has no
/// session.
const RENEWAL_SLACK_MS: Millis = 500;

/// An edge's request to renew its lease.
pub(super) struct Renewal {
    pub id: u64,
    pub known: KnownVersions,
    pub status: EdgeStatus,
    /// Whether it takes state that is not proved current.
    pub unverified: Unverified,
}

impl Controller {
    pub(super) fn begin_session(&mut self, conn: Conn, hello: Hello) {
        let node = hello.node.clone();
        for stale in self.sessions.begin(conn, hello) {
            self.distribution.closed(stale);
            self.out.push(ControllerEffect::Close(stale));
        }
        self.log_event(LogEvent::EdgeConnected, node);
        self.sessions_changed();
    }

    pub(super) fn end_session(&mut self, conn: Conn) {
        self.distribution.closed(conn);
        if let Some(session) = self.sessions.end(conn) {
            self.log_event(LogEvent::EdgeDisconnected, session.hello.node);
            self.sessions_changed();
        }
    }

    /// Take note of changed sessions. Many edges may come at the same moment, and
    /// each merge and report takes in all sessions, so they wait for
    /// [`Controller::flush_sessions`].
    fn sessions_changed(&mut self) {
        self.sessions.changed();
        if broken(Invariant::SessionsGathered) {
            self.merge_sessions();
            self.report_sessions(true);
        }
    }

    /// Merge and report the sessions that have changed since the last time.
    pub(super) fn flush_sessions(&mut self) {
        if self.sessions.begin_merge(self.now) {
            self.merge_sessions();
        }
        if self.sessions.begin_report(self.now) {
            self.report_sessions(true);
        }
    }

    fn merge_sessions(&mut self) {
        // an edge next to a dead core must not be listed longer than others
        let live = self.live_cores(SESSION_TIMEOUT_MS);
        let record = self.consensus.as_ref().map(|c| c.state_machine());
        let is_evacuated = |zone| record.is_some_and(|record| record.is_evacuated(zone));
        self.sessions
            .merge(|id| live.contains_key(&id), is_evacuated);
    }

    fn report_sessions(&mut self, forced: bool) {
        if !self.sessions.report_due(forced, self.now) {
            return;
        }
        for conn in self.reachable_cores() {
            self.send_session_report(conn);
        }
    }

    fn send_session_report(&mut self, conn: Conn) {
        let report = self.sessions.report();
        self.send(conn, Payload::SessionReport(report));
    }

    /// What a core that has just connected needs to know at once.
    pub(super) fn send_initial_state(&mut self, conn: Conn) {
        self.send_session_report(conn);
        if let Some(registry) = self.worker_list.at(self.now) {
            self.send(conn, Payload::WorkerRegistry(registry));
        }
    }

    pub(super) fn on_session_report(&mut self, from: NodeId, report: SessionReport) {
        if self.sessions.on_report(from, report) && broken(Invariant::SessionsGathered) {
            self.merge_sessions();
        }
    }

    /// End the sessions of silent edges, and report the others.
    pub(super) fn tick_sessions(&mut self) {
        let timeout = SESSION_TIMEOUT_MS.max(self.pacing.renew_ms * 2 + RENEWAL_SLACK_MS);
        let limit = self.now.saturating_sub(timeout);
        let mut silent = self.sessions.local_connections();
        silent.retain(|conn| self.connections.silent_since(*conn, limit));
        for conn in silent {
            self.end_session(conn);
            self.out.push(ControllerEffect::Close(conn));
        }
        self.merge_sessions();
        self.report_sessions(false);
    }

    pub(super) fn on_renewal(&mut self, conn: Conn, renewal: Renewal) {
        match self.sessions.update(conn, renewal.status) {
            SessionChange::NoSession => return,
            SessionChange::Lease => self.sessions_changed(),
            SessionChange::Status => {}
        }
        let consensus = self.consensus.as_ref();
        let led = consensus.is_some_and(|c| c.has_leader()) || broken(Invariant::Proof);
        let offered = match renewal.unverified {
            Unverified::None => false,
            Unverified::FromStarting => !self.reads.ever_proved() || broken(Invariant::Unverified),
            Unverified::FromAny => !led,
        };
        if offered {
            let delta = self.delta(conn, &renewal.known);
            self.grant(conn, renewal.id, false, delta);
        } else if !led {
            // no proof will come from here; the edge should ask elsewhere
            self.grant(conn, renewal.id, false, StateDelta::default());
        }
        if led {
            self.read(Read::Renewal {
                conn,
                renewal: renewal.id,
                known: renewal.known,
            });
        }
    }

    /// Answer a renewal; `proved` if the state was proved current since.
    pub(super) fn grant(&mut self, conn: Conn, renewal: u64, proved: bool, delta: StateDelta) {
        let grant = Payload::Grant {
            no: renewal,
            ok: proved,
            delta,
        };
        self.send(conn, grant);
    }

    pub(super) fn delta(&mut self, conn: Conn, known: &KnownVersions) -> StateDelta {
        let consensus = self.consensus.as_ref();
        let sources = Sources {
            record: consensus.map(|c| c.state_machine()),
            members: consensus.map_or(&[], |c| c.members()),
            registry: self.worker_list.at(self.now),
            loads: self.loads.loads(),
            endpoints: self.sessions.endpoints(),
            subscribers: self.sessions.local_count(),
        };
        self.distribution.delta(conn, known, sources, self.now)
    }

    /// Connections to which a newer list of workers goes: the reachable cores
    /// and then this core's edges.
    pub(super) fn subscribers(&self) -> Vec<Conn> {
        let mut subscribers = self.reachable_cores();
        subscribers.extend(self.sessions.local_connections());
        subscribers
    }
}
