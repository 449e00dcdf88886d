//! Graceful shutdown: new connections are accepted until clients have newer endpoint
//! lists, requests in flight are completed, and queued ones rejected in time for
//! their responses to be sent.

use super::dialect::Dialect;
use super::shared_state::SharedState;
use crate::invariants::{is_disabled, Invariant};
use crate::runtime::Clock;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long new connections are accepted after the signal to stop, while clients
/// still use older endpoint lists.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2500);
/// How long before the end of the grace period queued requests are rejected, while
/// their responses can still be sent.
const QUEUE_MARGIN: Duration = Duration::from_millis(1000);
/// How long before the end of the grace period the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(200);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    started_at: Instant,
    /// From the signal to stop until the process must have exited.
    grace: Duration,
}

impl Drain {
    /// Starts the shutdown now.
    pub fn start<D: Dialect, C: Clock>(shared: &SharedState<D, C>, grace: Duration) -> Drain {
        shared.start_draining();
        Drain {
            started_at: Instant::now(),
            grace,
        }
    }

    /// Advances the shutdown; returns true once the process may exit.
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
