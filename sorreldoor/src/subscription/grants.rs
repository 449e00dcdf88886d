//! Grants of renewals: which extend the lease, and what they change of the session.

use super::isolation::Isolation;
use super::lease::Renewal;
use super::{CoreSubscription, URGENT_MS};
use crate::types::Millis;
use crate::wire::Unverified;

/// What the edge does with a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The state is confirmed and the lease extended; the delta is applied.
    Confirmed,
    /// Unconfirmed state, accepted only by an edge without confirmed state: as `Confirmed`.
    Unverified,
    /// The lease is not extended, and the delta is ignored.
    Rejected,
}

impl CoreSubscription {
    /// Handles the grant of renewal `number`; `is_confirmed` by the core's leader,
    /// and with a delta that updates the replicated state if `has_document`.
    pub fn on_grant(
        &mut self,
        number: u64,
        is_confirmed: bool,
        has_document: bool,
        now: Millis,
    ) -> GrantOutcome {
        let Some(renewal) = self.lease.find(number) else {
            return GrantOutcome::Rejected;
        };
        if is_confirmed {
            self.on_confirmed(renewal, now);
            return GrantOutcome::Confirmed;
        }
        let accepts_unverified = self.accepted_unverified(now) != Unverified::None;
        if accepts_unverified && (has_document || self.known_versions.record > 0) {
            // a confirmed grant may follow under the same number
            self.lease.extend(renewal.sent_at);
            return GrantOutcome::Unverified;
        }
        self.isolation.unconfirmed_grants += 1;
        self.lease.remove_answered(renewal);
        if self.conn == Some(renewal.conn) {
            // this core has no majority: try another one at once
            self.hedge_at = self.hedge_at.min(now);
        }
        GrantOutcome::Rejected
    }

    fn on_confirmed(&mut self, renewal: Renewal, now: Millis) {
        self.lease.remove_answered(renewal);
        self.lease.extend_confirmed(renewal.sent_at);
        self.was_confirmed = true;
        self.isolation = Isolation::new(now);
        self.stop_search();
        let interval = self.renew_interval(now);
        self.hedge_at = self
            .hedge_at
            .max(renewal.sent_at + interval + self.hedge_delay());
        self.move_session(renewal.conn);
        // the session's next renewal is due one interval after this one
        self.renew_at = self.renew_at.max(renewal.sent_at + interval);
    }

    /// Handles a grant from a core that has newer state and could not send it
    /// yet. It shows that the core is alive, but does not extend the lease.
    pub fn on_withheld_grant(&mut self, number: u64, now: Millis) {
        let Some(renewal) = self.lease.find(number) else {
            return;
        };
        self.lease.remove_answered(renewal);
        if self.conn == Some(renewal.conn) {
            self.hedge_at = self.hedge_at.max(now + self.hedge_delay());
            self.renew_at = self.renew_at.min(now + URGENT_MS);
        }
    }
}
