//! Settings that trade latency for cost: intervals of periodic work, and switches
//! for optional traffic between nodes. They matter to sites where bandwidth,
//! wake-ups or requests are expensive.

use crate::consensus::Timing;
use crate::json::{Faults, ObjectReader};
use crate::types::Millis;

/// Keys of these settings in a settings file.
pub const KEYS: [&str; 10] = [
    "tick_ms",
    "beat_ms",
    "renew_ms",
    "hedge_ms",
    "ping_ms",
    "batch_ms",
    "gather",
    "claims",
    "accounts",
    "unverified_after_ms",
];

/// The settings of [`KEYS`]. The defaults favour latency, for sites where bandwidth
/// and wake-ups are cheap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Interval of a core's ticks, which drive its timers.
    pub tick_ms: Millis,
    /// Interval of a leader's heartbeats; `None`: derived from `ack_ms`.
    pub heartbeat_ms: Option<Millis>,
    /// Interval of an edge's lease renewals.
    pub renew_ms: Millis,
    /// Time without a response after which an edge sends a hedged renewal to one more
    /// core.
    pub hedge_ms: Millis,
    /// Time since the last message on a connection after which a keep-alive is sent.
    pub ping_ms: Millis,
    /// Time for which linearizable reads are collected and then confirmed together;
    /// 0: each is confirmed at once.
    pub read_batch_ms: Millis,
    /// The holder of the singleton role polls workers for their load.
    pub poll_worker_loads: bool,
    /// Cores read each other's claims on request ids.
    pub read_peer_claims: bool,
    /// Cores forward the latency and load reports of edges to each other, for status
    /// and weight tuning; if not, they forward only the edges' readiness.
    pub forward_edge_reports: bool,
    /// Time after its start at which an edge without state accepts unverified state;
    /// `None`: never.
    pub unverified_after_ms: Option<Millis>,
}

impl Default for Pacing {
    fn default() -> Pacing {
        Pacing {
            tick_ms: 10,
            heartbeat_ms: None,
            renew_ms: 300,
            hedge_ms: 400,
            ping_ms: 250,
            read_batch_ms: 0,
            poll_worker_loads: true,
            read_peer_claims: true,
            forward_edge_reports: true,
            unverified_after_ms: None,
        }
    }
}

impl Pacing {
    /// Reads the settings of [`KEYS`] from a settings file. Absent ones get their
    /// defaults; invalid ones are added to `faults`.
    pub fn read(object: &ObjectReader, faults: &mut Faults) -> Pacing {
        let defaults = Pacing::default();
        Pacing {
            tick_ms: object
                .integer("tick_ms", 1, 250, faults)
                .unwrap_or(defaults.tick_ms),
            heartbeat_ms: object.integer("beat_ms", 20, 2000, faults),
            renew_ms: object
                .integer("renew_ms", 50, 2000, faults)
                .unwrap_or(defaults.renew_ms),
            hedge_ms: object
                .integer("hedge_ms", 50, 2000, faults)
                .unwrap_or(defaults.hedge_ms),
            ping_ms: object
                .integer("ping_ms", 50, 1000, faults)
                .unwrap_or(defaults.ping_ms),
            read_batch_ms: object
                .integer("batch_ms", 0, 1000, faults)
                .unwrap_or(defaults.read_batch_ms),
            poll_worker_loads: object
                .flag("gather", faults)
                .unwrap_or(defaults.poll_worker_loads),
            read_peer_claims: object
                .flag("claims", faults)
                .unwrap_or(defaults.read_peer_claims),
            forward_edge_reports: object
                .flag("accounts", faults)
                .unwrap_or(defaults.forward_edge_reports),
            unverified_after_ms: object.integer("unverified_after_ms", 0, 600_000, faults),
        }
    }

    /// The intervals and timeouts of consensus with which a change is acknowledged
    /// within `ack_ms`.
    pub fn timing(&self, ack_ms: Millis) -> Timing {
        let defaults = Timing::for_ack(ack_ms);
        let heartbeat_interval = self.heartbeat_ms.unwrap_or(defaults.heartbeat_interval);
        // no timeout expires before three heartbeats were missed
        let min_timeout = heartbeat_interval * 4;
        Timing {
            heartbeat_interval,
            election_timeout: defaults.election_timeout.max(min_timeout),
            region_timeout: defaults.region_timeout.max(min_timeout),
            region_rule_timeout: defaults.region_rule_timeout.max(min_timeout),
            read_timeout: defaults.read_timeout.max(min_timeout),
            read_batch_interval: self.read_batch_ms,
            ..defaults
        }
    }
}
