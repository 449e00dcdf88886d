//! Admission control at an edge: admits the requests of each tenant at the share
//! that the cores have sent, and reports the usage to a core.

use super::ALL_PER_MILLE;
use super::{AdmissionShare, AdmissionUpdate, Quota, TenantId, TenantUsage, UsageReport};
use crate::types::Millis;
use std::collections::HashMap;

/// Time without an acknowledgement of a report after which the edge admits its
/// fixed part of each quota.
const DETACHED_AFTER_MS: Millis = 1000;
/// Time without an acknowledgement of a report after which the edge reports to
/// another core, if it can reach one.
const STALLED_AFTER_MS: Millis = 350;
/// Interval of reports; short, so that the cores see a sudden rise before it has
/// used up the quota.
const REPORT_INTERVAL_MS: Millis = 150;
/// Time without requests after which a tenant's state is dropped.
const IDLE_TENANT_TIMEOUT_MS: Millis = 60_000;
/// Initial `credit` of a tenant; with 0 every edge would reject the first request
/// of a limited tenant.
const INITIAL_CREDIT: f64 = 0.5;

#[derive(Clone, Debug)]
struct TenantState {
    unreported: TenantUsage,
    /// Sum of the shares of the requests so far, less 1 per admitted request; a
    /// request is admitted once it is 1. Never more than 1.
    credit: f64,
    /// Token bucket of this edge alone, used while it is detached.
    local_tokens: f64,
    refilled_at: Millis,
    last_request_at: Millis,
}

/// Admission of tenants' requests at one edge.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    tenants: HashMap<TenantId, TenantState>,
    /// Shares of the limited tenants, between 0 and 1.
    shares: HashMap<TenantId, f64>,
    /// Reports that are not acknowledged, in the order they were sent.
    unacknowledged: Vec<UsageReport>,
    /// When the oldest of them was sent, or could not be sent for want of a core.
    unacknowledged_since: Option<Millis>,
    next_report_at: Millis,
    last_number: u64,
}

impl Admission {
    /// Counts a request and returns whether it is admitted. `edges` is the number
    /// of edges that share the quota.
    pub fn admit(&mut self, tenant: TenantId, quota: Quota, edges: u32, now: Millis) -> bool {
        let detached = self.is_detached(now);
        let share = self.shares.get(&tenant).copied().unwrap_or(1.0);
        let state = self.tenants.entry(tenant).or_insert_with(|| TenantState {
            unreported: TenantUsage {
                tenant,
                ..TenantUsage::default()
            },
            credit: INITIAL_CREDIT,
            local_tokens: 1.0,
            refilled_at: now,
            last_request_at: now,
        });
        state.last_request_at = now;
        state.refill(quota.rate_per_s / f64::from(edges.max(1)), now);
        state.credit += share;
        let admitted = match detached {
            true => state.local_tokens >= 1.0,
            false => state.credit >= 1.0,
        };
        state.unreported.requested += 1;
        if admitted {
            state.unreported.admitted += 1;
            state.credit = (state.credit - 1.0).max(0.0);
            state.local_tokens = (state.local_tokens - 1.0).max(0.0);
        }
        // requests rejected by the local bucket do not accumulate credit
        state.credit = state.credit.min(1.0);
        admitted
    }

    /// Whether reports have been unacknowledged for so long that the edge admits
    /// its fixed part of each quota.
    #[must_use]
    pub fn is_detached(&self, now: Millis) -> bool {
        self.unacknowledged_since
            .is_some_and(|since| now > since + DETACHED_AFTER_MS)
    }

    /// The report to send now; `None` if none is due or there is no usage.
    pub fn take_report(&mut self, now: Millis) -> Option<UsageReport> {
        if now < self.next_report_at {
            return None;
        }
        self.next_report_at = now + REPORT_INTERVAL_MS;
        self.tenants
            .retain(|_, state| now <= state.last_request_at + IDLE_TENANT_TIMEOUT_MS);
        let mut usage = Vec::new();
        for (tenant, state) in &mut self.tenants {
            let cleared = TenantUsage {
                tenant: *tenant,
                ..TenantUsage::default()
            };
            let unreported = std::mem::replace(&mut state.unreported, cleared);
            if unreported.requested > 0 {
                usage.push(unreported);
            }
        }
        if usage.is_empty() {
            return None;
        }
        self.last_number += 1;
        let report = UsageReport {
            number: self.last_number,
            usage,
        };
        self.unacknowledged.push(report.clone());
        self.unacknowledged_since.get_or_insert(now);
        Some(report)
    }

    /// Handles the end of the connection to the core: usage that it did not
    /// acknowledge is reported again.
    pub fn on_disconnected(&mut self) {
        for report in std::mem::take(&mut self.unacknowledged) {
            for row in report.usage {
                if let Some(state) = self.tenants.get_mut(&row.tenant) {
                    state.unreported.requested += row.requested;
                    state.unreported.admitted += row.admitted;
                }
            }
        }
    }

    /// Records that no core can be reached; the usage stays unreported.
    pub fn on_core_unreachable(&mut self, now: Millis) {
        let mut states = self.tenants.values();
        if states.any(|state| state.unreported.requested > 0) {
            self.unacknowledged_since.get_or_insert(now);
        }
    }

    /// Whether a report has been unacknowledged for so long that another core
    /// should be tried.
    #[must_use]
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.unacknowledged_since
            .is_some_and(|since| now > since + STALLED_AFTER_MS)
    }

    /// Applies a core's message. Only an acknowledgement shows that a core counts
    /// the usage of this edge; an announcement does not end the detached state.
    pub fn apply(&mut self, update: &AdmissionUpdate) {
        if let Some(number) = update.acknowledged_report {
            self.unacknowledged.retain(|report| report.number > number);
            self.unacknowledged_since = None;
        }
        let Some(shares) = &update.shares else {
            return;
        };
        let fraction =
            |share: &AdmissionShare| f64::from(share.per_mille) / f64::from(ALL_PER_MILLE);
        self.shares = shares
            .iter()
            .map(|share| (share.tenant, fraction(share)))
            .collect();
    }
}

impl TenantState {
    /// Refills the local bucket at `rate_per_s`, the edge's part of the quota.
    fn refill(&mut self, rate_per_s: f64, now: Millis) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        let burst = rate_per_s.max(1.0);
        self.local_tokens = (self.local_tokens + rate_per_s * elapsed).min(burst);
        self.refilled_at = now;
    }
}
