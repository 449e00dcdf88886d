//! Quotas of tenants: what edges report, what the cores tell one another, and
//! what edges are answered.

use super::Controller;
use crate::net::Conn;
use crate::quota::{AdmissionUpdate, UsageReport};
use crate::types::Millis;
use crate::wire::Payload;
use std::collections::BTreeSet;

/// Milliseconds between two reports of totals to the other cores.
const USAGE_REPORT_MS: Millis = 100;

impl Controller {
    /// Counts what an edge reports, and answers which tenants are limited.
    pub(super) fn on_usage_report(&mut self, conn: Conn, report: &UsageReport) {
        self.usage.record(&report.usage, self.now);
        let update = AdmissionUpdate {
            acknowledged_report: Some(report.number),
            shares: self.usage.current_shares(self.now),
        };
        self.send(conn, Payload::AdmissionUpdate(update));
    }

    /// Follows the configuration and the edges, and reports to other cores.
    pub(super) fn tick_quotas(&mut self) {
        if self.now < self.usage_report_at {
            return;
        }
        self.usage_report_at = self.now + USAGE_REPORT_MS;
        self.follow_quotas();
        if !self.usage.has_quotas() {
            return;
        }
        self.count_edges();
        let totals = self.usage.take_changed_totals();
        for conn in self.reachable_cores() {
            self.send(conn, Payload::UsageTotals(totals.clone()));
        }
        self.announce_shares();
    }

    /// Edges of a core that was cut off a moment ago still have sessions there,
    /// and what they use is not heard of any more.
    fn count_edges(&mut self) {
        let is_heard = |core| self.usage.is_connected_to(core, self.now);
        let sessions = self.sessions.sessions_of(is_heard);
        let names: BTreeSet<String> = sessions.map(|s| s.hello.node.clone()).collect();
        let names = names.iter().map(String::as_str);
        self.usage.set_connected_edges(names, self.now);
    }

    /// Tells all edges who is limited: one that has no request of a tenant now
    /// may have its next.
    fn announce_shares(&mut self) {
        let Some(shares) = self.usage.announcement(self.now) else {
            return;
        };
        for conn in self.sessions.local_connections() {
            let update = AdmissionUpdate {
                acknowledged_report: None,
                shares: Some(shares.clone()),
            };
            self.send(conn, Payload::AdmissionUpdate(update));
        }
    }

    fn follow_quotas(&mut self) {
        let Some(consensus) = self.consensus.as_ref() else {
            return;
        };
        let state = consensus.state_machine();
        if state.revision() == self.quota_revision {
            return;
        }
        self.quota_revision = state.revision();
        let hosted = state.configuration().and_then(|c| c.hosted.clone());
        let tenants = hosted.iter().flat_map(|hosted| hosted.tenants.all());
        let quotas = tenants.filter_map(|tenant| Some((tenant.id(), tenant.quota()?)));
        self.usage.set_quotas(quotas);
    }
}
