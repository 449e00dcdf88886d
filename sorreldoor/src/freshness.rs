//! The time budget of delivery: an edge that can reach a core of the majority
//! applies an acknowledged change within one bound, also in the worst case
//! allowed.

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
    /// A renewal without an answer for this long is sent to one more core.
    pub hedge_ms: Millis,
}

/// Interval of an edge's ticks, in milliseconds.
pub const TICK_MS: Millis = 50;
/// Allowed for the answer to a renewal, in milliseconds: connecting to a core of
/// another region, the renewal's round trip and the core's confirmation by its
/// leader are six one-way delays of 35 ms; the rest is for scheduling delays.
pub const ANSWER_MS: Millis = 300;

impl FreshnessBudget {
    /// The timers for a bound in milliseconds. Beyond three seconds none grows:
    /// a longer bound is no reason to learn of changes later.
    pub fn for_apply(apply_ms: Millis) -> FreshnessBudget {
        FreshnessBudget {
            apply_ms,
            lease_ms: (apply_ms * 2 / 3).clamp(500, 2000),
            renew_ms: (apply_ms / 6).clamp(100, 500),
            hedge_ms: (apply_ms * 2 / 15).clamp(100, 400),
        }
    }

    /// The longest time in milliseconds that an edge uses superseded state when
    /// its own core and the `unresponsive` others that it tries next do not answer,
    /// and the change is acknowledged just after a renewal was sent.
    pub fn worst_case_ms(&self, unresponsive: u64) -> Millis {
        let first = self.renew_ms + self.hedge_ms + TICK_MS;
        let others = unresponsive * (self.hedge_ms + TICK_MS);
        first + others + ANSWER_MS
    }
}
