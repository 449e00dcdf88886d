//! Graceful shutdown: clients get time to learn of other nodes, requests in
//! flight are finished, and queued ones rejected while that can still arrive.

use super::dialect::Dialect;
use super::shared_state::SharedState;
use crate::invariants::{is_disabled, Invariant};
use crate::runtime::Clock;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// New connections are accepted for so long after the signal, as clients hold
/// older endpoint lists.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2500);
/// Queued requests are rejected so long before the grace period is over, while
/// their answers can still arrive.
const QUEUE_MARGIN: Duration = Duration::from_millis(1000);
/// The process ends so long before the grace period is over.
const EXIT_MARGIN: Duration = Duration::from_millis(200);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    started_at: Instant,
    /// From the signal until the process must have ended.
    grace: Duration,
}

impl Drain {
    /// Starts a shutdown now.
    pub fn start<D: Dialect, C: Clock>(shared: &SharedState<D, C>, grace: Duration) -> Drain {
        shared.start_draining();
        Drain {
            started_at: Instant::now(),
            grace,
        }
    }

    /// Advances the shutdown; true once the process may end.
    pub fn advance<D: Dialect, C: Clock>(&self, shared: &SharedState<D, C>) -> bool {
        if is_disabled(Invariant::GracefulDrain) {
            return true;
        }
        let elapsed = self.started_at.elapsed();
        if elapsed + QUEUE_MARGIN >= self.grace {
            shared.close_queue();
        }
        if elapsed < ACCEPT_AFTER_STOP.min(self.grace / 2) {
            return false;
        }
        shared.close_idle_connections();
        let idle = shared.requests_in_flight.load(Ordering::Relaxed) == 0
            && shared.open_connections.load(Ordering::Relaxed) == 0;
        idle || elapsed + EXIT_MARGIN >= self.grace
    }
}
