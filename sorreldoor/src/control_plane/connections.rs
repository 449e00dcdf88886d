//! Open connections to other nodes: the node at the other end of each, and when
//! a frame was last sent or received.

use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::Hello;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A core that has sent nothing for longer is not live.
pub(super) const LIVE_TIMEOUT_MS: Millis = 1500;
/// Broadcasts still go to a core that has sent nothing for up to this time.
pub(super) const REACHABLE_TIMEOUT_MS: Millis = 3000;
/// Least heartbeat interval of a connection on which liveness does not depend.
const SPARE_HEARTBEAT_MS: Millis = 1000;
/// A heartbeat that is due within this time is sent now.
const HEARTBEAT_SLACK_MS: Millis = 50;

/// One open connection.
#[derive(Clone, Debug)]
struct Connection {
    /// The address that this node dialled; `None` for an accepted connection.
    dialled: Option<SocketAddr>,
    /// The hello of the remote node, once received.
    hello: Option<Hello>,
    received_at: Millis,
    sent_at: Millis,
}

impl Connection {
    fn core(&self) -> Option<&Hello> {
        self.hello.as_ref().filter(|hello| hello.core)
    }

    fn is_to(&self, id: NodeId) -> bool {
        self.hello.as_ref().is_some_and(|hello| hello.id == id)
    }
}

/// All open connections of this node.
#[derive(Debug, Default)]
pub(super) struct Connections {
    connections: BTreeMap<Conn, Connection>,
}

impl Connections {
    /// Adds a connection that was just established.
    pub fn opened(&mut self, conn: Conn, dialled: Option<SocketAddr>, now: Millis) {
        let connection = Connection {
            dialled,
            hello: None,
            received_at: now,
            sent_at: now,
        };
        self.connections.insert(conn, connection);
    }

    /// Removes a connection; returns the hello of its remote node, if received.
    pub fn closed(&mut self, conn: Conn) -> Option<Hello> {
        self.connections.remove(&conn)?.hello
    }

    /// Records that a frame was received.
    pub fn received(&mut self, conn: Conn, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.received_at = now;
        }
    }

    /// Records that a frame is sent.
    pub fn sent(&mut self, conn: Conn, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.sent_at = now;
        }
    }

    /// Records the hello of a remote node. Returns the connections that it
    /// supersedes: those to an earlier incarnation of a core, and those to another
    /// id at its address, whose disk was lost. They are dead, but without a reset
    /// from the peer's machine they would stay open here.
    #[must_use]
    pub fn identify(&mut self, conn: Conn, hello: Hello) -> Vec<Conn> {
        let is_superseded = |other: &Hello| {
            if is_disabled(Invariant::SupersededConnection) {
                return false;
            }
            let same_id = other.id == hello.id;
            let restarted = same_id && other.incarnation != hello.incarnation;
            restarted || (!same_id && other.addr == hello.addr)
        };
        let superseded = self.connections.iter().filter(|(other, connection)| {
            **other != conn && hello.core && connection.core().is_some_and(is_superseded)
        });
        let superseded = superseded.map(|(other, _)| *other).collect();
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.hello = Some(hello);
        }
        superseded
    }

    /// The hello of the remote node, if received.
    pub fn hello(&self, conn: Conn) -> Option<&Hello> {
        self.connections.get(&conn)?.hello.as_ref()
    }

    /// The address that was dialled to open a connection; `None` if it was accepted.
    pub fn dialled(&self, conn: Conn) -> Option<SocketAddr> {
        self.connections.get(&conn)?.dialled
    }

    /// Whether a connection is closed or has received nothing since `limit`.
    pub fn silent_since(&self, conn: Conn, limit: Millis) -> bool {
        let connection = self.connections.get(&conn);
        connection.is_none_or(|connection| connection.received_at < limit)
    }

    /// Every open connection.
    pub fn all(&self) -> Vec<Conn> {
        self.connections.keys().copied().collect()
    }

    /// Every connection to a core.
    pub fn to_cores(&self) -> Vec<Conn> {
        let cores = self.connections.iter().filter(|(_, c)| c.core().is_some());
        cores.map(|(conn, _)| *conn).collect()
    }

    /// The connection to send on to a node: a live one before a silent one, which
    /// may be dead at the other end; then one that this node dialled; then the one
    /// that received a frame last.
    pub fn preferred_to(&self, id: NodeId) -> Option<Conn> {
        let to_node = self.connections.iter().filter(|(_, c)| c.is_to(id));
        let last_received = to_node.clone().map(|(_, c)| c.received_at).max()?;
        let live_since = last_received.saturating_sub(LIVE_TIMEOUT_MS);
        let preference = |connection: &Connection| {
            let is_live =
                connection.received_at >= live_since || is_disabled(Invariant::LiveConnection);
            let is_dialled = connection.dialled.is_some();
            (is_live, is_dialled, connection.received_at)
        };
        to_node
            .max_by_key(|(_, connection)| preference(connection))
            .map(|(conn, _)| *conn)
    }

    /// Cores that have sent a frame since `limit`, by id, each with a connection to
    /// send on.
    pub fn cores_since(&self, limit: Millis) -> BTreeMap<NodeId, (Conn, Hello)> {
        let mut cores = BTreeMap::new();
        // dialled connections are inserted last, which makes them the preferred ones
        for dialled in [false, true] {
            for (conn, connection) in &self.connections {
                let live = connection.received_at >= limit;
                let matches = live && connection.dialled.is_some() == dialled;
                if let Some(hello) = connection.core().filter(|_| matches) {
                    cores.insert(hello.id, (*conn, hello.clone()));
                }
            }
        }
        cores
    }

    /// Cores that have sent a frame since `limit`, one per address: the one with the
    /// last frame. A process that was replaced at its address may still have an
    /// open connection.
    pub fn newest_core_by_address(&self, limit: Millis) -> Vec<Hello> {
        let mut newest: BTreeMap<&str, (Millis, &Hello)> = BTreeMap::new();
        for connection in self.connections.values() {
            let received_at = connection.received_at;
            let Some(hello) = connection.core().filter(|_| received_at >= limit) else {
                continue;
            };
            let entry = newest.entry(&hello.addr).or_insert((received_at, hello));
            if received_at > entry.0 {
                *entry = (received_at, hello);
            }
        }
        newest.into_values().map(|(_, h)| h.clone()).collect()
    }

    /// Connections on which nothing was sent for about `interval`, or for at least
    /// `SPARE_HEARTBEAT_MS` on spare ones.
    pub fn heartbeats_due(&self, interval: Millis, now: Millis) -> Vec<Conn> {
        let due = |conn: Conn, connection: &Connection| {
            let interval = if self.is_spare(conn, connection) {
                interval.max(SPARE_HEARTBEAT_MS)
            } else {
                interval
            };
            now.saturating_sub(connection.sent_at) + HEARTBEAT_SLACK_MS >= interval
        };
        let connections = self.connections.iter();
        connections
            .filter(|(conn, connection)| due(**conn, connection))
            .map(|(conn, _)| *conn)
            .collect()
    }

    /// Whether a connection only has to stay open: of several between two cores, all
    /// but the preferred one; and an edge's, which carries grants in any case.
    fn is_spare(&self, conn: Conn, connection: &Connection) -> bool {
        match &connection.hello {
            Some(hello) if hello.core => self.preferred_to(hello.id) != Some(conn),
            Some(_) => true,
            None => false,
        }
    }
}
