//! Settings that trade latency for cost: intervals of periodic work, and which
//! optional exchanges between nodes take place. For sites where bandwidth,
//! wake-ups or requests are expensive.

use crate::consensus::Timing;
use crate::json::{Faults, ObjectReader};
use crate::types::Millis;

/// Names of the settings read here.
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

/// The settings of [`KEYS`]. The defaults suit a site where bandwidth and
/// wake-ups are cheap. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Interval of a core's ticks.
    pub tick_ms: Millis,
    /// Interval of a leader's heartbeats; none: a fortieth of `ack_ms`.
    pub heartbeat_ms: Option<Millis>,
    /// Interval of an edge's lease renewals.
    pub renew_ms: Millis,
    /// After this without an answer, an edge sends a renewal to one more core.
    pub hedge_ms: Millis,
    /// A connection on which nothing was sent for this long gets a heartbeat.
    pub ping_ms: Millis,
    /// Linearizable reads that arrive within this time are confirmed together;
    /// 0: each is confirmed at once.
    pub read_batch_ms: Millis,
    /// Whether the holder of the singleton role polls workers for their load.
    pub poll_worker_loads: bool,
    /// Whether cores read each other's claims on request ids.
    pub read_peer_claims: bool,
    /// Whether cores forward the latency and load reports of edges to each
    /// other, for status and weight tuning; if not, only their readiness.
    pub forward_edge_reports: bool,
    /// How long after its start an edge without state accepts unverified state;
    /// none: never.
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
    /// Reads the settings of [`KEYS`] from a settings file; those that are
    /// absent have their defaults, those out of range are added to `f`.
    pub fn read(o: &ObjectReader, f: &mut Faults) -> Pacing {
        let d = Pacing::default();
        Pacing {
            tick_ms: o.integer("tick_ms", 1, 250, f).unwrap_or(d.tick_ms),
            heartbeat_ms: o.integer("beat_ms", 20, 2000, f),
            renew_ms: o.integer("renew_ms", 50, 2000, f).unwrap_or(d.renew_ms),
            hedge_ms: o.integer("hedge_ms", 50, 2000, f).unwrap_or(d.hedge_ms),
            ping_ms: o.integer("ping_ms", 50, 1000, f).unwrap_or(d.ping_ms),
            read_batch_ms: o.integer("batch_ms", 0, 1000, f).unwrap_or(d.read_batch_ms),
            poll_worker_loads: o.flag("gather", f).unwrap_or(d.poll_worker_loads),
            read_peer_claims: o.flag("claims", f).unwrap_or(d.read_peer_claims),
            forward_edge_reports: o.flag("accounts", f).unwrap_or(d.forward_edge_reports),
            unverified_after_ms: o.integer("unverified_after_ms", 0, 600_000, f),
        }
    }

    /// The time-outs of consensus for acknowledgements within `ack_ms`
    /// milliseconds.
    pub fn timing(&self, ack_ms: Millis) -> Timing {
        let defaults = Timing::for_ack(ack_ms);
        let heartbeat_interval = self.heartbeat_ms.unwrap_or(defaults.heartbeat_interval);
        // three missed heartbeats suspect a leader, fewer never do
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
