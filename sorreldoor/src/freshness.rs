//! The time budget of delivery: how an edge that reaches a majority's cores
//! goes by an acknowledged change within one bound, in the worst allowed case.

use crate::types::Millis;

/// What one bound, `apply_ms`, is divided into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBudget {
    /// From an acknowledgement until every edge in touch goes by it.
    pub apply_ms: Millis,
    /// How long a proof of freshness holds, from the sending of its renewal.
    pub lease_ms: Millis,
    /// Between an edge's renewals.
    pub renew_ms: Millis,
    /// A renewal that is not answered for so long is sent to one more core.
    pub hedge_ms: Millis,
}

/// Between looks at the timers of an edge.
pub const TICK_MS: Millis = 50;
/// Connecting to a core of another region, the renewal's way there and back,
/// and the core's proof of its leader: six ways of 35 ms, and a process that
/// waits for its processor.
pub const ANSWER_MS: Millis = 300;

impl FreshnessBudget {
    /// The parts of a bound; beyond three seconds none grows, since a longer
    /// bound is no reason to learn of changes later.
    pub fn for_apply(apply_ms: Millis) -> FreshnessBudget {
        FreshnessBudget {
            apply_ms,
            lease_ms: (apply_ms * 2 / 3).clamp(500, 2000),
            renew_ms: (apply_ms / 6).clamp(100, 500),
            hedge_ms: (apply_ms * 2 / 15).clamp(100, 400),
        }
    }

    /// The longest that an edge goes by something older, where its own core
    /// and `useless` others that it tries first answer nothing: the change is
    /// acknowledged just after a renewal was sent.
    pub fn worst_ms(&self, useless: u64) -> Millis {
        let first = self.renew_ms + self.hedge_ms + TICK_MS;
        let others = useless * (self.hedge_ms + TICK_MS);
        first + others + ANSWER_MS
    }
}
