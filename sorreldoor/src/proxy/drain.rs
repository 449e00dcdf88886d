//! Graceful shutdown: new connections are accepted while clients still use older
//! endpoint lists. Requests are served if they can be completed before the process
//! exits, and rejected otherwise; those in flight at its end get an error response.

use super::dialect::Dialect;
use super::shared_state::SharedState;
use crate::balancer::ShutdownLimits;
use crate::invariants::{is_disabled, Invariant};
use crate::runtime::Clock;
use crate::types::Millis;
use std::sync::atomic::Ordering;

/// How long idle connections are kept after the signal to stop, at most: most clients
/// have newer endpoint lists by then.
const KEEP_IDLE_MS: Millis = 2500;
/// How long before the end of the grace period queued requests are rejected, while
/// their responses can still be sent.
const QUEUE_MARGIN_MS: Millis = 1000;
/// How long before the end of the grace period all responses must be complete.
const RESPONSE_MARGIN_MS: Millis = 300;
/// How long before the end of the grace period the process exits.
const EXIT_MARGIN_MS: Millis = 200;

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStatus {
    /// Connections are open, or new ones are accepted.
    Draining,
    /// The process may exit.
    Ended {
        /// Requests whose connections are closed without a complete response.
        requests_cut_off: usize,
    },
}

/// A shutdown in progress. All times are in milliseconds of the node's clock.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    idle_close_at: Millis,
    queue_close_at: Millis,
    responses_until: Millis,
    exit_at: Millis,
}

impl Drain {
    /// Starts the shutdown now; the process must have exited after `grace_ms`.
    pub fn start<D: Dialect, C: Clock>(shared: &SharedState<D, C>, grace_ms: Millis) -> Drain {
        let now = shared.now();
        let before_end = |margin_ms: Millis| now + grace_ms.saturating_sub(margin_ms);
        let drain = Drain {
            idle_close_at: now + KEEP_IDLE_MS.min(grace_ms / 2),
            queue_close_at: before_end(QUEUE_MARGIN_MS),
            responses_until: before_end(RESPONSE_MARGIN_MS),
            exit_at: before_end(EXIT_MARGIN_MS),
        };
        shared.start_draining(ShutdownLimits {
            arrivals_until: drain.idle_close_at,
            responses_until: drain.responses_until,
        });
        drain
    }

    /// Advances the shutdown. Must be called until it has ended.
    pub fn advance<D: Dialect, C: Clock>(&self, shared: &SharedState<D, C>) -> DrainStatus {
        let now = shared.now();
        let requests = shared.requests_in_flight.load(Ordering::Relaxed);
        let ended = DrainStatus::Ended {
            requests_cut_off: requests,
        };
        if is_disabled(Invariant::GracefulDrain) {
            return ended;
        }
        if now >= self.queue_close_at {
            shared.close_queue();
        }
        if now >= self.responses_until {
            shared.end_requests();
        }
        if now < self.idle_close_at {
            return DrainStatus::Draining;
        }
        shared.close_idle_connections();
        let idle = requests == 0 && shared.open_connections.load(Ordering::Relaxed) == 0;
        match idle || now >= self.exit_at {
            true => ended,
            false => DrainStatus::Draining,
        }
    }
}
