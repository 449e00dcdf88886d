//! The time budget of state delivery: an edge that can reach a core of the
//! majority applies an acknowledged change within the bound `apply_ms`, also if
//! the cores that it tries first do not respond.

use crate::types::Millis;

/// The bound `apply_ms` and the timers derived from it, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBudget {
    /// Bound from the acknowledgement of a change until every connected edge
    /// applies it.
    pub apply_ms: Millis,
    /// Length of a lease, counted from the sending of its renewal.
    pub lease_ms: Millis,
    /// Interval of an edge's renewals.
    pub renew_ms: Millis,
    /// Time without a grant after which one more core gets a renewal.
    pub hedge_ms: Millis,
}

/// Interval of an edge's ticks, in milliseconds.
pub const TICK_MS: Millis = 50;
/// Time allowed for the grant of a renewal: connecting to a core of another region,
/// the renewal's round trip and the core's confirmation by its leader are six
/// one-way delays of 35 ms; the rest is for scheduling delays.
pub const GRANT_ALLOWANCE_MS: Millis = 300;

impl FreshnessBudget {
    /// The timers for a bound in milliseconds. Bounds above three seconds have the
    /// timers of three seconds, so that changes are not delivered later than needed.
    pub fn for_apply(apply_ms: Millis) -> FreshnessBudget {
        FreshnessBudget {
            apply_ms,
            lease_ms: (apply_ms * 2 / 3).clamp(500, 2000),
            renew_ms: (apply_ms / 6).clamp(100, 500),
            hedge_ms: (apply_ms * 2 / 15).clamp(100, 400),
        }
    }

    /// The longest time in milliseconds for which an edge uses superseded state if
    /// its core and the next `unresponsive` cores that it tries do not respond, and
    /// the change is acknowledged just after a renewal was sent.
    pub fn worst_case_ms(&self, unresponsive: u64) -> Millis {
        let first = self.renew_ms + self.hedge_ms + TICK_MS;
        let others = unresponsive * (self.hedge_ms + TICK_MS);
        first + others + GRANT_ALLOWANCE_MS
    }
}
