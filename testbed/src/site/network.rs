//! Connections between processes: ordered and delayed. What is sent over a blocked
//! link is withheld, as by TCP, and delivered if the link heals before the
//! connection times out.

use super::inbox::Lane;
use super::World;
use sorreldoor::net::NetEvent;
use sorreldoor::types::Millis;
use sorreldoor::wire::Payload;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;

/// A connection on which nothing arrives for this long is closed.
pub(super) const IDLE_TIMEOUT_MS: Millis = 3000;
/// Delay until both ends of a closed connection are notified.
const CLOSE_MS: Millis = 2;
/// Interval between attempts to dial an unreachable address.
const DIAL_RETRY_MS: Millis = 300;
/// Delay between the loss of a connection and the next dial.
const REDIAL_MS: Millis = 50;
/// Interval at which all connections are polled.
const POLL_MS: Millis = 100;
/// Downtime of a core that restarts while partitioned.
const PARTITIONED_RESTART_MS: Millis = 300;

/// How a core is partitioned from the other cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Both directions are blocked; connections stay open.
    Blackhole,
    /// What the core sends is blocked; it still receives.
    OutboundBlocked,
    /// What is sent to the core is blocked; it still sends.
    InboundBlocked,
    /// Connections are reset at once, and new ones fail.
    Reset,
    /// The core crashes as the partition begins, and restarts while partitioned.
    Restarted,
}

impl Partition {
    /// Every kind of partition.
    pub const ALL: &'static [Partition] = &[
        Partition::Blackhole,
        Partition::OutboundBlocked,
        Partition::InboundBlocked,
        Partition::Reset,
        Partition::Restarted,
    ];
}

/// Network and disk traffic of idempotency claims.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClaimsTraffic {
    pub frames: u64,
    pub frame_bytes: u64,
    /// Bytes written to disks.
    pub disk_bytes: u64,
}

/// One end of a connection.
pub(crate) struct Endpoint {
    pub process: usize,
    pub incarnation: u64,
    /// Payloads from the other end, withheld while the link is blocked.
    withheld: Vec<Payload>,
    /// When the last payload in transit to this end arrives.
    last_delivery_at: Millis,
    pub(super) last_received_at: Millis,
}

/// A connection; endpoint 0 dialled it.
pub(crate) struct Connection {
    pub endpoints: [Endpoint; 2],
    /// The id of the [`Dial`] that established it.
    dial_id: u64,
}

impl Connection {
    pub(super) fn ends_at(&self, process: usize) -> bool {
        self.endpoints.iter().any(|end| end.process == process)
    }

    fn joins(&self, a: usize, b: usize) -> bool {
        let ends = [self.endpoints[0].process, self.endpoints[1].process];
        ends == [a, b] || ends == [b, a]
    }
}

/// A process' standing request for a connection to an address.
#[derive(Clone, Copy)]
struct Dial {
    process: usize,
    incarnation: u64,
    addr: SocketAddr,
    id: u64,
}

impl World {
    /// Keeps a process connected to an address, redialling when the connection
    /// breaks, until [`World::disconnect`].
    pub(crate) fn connect(&mut self, process: usize, addr: SocketAddr) {
        let id = self.number();
        let state = &mut self.processes[process];
        let incarnation = state.incarnation;
        if let Entry::Vacant(entry) = state.peer_addresses.entry(addr) {
            entry.insert(id);
            self.dial(Dial {
                process,
                incarnation,
                addr,
                id,
            });
        }
    }

    /// Closes a process' connections to an address and stops dialling it.
    pub(crate) fn disconnect(&mut self, process: usize, addr: SocketAddr) {
        self.processes[process].peer_addresses.remove(&addr);
        let is_dialled = |c: &Connection| {
            let to = self.processes[c.endpoints[1].process].addr;
            c.endpoints[0].process == process && to == Some(addr)
        };
        for conn in self.connections_that(is_dialled) {
            self.close(conn);
        }
    }

    pub(super) fn connections_that(&self, matches: impl Fn(&Connection) -> bool) -> Vec<u64> {
        let all = self.connections.iter();
        let matching = all.filter(|(_, connection)| matches(connection));
        matching.map(|(conn, _)| *conn).collect()
    }

    fn is_wanted(&self, dial: Dial) -> bool {
        let wanted = &self.processes[dial.process].peer_addresses;
        self.runs(dial.process, dial.incarnation) && wanted.get(&dial.addr) == Some(&dial.id)
    }

    fn is_blocked(&self, a: usize, b: usize) -> bool {
        self.blocked_links.contains(&(a, b)) || self.blocked_links.contains(&(b, a))
    }

    /// Dials until the connection is established or no longer wanted.
    fn dial(&mut self, dial: Dial) {
        if !self.is_wanted(dial) {
            return;
        }
        let mut processes = self.processes.iter();
        let listening = processes.position(|p| p.addr == Some(dial.addr) && p.up);
        let Some(to) = listening.filter(|to| !self.is_blocked(dial.process, *to)) else {
            self.after(DIAL_RETRY_MS, move |world| world.dial(dial));
            return;
        };
        let (here, there) = (
            self.processes[dial.process].region,
            self.processes[to].region,
        );
        let delay = self.delay(here, there);
        self.after(2 * delay, move |world| world.establish(dial, to));
    }

    fn establish(&mut self, dial: Dial, to: usize) {
        if !self.is_wanted(dial) || !self.processes[to].up {
            return;
        }
        let conn = self.number();
        let now = self.now;
        let endpoint = |process: usize, incarnation: u64| Endpoint {
            process,
            incarnation,
            withheld: Vec::new(),
            last_delivery_at: now,
            last_received_at: now,
        };
        let (from, incarnation) = (dial.process, dial.incarnation);
        let to_incarnation = self.processes[to].incarnation;
        let connection = Connection {
            endpoints: [endpoint(from, incarnation), endpoint(to, to_incarnation)],
            dial_id: dial.id,
        };
        self.connections.insert(conn, connection);
        let dialled = Some(dial.addr);
        self.deliver_to_process(from, incarnation, move |world| {
            world.net_event(from, NetEvent::Up { conn, dialled })
        });
        let dialled = None;
        self.deliver_to_process(to, to_incarnation, move |world| {
            world.net_event(to, NetEvent::Up { conn, dialled })
        });
    }

    /// Sends a payload of a process; it is lost if the connection is closed.
    pub(crate) fn send(&mut self, process: usize, conn: u64, payload: Payload) {
        let charged_bytes = self.charged_bytes(&payload);
        self.charge_frame(process, charged_bytes);
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let to_end = usize::from(connection.endpoints[0].process == process);
        let to = connection.endpoints[to_end].process;
        let bytes = sorreldoor::wire::encode_frame("", &payload).len() as u64;
        *self.bytes.entry((process, to)).or_default() += bytes;
        if is_about_claims(&payload) {
            self.claims_traffic.frames += 1;
            self.claims_traffic.frame_bytes += bytes;
        }
        if self.blocked_links.contains(&(process, to)) {
            connection.endpoints[to_end].withheld.push(payload);
            return;
        }
        self.transmit(process, conn, to_end, payload);
    }

    fn transmit(&mut self, from: usize, conn: u64, to_end: usize, payload: Payload) {
        let Some(connection) = self.connections.get(&conn) else {
            return;
        };
        let end = &connection.endpoints[to_end];
        let (to, incarnation, last_delivery_at) =
            (end.process, end.incarnation, end.last_delivery_at);
        let delay = self.delay(self.processes[from].region, self.processes[to].region);
        let charged_bytes = self.charged_bytes(&payload);
        let at = (self.now + delay).max(last_delivery_at);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.endpoints[to_end].last_delivery_at = at;
        }
        self.at(at, move |world| {
            let Some(connection) = world.connections.get_mut(&conn) else {
                return;
            };
            connection.endpoints[to_end].last_received_at = world.now;
            let payload = Box::new(payload);
            let lane = Lane::of(&payload);
            world.deliver_in_lane(to, incarnation, lane, move |world| {
                world.charge_frame(to, charged_bytes);
                world.net_event(to, NetEvent::Frame { conn, payload })
            });
        });
    }

    /// Delivers what was withheld on links that have healed, closes idle
    /// connections, and schedules the next poll.
    pub(crate) fn poll_connections(&mut self) {
        for conn in self.connections_that(|_| true) {
            for to_end in 0..2 {
                self.poll_endpoint(conn, to_end);
            }
        }
        self.poll_half_open();
        self.after(POLL_MS, |world| world.poll_connections());
    }

    fn poll_endpoint(&mut self, conn: u64, to_end: usize) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let from = connection.endpoints[1 - to_end].process;
        let end = &mut connection.endpoints[to_end];
        let to = end.process;
        let idle = self.now.saturating_sub(end.last_received_at) > IDLE_TIMEOUT_MS;
        if !self.blocked_links.contains(&(from, to)) {
            for payload in std::mem::take(&mut end.withheld) {
                self.transmit(from, conn, to_end, payload);
            }
        }
        // a frozen process does not act on the time-out
        if idle && self.processes[to].frozen_until <= self.now {
            self.close(conn);
        }
    }

    /// Closes a connection; its ends are notified at once, or after the idle
    /// time-out if their link is blocked.
    pub(crate) fn close(&mut self, conn: u64) {
        let Some(connection) = self.connections.get(&conn) else {
            return self.close_half_open(conn);
        };
        let [a, b] = &connection.endpoints;
        let blocked = self.is_blocked(a.process, b.process);
        self.close_after(conn, if blocked { IDLE_TIMEOUT_MS } else { CLOSE_MS });
    }

    fn close_after(&mut self, conn: u64, wait: Millis) {
        let Some(connection) = self.connections.remove(&conn) else {
            return;
        };
        for end in 0..2 {
            let end = &connection.endpoints[end];
            self.notify_closed(conn, end.process, end.incarnation, wait);
        }
        self.redial_after(&connection, wait);
    }

    /// Notifies one end after `wait` that its connection is closed.
    pub(super) fn notify_closed(
        &mut self,
        conn: u64,
        process: usize,
        incarnation: u64,
        wait: Millis,
    ) {
        self.after(wait, move |world| {
            world.deliver_to_process(process, incarnation, move |world| {
                world.net_event(process, NetEvent::Down { conn })
            })
        });
    }

    /// Has the end that dialled a closed connection dial again.
    pub(super) fn redial_after(&mut self, connection: &Connection, wait: Millis) {
        let [dialler, listener] = &connection.endpoints;
        if let Some(addr) = self.processes[listener.process].addr {
            let dial = Dial {
                process: dialler.process,
                incarnation: dialler.incarnation,
                addr,
                id: connection.dial_id,
            };
            self.after(wait + REDIAL_MS, move |world| world.dial(dial));
        }
    }

    /// Closes all connections of a process.
    pub(crate) fn close_all(&mut self, process: usize) {
        for conn in self.connections_that(|c| c.ends_at(process)) {
            self.close(conn);
        }
    }

    /// Partitions a core from the other cores; edges still reach all.
    pub fn partition_core(&mut self, core: usize, partition: Partition) {
        for other in self.cores().into_iter().filter(|c| *c != core) {
            if partition != Partition::OutboundBlocked {
                self.blocked_links.insert((other, core));
            }
            if partition != Partition::InboundBlocked {
                self.blocked_links.insert((core, other));
            }
            if matches!(partition, Partition::Reset | Partition::Restarted) {
                self.reset_connections(core, other);
            }
        }
        if partition == Partition::Restarted {
            self.crash(core);
            self.after(PARTITIONED_RESTART_MS, move |world| world.start(core));
        }
    }

    /// Closes the connections between two processes, blocked or not, and notifies
    /// both ends.
    fn reset_connections(&mut self, a: usize, b: usize) {
        for conn in self.connections_that(|c| c.joins(a, b)) {
            self.close_after(conn, CLOSE_MS);
        }
    }

    /// Blocks the link between two processes, both ways.
    pub fn partition_pair(&mut self, a: usize, b: usize) {
        self.blocked_links.insert((a, b));
        self.blocked_links.insert((b, a));
    }

    /// Blocks all links of a process.
    pub fn isolate(&mut self, process: usize) {
        for other in 0..self.processes.len() {
            if process != other {
                self.partition_pair(process, other);
            }
        }
    }
}

fn is_about_claims(payload: &Payload) -> bool {
    use Payload::*;
    let claiming = matches!(
        payload,
        Claim { .. } | ClaimResult { .. } | ClaimVoteRequest { .. } | ClaimVoteReply { .. }
    );
    let releasing = matches!(
        payload,
        Release { .. } | Released { .. } | PeerRelease { .. } | ReleaseAck { .. }
    );
    claiming || releasing || matches!(payload, ClaimsPageRequest { .. } | ClaimsPage { .. })
}
