//! Edges: their sessions, the renewal of their leases, and the state that they
//! are sent with a renewal.

use super::Controller;
use crate::control_plane::distribution::Sources;
use crate::control_plane::events::ControllerEffect;
use crate::control_plane::reads::Read;
use crate::control_plane::sessions::{SessionChange, SESSION_TIMEOUT_MS};
use crate::invariants::{is_disabled, Invariant};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{EdgeStatus, Hello, KnownVersions, Payload, SessionReport};
use crate::wire::{StateDelta, Unverified};

/// Added to two renewal intervals gives the silence after which an edge's
/// session ends, where that is longer than `SESSION_TIMEOUT_MS`.
const RENEWAL_SLACK_MS: Millis = 500;

/// An edge's request to renew its lease.
pub(super) struct Renewal {
    pub id: u64,
    pub known: KnownVersions,
    pub status: EdgeStatus,
    /// Whether the edge accepts state that is not confirmed current.
    pub unverified: Unverified,
}

impl Controller {
    /// Starts the session of an edge that has sent its hello, and closes the
    /// connections of its older sessions.
    pub(super) fn begin_session(&mut self, conn: Conn, hello: Hello) {
        let node = hello.node.clone();
        for stale in self.sessions.begin(conn, hello) {
            self.distribution.connection_closed(stale);
            self.effects.push(ControllerEffect::Close(stale));
        }
        self.log_event(LogEvent::EdgeConnected, node);
        self.sessions_changed();
    }

    /// Ends the session of a connection, if it has one.
    pub(super) fn end_session(&mut self, conn: Conn) {
        self.distribution.connection_closed(conn);
        if let Some(session) = self.sessions.end(conn) {
            self.log_event(LogEvent::EdgeDisconnected, session.hello.node);
            self.sessions_changed();
        }
    }

    /// Marks this core's sessions as changed. [`Controller::flush_sessions`] merges
    /// and reports them, since each merge and report covers all sessions and many
    /// edges may connect at the same time.
    fn sessions_changed(&mut self) {
        self.sessions.mark_changed();
        if is_disabled(Invariant::SessionsBatched) {
            self.merge_sessions();
            self.report_sessions(true);
        }
    }

    /// Merges and reports changed sessions, at limited rates.
    pub(super) fn flush_sessions(&mut self) {
        if self.sessions.begin_merge(self.now) {
            self.merge_sessions();
        }
        if self.sessions.begin_report(self.now) {
            self.report_sessions(true);
        }
    }

    fn merge_sessions(&mut self) {
        // sessions that a dead core reported expire as early as local ones
        let live = self.live_cores(SESSION_TIMEOUT_MS);
        let state = self.consensus.as_ref().map(|c| c.state_machine());
        let is_evacuated = |zone| state.is_some_and(|state| state.is_evacuated(zone));
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

    /// Sends this core's sessions and worker list to a core that has just
    /// connected.
    pub(super) fn send_initial_state(&mut self, conn: Conn) {
        self.send_session_report(conn);
        if let Some(registry) = self.worker_list.at(self.now) {
            self.send(conn, Payload::WorkerRegistry(registry));
        }
    }

    pub(super) fn on_session_report(&mut self, from: NodeId, report: SessionReport) {
        if self.sessions.on_report(from, report) && is_disabled(Invariant::SessionsBatched) {
            self.merge_sessions();
        }
    }

    /// Ends the sessions of silent edges, and reports the others.
    pub(super) fn tick_sessions(&mut self) {
        let timeout = SESSION_TIMEOUT_MS.max(self.pacing.renew_ms * 2 + RENEWAL_SLACK_MS);
        let limit = self.now.saturating_sub(timeout);
        let mut silent = self.sessions.local_connections();
        silent.retain(|conn| self.connections.silent_since(*conn, limit));
        for conn in silent {
            self.end_session(conn);
            self.effects.push(ControllerEffect::Close(conn));
        }
        self.merge_sessions();
        self.report_sessions(false);
    }

    /// Handles a lease renewal: queues a confirmation of this core's state where a
    /// leader is known, and sends unconfirmed state at once where the edge accepts
    /// it. Without a leader the edge gets an unconfirmed grant at once.
    pub(super) fn on_renewal(&mut self, conn: Conn, renewal: Renewal) {
        match self.sessions.update(conn, renewal.status) {
            SessionChange::NoSession => return,
            SessionChange::Lease => self.sessions_changed(),
            SessionChange::Status => {}
        }
        let consensus = self.consensus.as_ref();
        let has_leader = consensus.is_some_and(|c| c.has_leader())
            || is_disabled(Invariant::QuorumConfirmedRead);
        let sends_unverified = match renewal.unverified {
            Unverified::None => false,
            Unverified::FromStarting => {
                !self.reads.ever_confirmed() || is_disabled(Invariant::ConfirmedStateOnly)
            }
            Unverified::FromAny => !has_leader,
        };
        if sends_unverified {
            let delta = self.delta(conn, &renewal.known);
            self.send_grant(conn, renewal.id, false, delta);
        } else if !has_leader {
            // this core cannot confirm its state; the edge should ask another
            self.send_grant(conn, renewal.id, false, StateDelta::default());
        }
        if has_leader {
            self.request_read(Read::Renewal {
                conn,
                renewal: renewal.id,
                known: renewal.known,
            });
        }
    }

    /// Answers a renewal. `confirmed` says whether the state was confirmed current
    /// after the renewal was received; only then does it renew the lease.
    pub(super) fn send_grant(
        &mut self,
        conn: Conn,
        renewal: u64,
        confirmed: bool,
        delta: StateDelta,
    ) {
        let grant = Payload::Grant {
            no: renewal,
            ok: confirmed,
            delta,
        };
        self.send(conn, grant);
    }

    /// The state that an edge with the versions `known` lacks.
    pub(super) fn delta(&mut self, conn: Conn, known: &KnownVersions) -> StateDelta {
        let consensus = self.consensus.as_ref();
        let sources = Sources {
            replicated_state: consensus.map(|c| c.state_machine()),
            members: consensus.map_or(&[], |c| c.members()),
            registry: self.worker_list.at(self.now),
            loads: self.loads.loads(),
            endpoints: self.sessions.endpoints(),
            subscriber_count: self.sessions.local_count(),
        };
        self.distribution.delta(conn, known, sources, self.now)
    }

    /// The connections that newer worker lists are pushed on: first those to the
    /// reachable cores, then those of this core's edges.
    pub(super) fn subscribers(&self) -> Vec<Conn> {
        let mut subscribers = self.reachable_cores();
        subscribers.extend(self.sessions.local_connections());
        subscribers
    }
}
