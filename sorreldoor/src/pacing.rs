//! How often a node speaks, and what it leaves unsaid: settings for sites
//! where bytes, wake-ups and calls are dear.

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

/// Defaults are those of a site where none of it is dear. Times are in
/// milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Between alarms of a core.
    pub tick_ms: Millis,
    /// Between a leader's heartbeats; none: a fortieth of `ack_ms`.
    pub beat_ms: Option<Millis>,
    /// Between an edge's renewals.
    pub renew_ms: Millis,
    /// An edge's renewal without an answer for so long goes to one core more.
    pub hedge_ms: Millis,
    /// A line on which nothing was said for so long is given a sign of life.
    pub ping_ms: Millis,
    /// Reads that come within so long are proved together; 0: each at once.
    pub batch_ms: Millis,
    /// The duty's holder asks workers for their load.
    pub gather: bool,
    /// Cores read each other's claims on errand ids.
    pub claims: bool,
    /// Cores tell each other what edges are doing, not only that they serve.
    pub accounts: bool,
    /// An edge without any record takes an unverified one after so long.
    pub unverified_after_ms: Option<Millis>,
}

impl Default for Pacing {
    fn default() -> Pacing {
        Pacing {
            tick_ms: 10,
            beat_ms: None,
            renew_ms: 300,
            hedge_ms: 400,
            ping_ms: 250,
            batch_ms: 0,
            gather: true,
            claims: true,
            accounts: true,
            unverified_after_ms: None,
        }
    }
}

impl Pacing {
    pub fn read(o: &ObjectReader, f: &mut Faults) -> Pacing {
        let d = Pacing::default();
        Pacing {
            tick_ms: o.integer("tick_ms", 1, 250, f).unwrap_or(d.tick_ms),
            beat_ms: o.integer("beat_ms", 20, 2000, f),
            renew_ms: o.integer("renew_ms", 50, 2000, f).unwrap_or(d.renew_ms),
            hedge_ms: o.integer("hedge_ms", 50, 2000, f).unwrap_or(d.hedge_ms),
            ping_ms: o.integer("ping_ms", 50, 1000, f).unwrap_or(d.ping_ms),
            batch_ms: o.integer("batch_ms", 0, 1000, f).unwrap_or(d.batch_ms),
            gather: o.flag("gather", f).unwrap_or(d.gather),
            claims: o.flag("claims", f).unwrap_or(d.claims),
            accounts: o.flag("accounts", f).unwrap_or(d.accounts),
            unverified_after_ms: o.integer("unverified_after_ms", 0, 600_000, f),
        }
    }

    /// The protocol's waits for answers within `ack_ms`.
    pub fn timing(&self, ack_ms: Millis) -> Timing {
        let defaults = Timing::for_ack(ack_ms);
        let heartbeat_interval = self.beat_ms.unwrap_or(defaults.heartbeat_interval);
        // three missed heartbeats suspect a leader, fewer never do
        let min_timeout = heartbeat_interval * 4;
        Timing {
            heartbeat_interval,
            election_timeout: defaults.election_timeout.max(min_timeout),
            region_timeout: defaults.region_timeout.max(min_timeout),
            region_rule_timeout: defaults.region_rule_timeout.max(min_timeout),
            read_timeout: defaults.read_timeout.max(min_timeout),
            read_batch_interval: self.batch_ms,
            ..defaults
        }
    }
}
