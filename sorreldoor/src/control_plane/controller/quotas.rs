//! Quotas of tenants: adds up the usage that edges and other cores report, and
//! sends edges the shares of the tenants that are limited.

use super::Controller;
use crate::net::Conn;
use crate::quota::{AdmissionUpdate, UsageReport};
use crate::types::Millis;
use crate::wire::Payload;
use std::collections::BTreeSet;

/// Interval of the reports of usage totals to the other cores.
const USAGE_REPORT_MS: Millis = 100;

impl Controller {
    /// Records the usage that an edge reports, and answers with the shares of the
    /// limited tenants.
    pub(super) fn on_usage_report(&mut self, conn: Conn, report: &UsageReport) {
        self.usage.record(&report.usage, self.now);
        let update = AdmissionUpdate {
            acknowledged_report: Some(report.number),
            shares: self.usage.current_shares(self.now),
        };
        self.send(conn, Payload::AdmissionUpdate(update));
    }

    /// Periodic step: applies changed quotas and the current edges, and exchanges
    /// totals with the other cores.
    pub(super) fn tick_quotas(&mut self) {
        if self.now < self.usage_report_at {
            return;
        }
        self.usage_report_at = self.now + USAGE_REPORT_MS;
        self.apply_quotas();
        if !self.usage.has_quotas() {
            return;
        }
        self.update_edges();
        let totals = self.usage.take_changed_totals();
        for conn in self.reachable_cores() {
            self.send(conn, Payload::UsageTotals(totals.clone()));
        }
        self.announce_shares();
    }

    /// Sets the edges among which quotas are shared: those with a session on this
    /// core or on one that reports usage. A core that was partitioned a moment ago
    /// may still have sessions, but the usage of its edges is missing.
    fn update_edges(&mut self) {
        let reports_usage = |core| self.usage.is_connected_to(core, self.now);
        let sessions = self.sessions.sessions_of(reports_usage);
        let names: BTreeSet<String> = sessions.map(|s| s.hello.node.clone()).collect();
        let names = names.iter().map(String::as_str);
        self.usage.set_connected_edges(names, self.now);
    }

    /// Sends new shares to all edges, also to those without requests of the limited
    /// tenants, which may receive the next one.
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

    /// Applies the quotas of the configuration if the replicated state has changed.
    fn apply_quotas(&mut self) {
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
