//! An edge's subscription to the cores' state. It renews its lease at one core; each
//! grant brings the state that the edge lacks, and extends the lease if the core has
//! confirmed that this state is current. If no grant arrives in time, one more core
//! gets a renewal (a hedge), and the session moves to the first that grants one.

mod candidates;
mod grants;
mod isolation;
mod lease;
mod search;

pub use grants::GrantOutcome;

use crate::core_search::CoreSearch;
use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::pacing::Pacing;
use crate::types::Millis;
use crate::wire::{KnownVersions, Unverified};
use candidates::Candidate;
use isolation::Isolation;
use lease::Lease;
use std::net::SocketAddr;

/// Time between two events above which the process counts as suspended.
const SUSPENSION_GAP_MS: Millis = 400;
/// Lead of the wall over the monotonic clock above which the machine counts as suspended.
const CLOCK_JUMP_MS: i64 = 1000;
/// Interval of renewals while less than half of the lease is left.
const URGENT_MS: Millis = 120;
/// Interval of renewals of a starting edge that lacks state.
const STARTUP_RENEW_MS: Millis = 100;
/// Hedging delay of a starting edge that lacks state.
const STARTUP_HEDGE_MS: Millis = 200;
/// Time after the start of an edge in which it uses `STARTUP_RENEW_MS`; four
/// times as long while no core has confirmed its state.
const STARTUP_MS: Millis = 1500;
/// Time beyond `unverified_after_ms` before unconfirmed state is accepted from any core.
const LEADER_SEARCH_MS: Millis = 1000;

/// An edge's subscription and lease: a state machine without I/O. Its owner calls
/// it for each event and carries out the returned effects. Times are milliseconds
/// of the monotonic clock unless they are named `wall`.
#[derive(Clone, Debug)]
pub struct CoreSubscription {
    /// The cores, and whether each is in the edge's own region.
    cores: Vec<(SocketAddr, bool)>,
    /// Index in `cores` of the core to try next.
    next_core: usize,
    /// Name of the edge; its hash spreads edges over the cores of their region.
    node_name: String,
    try_home_at: Millis,
    candidates: Vec<Candidate>,
    /// When to hedge, unless a renewal is granted before.
    hedge_at: Millis,
    /// Address of the core of the session, connected or not.
    pub session_addr: Option<SocketAddr>,
    /// Connection of the session while it is established.
    pub conn: Option<Conn>,
    /// Versions of the state that the edge has; the owner updates them.
    pub known_versions: KnownVersions,
    lease: Lease,
    renew_at: Millis,
    last_event_at: Millis,
    last_wall_ms: i64,
    /// Whether the lease was valid at the last `tick`.
    had_lease: bool,
    renew_ms: Millis,
    hedge_ms: Millis,
    started_at: Millis,
    unverified_after_ms: Option<Millis>,
    /// Whether any core has granted a confirmed renewal since the start.
    was_confirmed: bool,
    isolation: Isolation,
    search: CoreSearch,
    /// Effects of a grant, returned by the next `tick`.
    pending_effects: Vec<SubscriptionEffect>,
}

/// What the owner of the subscription must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriptionEffect {
    /// Connect to this core, and reconnect until `Disconnect`.
    Connect(SocketAddr),
    /// Close the connection to this core, and do not reconnect.
    Disconnect(SocketAddr),
    /// Send a renewal of the lease.
    Renew {
        /// Connection to send it on.
        conn: Conn,
        /// Number of the renewal, repeated in its grant.
        number: u64,
        /// Which cores may grant it without confirmation.
        unverified: Unverified,
    },
    /// Ask the node at the other end for the addresses of the cores.
    AskCores(Conn),
    /// Read the seeds from the settings again.
    ReadSeeds,
    /// Log that the session moved to another core, which granted a hedge first.
    SessionReplaced,
    /// Log that the lease was voided after a suspension, with gap and clock jump.
    Suspended(String),
    /// Log that the lease has expired.
    LeaseExpired,
    /// Log that no core has confirmed this edge's state for long, with the cores that
    /// were tried.
    NoConfirmation(String),
    /// Log that the lease is valid again.
    LeaseRenewed,
}

impl CoreSubscription {
    /// Creates a subscription without a session. `seeds` are the cores to try
    /// first; `now` is the monotonic and `wall` the wall clock, in milliseconds.
    pub fn new(seeds: &[SocketAddr], lease_ms: Millis, now: Millis, wall: i64) -> CoreSubscription {
        let pacing = Pacing::default();
        CoreSubscription {
            cores: seeds.iter().map(|s| (*s, false)).collect(),
            next_core: 0,
            node_name: String::new(),
            try_home_at: now,
            candidates: Vec::new(),
            hedge_at: now + STARTUP_HEDGE_MS,
            session_addr: None,
            conn: None,
            known_versions: KnownVersions::default(),
            lease: Lease::new(lease_ms),
            renew_at: now,
            last_event_at: now,
            last_wall_ms: wall,
            had_lease: false,
            renew_ms: pacing.renew_ms,
            hedge_ms: pacing.hedge_ms,
            started_at: now,
            unverified_after_ms: None,
            was_confirmed: false,
            isolation: Isolation::new(now),
            search: CoreSearch::default(),
            pending_effects: Vec::new(),
        }
    }

    /// Sets the name of the edge; its hash picks the seed to try first.
    pub fn with_node_name(self, node: &str) -> CoreSubscription {
        // edges that start at once must not all try the same seed first
        let next_core =
            crate::placement::hash_pair(node, "seed") as usize % self.cores.len().max(1);
        CoreSubscription {
            next_core,
            node_name: node.to_string(),
            ..self
        }
    }

    /// Sets the renewal interval, the hedging delay, and the time after which
    /// unconfirmed state is accepted.
    pub fn with_pacing(self, pacing: &Pacing) -> CoreSubscription {
        CoreSubscription {
            renew_ms: pacing.renew_ms,
            hedge_ms: pacing.hedge_ms,
            unverified_after_ms: pacing.unverified_after_ms,
            ..self
        }
    }

    /// Whether the edge has all state that it needs to serve, confirmed or not.
    fn has_state(&self) -> bool {
        let known = &self.known_versions;
        known.record > 0 && known.registry > 0 && known.edge_sessions > 0
    }

    /// Interval of renewals in milliseconds; shorter for an edge that has just
    /// started and lacks state. Edges that have state keep the usual interval: when
    /// all nodes start at once, the cores need their time for an election.
    fn renew_interval(&self, now: Millis) -> Millis {
        let age = now.saturating_sub(self.started_at);
        let is_starting = age < STARTUP_MS || (!self.was_confirmed && age < STARTUP_MS * 4);
        let is_eager = !self.has_state() || is_disabled(Invariant::UniformRenewalRate);
        if is_starting && is_eager {
            STARTUP_RENEW_MS.min(self.renew_ms)
        } else {
            self.renew_ms
        }
    }

    /// Milliseconds without a grant after which a renewal is hedged.
    fn hedge_delay(&self) -> Millis {
        let is_eager = !self.has_state() || is_disabled(Invariant::UniformRenewalRate);
        if !self.was_confirmed && is_eager {
            STARTUP_HEDGE_MS.min(self.hedge_ms)
        } else {
            self.hedge_ms
        }
    }

    /// From which cores the edge accepts unconfirmed state.
    fn accepted_unverified(&self, now: Millis) -> Unverified {
        let Some(after) = self.unverified_after_ms.filter(|_| !self.was_confirmed) else {
            // after the first confirmed grant only confirmed state is accepted
            return Unverified::None;
        };
        let age = now.saturating_sub(self.started_at);
        if age < after {
            Unverified::None
        } else if age < after + LEADER_SEARCH_MS {
            Unverified::FromStarting
        } else {
            Unverified::FromAny
        }
    }

    /// Whether the lease is valid.
    pub fn has_lease(&self, now: Millis) -> bool {
        self.lease.is_valid(now)
    }

    /// Whether the lease is valid and a core had confirmed this edge's state for it.
    pub fn is_confirmed(&self, now: Millis) -> bool {
        self.lease.is_confirmed(now) || is_disabled(Invariant::ConfirmedRejection)
    }

    /// Milliseconds until the lease expires; 0 if it has.
    pub fn lease_left_ms(&self, now: Millis) -> Millis {
        self.lease.remaining_ms(now)
    }

    /// Voids the lease if the process or its machine was suspended since the last
    /// event, since the state may be outdated. Must be called first at every event.
    pub fn detect_suspension(&mut self, now: Millis, wall: i64) -> Option<SubscriptionEffect> {
        let gap = now.saturating_sub(self.last_event_at);
        let jump = (wall - self.last_wall_ms) - gap as i64;
        self.last_event_at = now;
        self.last_wall_ms = wall;
        // the monotonic clock may stop while the machine is suspended
        if (gap > SUSPENSION_GAP_MS || jump > CLOCK_JUMP_MS)
            && !is_disabled(Invariant::LeaseVoidAfterSuspension)
        {
            self.lease.void();
            self.isolation.resume(now);
            self.renew_at = now;
            self.hedge_at = now + self.hedge_delay();
            return Some(SubscriptionEffect::Suspended(format!(
                "gap {gap} ms, jump {jump} ms"
            )));
        }
        None
    }

    /// Handles the periodic timer: connects, renews, hedges, and reports a changed lease.
    pub fn tick(&mut self, now: Millis) -> Vec<SubscriptionEffect> {
        let mut effects = std::mem::take(&mut self.pending_effects);
        self.drop_late_candidates(now, &mut effects);
        self.open_session(now, &mut effects);
        self.try_home_core(now, &mut effects);
        self.search_cores(now, &mut effects);
        self.send_hedge(now, &mut effects);
        if self.had_lease != self.has_lease(now) {
            self.had_lease = !self.had_lease;
            // renewals report to the cores whether this edge serves
            self.renew_at = now;
            effects.push(if self.had_lease {
                SubscriptionEffect::LeaseRenewed
            } else {
                SubscriptionEffect::LeaseExpired
            });
        }
        if let Some(conn) = self.conn.filter(|_| now >= self.renew_at) {
            effects.push(self.renew(conn, now));
        }
        self.renew_candidates(now, &mut effects);
        self.report_isolation(now, &mut effects);
        effects
    }

    /// Renews the lease now; a grant extends it from `now` on.
    pub fn renew(&mut self, conn: Conn, now: Millis) -> SubscriptionEffect {
        let number = self.lease.record_sent(conn, now);
        let urgent = self.lease_left_ms(now) < self.lease.length_ms / 2;
        let usual = self.renew_interval(now);
        self.renew_at = now + if urgent { URGENT_MS.min(usual) } else { usual };
        let unverified = self.accepted_unverified(now);
        SubscriptionEffect::Renew {
            conn,
            number,
            unverified,
        }
    }

    /// Number of the last renewal; 0 before the first.
    pub fn last_renewal(&self) -> u64 {
        self.lease.last_number()
    }

    /// Connects to the next core if no core is chosen for the session.
    fn open_session(&mut self, now: Millis, effects: &mut Vec<SubscriptionEffect>) {
        if self.session_addr.is_some() || self.cores.is_empty() {
            return;
        }
        let (addr, _) = self.cores[self.next_core % self.cores.len()];
        self.next_core += 1;
        self.session_addr = Some(addr);
        self.hedge_at = self.hedge_at.max(now + self.hedge_delay());
        effects.push(SubscriptionEffect::Connect(addr));
    }

    /// Handles an established connection to a core; renews on it at once.
    pub fn on_connected(
        &mut self,
        conn: Conn,
        addr: SocketAddr,
        now: Millis,
    ) -> Vec<SubscriptionEffect> {
        if self.session_addr == Some(addr) {
            self.conn = Some(conn);
            return vec![self.renew(conn, now)];
        }
        if self.search.on_connected(addr, conn) {
            return vec![SubscriptionEffect::AskCores(conn)];
        }
        let mut effects = Vec::new();
        if let Some(c) = self.candidates.iter_mut().find(|c| c.addr == addr) {
            c.conn = Some(conn);
            c.renew_at = now;
            self.renew_candidates(now, &mut effects);
        }
        effects
    }

    /// Handles a closed connection. Its core stays chosen until `Disconnect`.
    pub fn on_disconnected(&mut self, conn: Conn) {
        if self.conn == Some(conn) {
            self.conn = None;
        }
        for c in self.candidates.iter_mut().filter(|c| c.conn == Some(conn)) {
            c.conn = None;
        }
    }

    /// Replaces the cores by those of a delta, given by address and region.
    pub fn update_cores(&mut self, version: u64, cores: &[(String, u8)], own_region: u8) {
        self.known_versions.cores = version;
        let parsed = cores.iter().filter_map(|(address, region)| {
            let address = address.parse().ok()?;
            Some((address, *region == own_region))
        });
        self.set_cores(parsed.collect());
    }

    /// Replaces the cores; those of the edge's own region (`true`) are tried first.
    pub fn set_cores(&mut self, mut cores: Vec<(SocketAddr, bool)>) {
        let name = &self.node_name;
        cores.sort_by_key(|(addr, near)| {
            (!near, crate::placement::hash_pair(name, &addr.to_string()))
        });
        if !cores.is_empty() && cores != self.cores {
            self.cores = cores;
            let is_session = |(addr, _): &(SocketAddr, bool)| Some(*addr) == self.session_addr;
            self.next_core = self.cores.iter().position(is_session).map_or(0, |i| i + 1);
        }
    }
}
