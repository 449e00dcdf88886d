//! Quotas of tenants, counted over all nodes together.
//!
//! Edges count the requested and the admitted requests of each tenant, and
//! report both to a core several times a second ([`Admission`]). Cores add up
//! the reports, exchange their totals, and keep a token bucket for each tenant
//! ([`UsageTracker`]). Of a tenant whose demand exceeds its bucket, edges admit a
//! share, which cores send in reply to reports. No request waits for a message.
//!
//! A bucket covers all nodes together. Requests that edges admit beyond it before a
//! new share arrives make its tokens negative, a debt that later refills pay off.
//! An edge whose reports are not acknowledged admits a fixed part of each quota.
//! A core that is connected to only some of the edges grants only their part, so
//! that the two sides of a network partition do not spend one quota twice.

mod admission;
mod usage_tracker;

pub use admission::Admission;
pub use usage_tracker::UsageTracker;

use serde::{Deserialize, Serialize};

/// Identifies a tenant on every node: a hash of its name.
pub type TenantId = u64;

/// Requests of one tenant since its last report, or in total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// Requests that arrived, admitted or not.
    #[serde(rename = "r")]
    pub requested: u64,
    /// Requests that were admitted.
    #[serde(rename = "a")]
    pub admitted: u64,
}

/// An edge's report to a core. If it is not acknowledged before its connection
/// ends, its usage is reported again to another core: usage counted twice costs
/// the tenant a part of its quota, usage not counted would let it exceed it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Rises with each report of an edge; the acknowledgement repeats it.
    #[serde(rename = "n")]
    pub number: u64,
    /// The usage of each tenant since the previous report.
    #[serde(rename = "u")]
    pub usage: Vec<TenantUsage>,
}

/// A core's message to an edge: in reply to a report, or to announce new shares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionUpdate {
    /// The report that it acknowledges, with all earlier ones; `None` for an
    /// announcement.
    #[serde(rename = "n")]
    pub acknowledged_report: Option<u64>,
    /// The shares of all limited tenants; `None` while the core has not counted
    /// for long enough to compute them.
    #[serde(rename = "s")]
    pub shares: Option<Vec<AdmissionShare>>,
}

/// The share of a tenant's requests that edges admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionShare {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// Admitted part of the requests, in thousandths.
    #[serde(rename = "s")]
    pub per_mille: u16,
}

/// The `per_mille` of an [`AdmissionShare`] that admits all requests.
pub const ALL_PER_MILLE: u16 = 1000;

/// The quota of one tenant over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may come at once in addition.
    pub burst: f64,
}
