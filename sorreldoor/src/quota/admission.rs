//! The edge's part: which requests of a tenant are admitted here, and what is
//! reported to a core.

use super::ALL_PER_MILLE;
use super::{AdmissionShare, AdmissionUpdate, Quota, TenantId, TenantUsage, UsageReport};
use crate::types::Millis;
use std::collections::HashMap;

/// A report without an answer for so long: no core is known to count for this
/// edge, and it admits its fixed part of each quota.
const ANSWER_TIMEOUT_MS: Millis = 1000;
/// A report without an answer for so long is sent to another core, if one is
/// known to be there.
const STALL_TIMEOUT_MS: Millis = 350;
/// Milliseconds between two reports: a sudden rise has to be noticed before it
/// has used up what the quota leaves.
const REPORT_INTERVAL_MS: Millis = 150;
/// A tenant that sent nothing for so long is forgotten.
const FORGET_AFTER_MS: Millis = 60_000;
/// What a new tenant's accumulator starts with: with 0 all edges would reject
/// its first request at the same time.
const INITIAL_CREDIT: f64 = 0.5;

#[derive(Clone, Debug)]
struct TenantState {
    unreported: TenantUsage,
    /// Admitted shares of requests that have not made up a whole one.
    credit: f64,
    /// Tokens of this edge alone, for when no core answers.
    local_tokens: f64,
    refilled_at: Millis,
    last_request_at: Millis,
}

/// Admission of tenants' requests at one edge.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    tenants: HashMap<TenantId, TenantState>,
    /// Shares of the tenants that are not admitted completely.
    shares: HashMap<TenantId, f64>,
    /// Reports without an answer, in the order they were sent.
    unanswered: Vec<UsageReport>,
    /// When the oldest of them was sent, or first could not be.
    unanswered_since: Option<Millis>,
    next_report_at: Millis,
    last_number: u64,
}

impl Admission {
    /// Counts a request, and tells whether it is admitted. `nodes`: how many
    /// edges share the quota.
    pub fn admit(&mut self, tenant: TenantId, quota: Quota, nodes: u32, now: Millis) -> bool {
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
        state.refill(quota.rate_per_s / f64::from(nodes.max(1)), now);
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
        // what is rejected for another reason is not made up for later
        state.credit = state.credit.min(1.0);
        admitted
    }

    /// Whether no core answers this edge's reports.
    #[must_use]
    pub fn is_detached(&self, now: Millis) -> bool {
        self.unanswered_since
            .is_some_and(|since| now > since + ANSWER_TIMEOUT_MS)
    }

    /// What is to be reported to a core now, if a report is due.
    pub fn take_report(&mut self, now: Millis) -> Option<UsageReport> {
        if now < self.next_report_at {
            return None;
        }
        self.next_report_at = now + REPORT_INTERVAL_MS;
        self.tenants
            .retain(|_, state| now <= state.last_request_at + FORGET_AFTER_MS);
        let mut usage = Vec::new();
        for (tenant, state) in &mut self.tenants {
            let cleared = TenantUsage {
                tenant: *tenant,
                ..TenantUsage::default()
            };
            let row = std::mem::replace(&mut state.unreported, cleared);
            if row.requested > 0 {
                usage.push(row);
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
        self.unanswered.push(report.clone());
        self.unanswered_since.get_or_insert(now);
        Some(report)
    }

    /// The connection to the core has ended: what it did not answer is to be
    /// reported again.
    pub fn on_disconnected(&mut self) {
        for report in std::mem::take(&mut self.unanswered) {
            for row in report.usage {
                if let Some(state) = self.tenants.get_mut(&row.tenant) {
                    state.unreported.requested += row.requested;
                    state.unreported.admitted += row.admitted;
                }
            }
        }
    }

    /// Takes note that no core can be reached; what is unreported stays so.
    pub fn on_core_unreachable(&mut self, now: Millis) {
        let mut states = self.tenants.values();
        if states.any(|state| state.unreported.requested > 0) {
            self.unanswered_since.get_or_insert(now);
        }
    }

    /// Whether a report has waited for its answer for so long that another
    /// core should be tried.
    #[must_use]
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.unanswered_since
            .is_some_and(|since| now > since + STALL_TIMEOUT_MS)
    }

    /// Takes what a core tells. Only the answer to a report shows that a core
    /// counts for this edge.
    pub fn apply(&mut self, update: &AdmissionUpdate) {
        if let Some(number) = update.acknowledged_report {
            self.unanswered.retain(|report| report.number > number);
            self.unanswered_since = None;
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
    /// Refills the tokens of this edge alone, at its part of the rate.
    fn refill(&mut self, part_per_s: f64, now: Millis) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        let most = part_per_s.max(1.0);
        self.local_tokens = (self.local_tokens + part_per_s * elapsed).min(most);
        self.refilled_at = now;
    }
}
