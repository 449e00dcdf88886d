//! Isolation: how long no core has confirmed this edge's state, and the report of it.

use super::{CoreSubscription, SubscriptionEffect};
use crate::types::Millis;
use std::net::SocketAddr;

/// Time without a confirmed grant after which it is reported.
const REPORT_AFTER_MS: Millis = 3000;
/// Interval of further reports.
const REPORT_INTERVAL_MS: Millis = 10_000;

/// The time since the last confirmed grant, or since the start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    since: Millis,
    /// Grants since then that no leader had confirmed.
    pub unconfirmed_grants: u64,
    report_at: Millis,
}

impl Isolation {
    /// Starts at a confirmed grant, or at the start of the edge.
    pub fn new(now: Millis) -> Isolation {
        Isolation {
            since: now,
            unconfirmed_grants: 0,
            report_at: now + REPORT_AFTER_MS,
        }
    }

    /// Delays the next report: a node that was suspended has not tried any core yet.
    pub fn resume(&mut self, now: Millis) {
        self.report_at = now + REPORT_AFTER_MS;
    }

    /// Milliseconds without a confirmed grant.
    pub fn duration(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since)
    }
}

impl CoreSubscription {
    /// Reports now and then that no core confirms this edge's state.
    pub(super) fn report_isolation(&mut self, now: Millis, effects: &mut Vec<SubscriptionEffect>) {
        if now < self.isolation.report_at {
            return;
        }
        self.isolation.report_at = now + REPORT_INTERVAL_MS;
        let details = format!(
            "for {} ms; {} unconfirmed answers; cores: {}",
            self.isolation.duration(now),
            self.isolation.unconfirmed_grants,
            self.connection_states().join(", ")
        );
        effects.push(SubscriptionEffect::NoConfirmation(details));
    }

    /// The address of each core that is known, and whether it is connected.
    fn connection_states(&self) -> Vec<String> {
        let state = |addr: &SocketAddr| {
            let candidate = self.candidates.iter().find(|c| c.addr == *addr);
            let connected = match candidate {
                Some(candidate) => candidate.conn.is_some(),
                None => self.session_addr == Some(*addr) && self.conn.is_some(),
            };
            let word = if connected {
                "connected"
            } else {
                "not connected"
            };
            format!("{addr} {word}")
        };
        self.addresses_to_try().iter().map(state).collect()
    }
}
