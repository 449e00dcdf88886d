//! Sessions of edges: those that are connected to this core, and those that
//! other cores report.

use crate::net::Conn;
use crate::replicated_state::encode;
use crate::types::{Millis, NodeId};
use crate::wire::{stable_hash, EdgeEndpoint, EdgeSession, EdgeStatus, Hello, SessionReport};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An edge that was silent for longer has no session.
pub(super) const SESSION_TIMEOUT_MS: Millis = 1500;
/// Changed sessions are merged at most once in this time, and reported at most
/// once in `MIN_REPORT_INTERVAL_MS`; the first change is not delayed.
const MIN_MERGE_INTERVAL_MS: Millis = 50;
const MIN_REPORT_INTERVAL_MS: Millis = 100;
/// A report that has not changed is sent again after this time.
const REPORT_REFRESH_MS: Millis = 5000;

/// The edges as other edges are shown them.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// A hash of the endpoints: equal lists have equal versions on every core.
    pub version: u64,
    /// One for each edge, ordered by node name.
    pub endpoints: Arc<Vec<EdgeEndpoint>>,
    /// Bytes of the endpoints as encoded.
    pub encoded_bytes: usize,
}

/// What a renewal changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionChange {
    /// The connection has no session.
    NoSession,
    /// Counters at most.
    Status,
    /// The edge has gained or lost its lease.
    Lease,
}

/// This core's sessions as they were last reported to the other cores.
#[derive(Clone, Debug)]
struct LastReport {
    version: u64,
    sessions: Vec<EdgeSession>,
    at: Millis,
}

/// All sessions of edges that this core knows of.
#[derive(Debug)]
pub(super) struct Sessions {
    core: NodeId,
    incarnation: u64,
    /// Whether reports to other cores carry the edges' counters.
    report_counters: bool,
    local: BTreeMap<Conn, EdgeSession>,
    /// The newest report of each other core.
    reports: BTreeMap<NodeId, SessionReport>,
    last_report: LastReport,
    /// Sessions have changed and wait to be merged, or to be reported.
    merge_pending: bool,
    report_pending: bool,
    last_merge_at: Millis,
    /// The sessions of all live cores, one for each edge.
    merged: Vec<EdgeSession>,
    endpoints: EndpointList,
}

impl Sessions {
    /// No sessions yet, on the core that `me` describes.
    pub fn new(me: &Hello, report_counters: bool, now: Millis) -> Sessions {
        Sessions {
            core: me.id,
            incarnation: me.incarnation,
            report_counters,
            local: BTreeMap::new(),
            reports: BTreeMap::new(),
            last_report: LastReport {
                version: 0,
                sessions: Vec::new(),
                at: now,
            },
            merge_pending: false,
            report_pending: false,
            last_merge_at: now,
            merged: Vec::new(),
            endpoints: EndpointList::default(),
        }
    }

    /// This core's own sessions have changed.
    pub fn changed(&mut self) {
        self.merge_pending = true;
        self.report_pending = true;
    }

    /// Whether the sessions should be merged now; if so it counts as done.
    pub fn begin_merge(&mut self, now: Millis) -> bool {
        let due = now.saturating_sub(self.last_merge_at) >= MIN_MERGE_INTERVAL_MS;
        let begins = self.merge_pending && due;
        if begins {
            self.merge_pending = false;
            self.last_merge_at = now;
        }
        begins
    }

    /// Whether changed sessions should be reported now; if so it counts as done.
    pub fn begin_report(&mut self, now: Millis) -> bool {
        let due = now.saturating_sub(self.last_report.at) >= MIN_REPORT_INTERVAL_MS;
        let begins = self.report_pending && due;
        if begins {
            self.report_pending = false;
        }
        begins
    }

    /// Connections of the edges that have a session here.
    pub fn local_connections(&self) -> Vec<Conn> {
        self.local.keys().copied().collect()
    }

    /// How many edges have a session here.
    pub fn local_count(&self) -> usize {
        self.local.len()
    }

    /// The sessions of all live cores, one for each edge.
    pub fn merged(&self) -> &[EdgeSession] {
        &self.merged
    }

    /// The edges as other edges are shown them.
    pub fn endpoints(&self) -> &EndpointList {
        &self.endpoints
    }

    /// Start a session. An edge has one session here: returns the connections
    /// of its older ones, which are stale.
    pub fn begin(&mut self, conn: Conn, hello: Hello) -> Vec<Conn> {
        let stale: Vec<Conn> = self
            .local
            .iter()
            .filter(|(c, s)| s.hello.node == hello.node && **c != conn)
            .map(|(c, _)| *c)
            .collect();
        for conn in &stale {
            self.local.remove(conn);
        }
        let session = EdgeSession {
            hello,
            version: 0,
            lease: false,
            running: 0,
            took: Vec::new(),
        };
        self.local.insert(conn, session);
        stale
    }

    /// End the session of a connection, if it has one.
    pub fn end(&mut self, conn: Conn) -> Option<EdgeSession> {
        self.local.remove(&conn)
    }

    /// Applies the status that came with a renewal.
    pub fn update(&mut self, conn: Conn, status: EdgeStatus) -> SessionChange {
        let Some(session) = self.local.get_mut(&conn) else {
            return SessionChange::NoSession;
        };
        let lease_changed = session.lease != status.lease;
        session.version = status.version;
        session.lease = status.lease;
        session.running = status.running;
        session.took = status.took;
        if lease_changed {
            SessionChange::Lease
        } else {
            SessionChange::Status
        }
    }

    /// Applies another core's report; true if it changed anything.
    pub fn on_report(&mut self, from: NodeId, report: SessionReport) -> bool {
        let old = self.reports.get(&from);
        // frames may overtake each other on two connections
        let newer = old.is_none_or(|old| {
            old.incarnation != report.incarnation || report.version >= old.version
        });
        let changed = report.core == from && newer && old.is_none_or(|old| *old != report);
        if changed {
            self.reports.insert(from, report);
            self.merge_pending = true;
        }
        changed
    }

    /// Whether a report to the other cores is due. If so it counts as sent.
    pub fn report_due(&mut self, forced: bool, now: Millis) -> bool {
        let sessions = self.reported_sessions();
        let stale = now.saturating_sub(self.last_report.at) >= REPORT_REFRESH_MS;
        let changed = sessions != self.last_report.sessions;
        // an unchanged report is repeated now and then, since a full queue
        // may have dropped it
        if !(changed || stale || forced) {
            return false;
        }
        self.last_report = LastReport {
            version: self.last_report.version + u64::from(changed),
            sessions,
            at: now,
        };
        true
    }

    /// This core's newest report.
    pub fn report(&self) -> SessionReport {
        SessionReport {
            core: self.core,
            incarnation: self.incarnation,
            version: self.last_report.version,
            edge_sessions: self.last_report.sessions.clone(),
        }
    }

    fn reported_sessions(&self) -> Vec<EdgeSession> {
        let sessions = self.local.values().cloned();
        if self.report_counters {
            return sessions.collect();
        }
        let without_counters = |session: EdgeSession| EdgeSession {
            version: 0,
            running: 0,
            took: Vec::new(),
            ..session
        };
        sessions.map(without_counters).collect()
    }

    /// Merge the sessions of this core with those of the cores that `is_live`
    /// accepts; an edge appears once. `is_evacuated` tells zones being emptied.
    pub fn merge(&mut self, is_live: impl Fn(NodeId) -> bool, is_evacuated: impl Fn(u16) -> bool) {
        let mut by_node: BTreeMap<String, EdgeSession> = BTreeMap::new();
        for session in self.sessions_of(is_live) {
            // latencies are for weight tuning, and no edge needs them
            let session = EdgeSession {
                took: Vec::new(),
                ..session.clone()
            };
            by_node.insert(session.hello.node.clone(), session);
        }
        let merged: Vec<EdgeSession> = by_node.into_values().collect();
        let to_endpoint = |session: &EdgeSession| endpoint(session, &is_evacuated);
        let endpoints: Vec<EdgeEndpoint> = merged.iter().map(to_endpoint).collect();
        if endpoints != *self.endpoints.endpoints {
            let encoded = encode(&endpoints);
            self.endpoints = EndpointList {
                version: stable_hash(&encoded),
                endpoints: Arc::new(endpoints),
                encoded_bytes: encoded.len(),
            };
        }
        self.merged = merged;
    }

    /// Sessions as reported by the cores that `is_live` accepts, then this
    /// core's own; an edge may appear several times.
    pub fn sessions_of(
        &self,
        is_live: impl Fn(NodeId) -> bool,
    ) -> impl Iterator<Item = &EdgeSession> {
        let reports = self.reports.iter().filter(move |(id, _)| is_live(**id));
        let reported = reports.flat_map(|(_, report)| report.edge_sessions.iter());
        reported.chain(self.local.values())
    }
}

/// An edge as other edges are shown it.
fn endpoint(session: &EdgeSession, is_evacuated: impl Fn(u16) -> bool) -> EdgeEndpoint {
    let hello = &session.hello;
    // the running count matters where a zone is being emptied; elsewhere it
    // would make the list change with each request
    let counted = is_evacuated(hello.zone);
    EdgeEndpoint {
        node: hello.node.clone(),
        zone: hello.zone,
        region: hello.region,
        http: hello.http.clone(),
        ready: session.lease,
        running: if counted { session.running } else { 0 },
    }
}
