//! Sessions of edges: those connected to this core, those that other cores
//! report, and the list of endpoints that follows from both.

use crate::net::Conn;
use crate::replicated_state::encode;
use crate::types::{Millis, NodeId};
use crate::wire::{stable_hash, EdgeEndpoint, EdgeSession, EdgeStatus, Hello, SessionReport};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Least silence after which a session ends, and after which the sessions that a
/// silent core has reported are left out.
pub(super) const SESSION_TIMEOUT_MS: Millis = 1500;
/// Minimum interval between two merges of changed sessions; a first change after a
/// longer time is not delayed.
const MIN_MERGE_INTERVAL_MS: Millis = 50;
/// Minimum interval between two reports of changed sessions.
const MIN_REPORT_INTERVAL_MS: Millis = 100;
/// How many edges are listed with the address at which they tell other nodes the cores.
const MAX_LISTED_PEERS: usize = 16;
/// An unchanged report is sent again after this time.
const REPORT_REFRESH_MS: Millis = 5000;

/// The edges with a session, in the form that is sent to edges.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// A hash of the endpoints: equal lists have equal versions on every core.
    pub version: u64,
    /// One per edge, ordered by node name.
    pub endpoints: Arc<Vec<EdgeEndpoint>>,
    /// Size of the encoded endpoints in bytes.
    pub encoded_bytes: usize,
}

/// What the status in a renewal changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionChange {
    /// The connection has no session.
    NoSession,
    /// Nothing, or counters only.
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

/// The sessions of edges on this core and on the others.
#[derive(Debug)]
pub(super) struct Sessions {
    core: NodeId,
    incarnation: u64,
    /// Whether reports to other cores contain the edges' counters.
    report_counters: bool,
    /// Sessions on this core.
    local: BTreeMap<Conn, EdgeSession>,
    /// The newest report of each other core.
    reports: BTreeMap<NodeId, SessionReport>,
    last_report: LastReport,
    /// Whether sessions have changed since the last merge.
    merge_pending: bool,
    /// Whether this core's sessions have changed since the last report.
    report_pending: bool,
    last_merge_at: Millis,
    /// The sessions of all live cores, one per edge, without latencies.
    merged: Vec<EdgeSession>,
    endpoints: EndpointList,
}

impl Sessions {
    /// No sessions, on the core that `own_hello` describes.
    pub fn new(own_hello: &Hello, report_counters: bool, now: Millis) -> Sessions {
        Sessions {
            core: own_hello.id,
            incarnation: own_hello.incarnation,
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

    /// Marks this core's own sessions as changed.
    pub fn mark_changed(&mut self) {
        self.merge_pending = true;
        self.report_pending = true;
    }

    /// Whether changed sessions should be merged now; if so the time is recorded.
    pub fn begin_merge(&mut self, now: Millis) -> bool {
        let due = now.saturating_sub(self.last_merge_at) >= MIN_MERGE_INTERVAL_MS;
        let begins = self.merge_pending && due;
        if begins {
            self.merge_pending = false;
            self.last_merge_at = now;
        }
        begins
    }

    /// Whether changed sessions should be reported now; if so they are no longer
    /// pending.
    pub fn begin_report(&mut self, now: Millis) -> bool {
        let due = now.saturating_sub(self.last_report.at) >= MIN_REPORT_INTERVAL_MS;
        let begins = self.report_pending && due;
        if begins {
            self.report_pending = false;
        }
        begins
    }

    /// Connections of the edges that have a session on this core.
    pub fn local_connections(&self) -> Vec<Conn> {
        self.local.keys().copied().collect()
    }

    /// Number of edges that have a session on this core.
    pub fn local_count(&self) -> usize {
        self.local.len()
    }

    /// The sessions of all live cores as last merged, one per edge.
    pub fn merged(&self) -> &[EdgeSession] {
        &self.merged
    }

    /// The endpoint list as last merged.
    pub fn endpoints(&self) -> &EndpointList {
        &self.endpoints
    }

    /// Starts a session. An edge has at most one on this core: its older ones end,
    /// and their connections are returned.
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

    /// Ends the session of a connection, and returns it if there was one.
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

    /// Applies another core's report unless it is older than the last one; returns
    /// whether it changed anything.
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

    /// Whether a report to the other cores is due: it has changed, is due for a
    /// refresh, or is `forced`. If so it is recorded as sent now.
    pub fn report_due(&mut self, forced: bool, now: Millis) -> bool {
        let sessions = self.reported_sessions();
        let stale = now.saturating_sub(self.last_report.at) >= REPORT_REFRESH_MS;
        let changed = sessions != self.last_report.sessions;
        // refreshed because a full send queue may have dropped the last one
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

    /// The report of this core's sessions, as last recorded.
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

    /// Merges the sessions of this core with those of the cores that `is_live`
    /// accepts, and recomputes the endpoint list. `is_evacuated` is true for zones
    /// that are being evacuated.
    pub fn merge(&mut self, is_live: impl Fn(NodeId) -> bool, is_evacuated: impl Fn(u16) -> bool) {
        let mut by_node: BTreeMap<String, EdgeSession> = BTreeMap::new();
        for session in self.sessions_of(is_live) {
            // only weight tuning uses latencies, and it reads unmerged sessions
            let session = EdgeSession {
                took: Vec::new(),
                ..session.clone()
            };
            by_node.insert(session.hello.node.clone(), session);
        }
        let merged: Vec<EdgeSession> = by_node.into_values().collect();
        let endpoints = endpoints(&merged, &is_evacuated);
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

    /// The sessions reported by the cores that `is_live` accepts, then this core's
    /// own. An edge may appear several times.
    pub fn sessions_of(
        &self,
        is_live: impl Fn(NodeId) -> bool,
    ) -> impl Iterator<Item = &EdgeSession> {
        let reports = self.reports.iter().filter(move |(id, _)| is_live(**id));
        let reported = reports.flat_map(|(_, report)| report.edge_sessions.iter());
        reported.chain(self.local.values())
    }
}

/// The list of endpoints. Few of them have the address at which they tell other nodes
/// the cores, since every edge is sent the list.
fn endpoints(sessions: &[EdgeSession], is_evacuated: impl Fn(u16) -> bool) -> Vec<EdgeEndpoint> {
    let peer_interval = sessions.len().div_ceil(MAX_LISTED_PEERS).max(1);
    let to_endpoint = |(index, session): (usize, &EdgeSession)| {
        let is_peer = index % peer_interval == 0;
        let addr = session.hello.addr.clone();
        EdgeEndpoint {
            addr: if is_peer { addr } else { String::new() },
            ..endpoint(session, &is_evacuated)
        }
    };
    sessions.iter().enumerate().map(to_endpoint).collect()
}

/// The form of an edge in the endpoint list.
fn endpoint(session: &EdgeSession, is_evacuated: impl Fn(u16) -> bool) -> EdgeEndpoint {
    let hello = &session.hello;
    // edges need the running count of evacuated zones only; elsewhere it would
    // change the list with each request
    let has_running_count = is_evacuated(hello.zone);
    EdgeEndpoint {
        node: hello.node.clone(),
        zone: hello.zone,
        region: hello.region,
        http: hello.http.clone(),
        ready: session.lease,
        addr: String::new(),
        running: if has_running_count {
            session.running
        } else {
            0
        },
    }
}
