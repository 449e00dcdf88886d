//! Quotas of tenants, counted over all nodes together.
//!
//! Edges count what each tenant requests and what they admit, and report it to
//! a core every few tenths of a second ([`Admission`]). Cores add up what all
//! edges report, exchange their totals, and keep a token bucket for each tenant
//! ([`UsageLedger`]). A tenant that requests more than its bucket can give is
//! admitted at a share, which cores tell edges in answer to their reports. No
//! request waits for a message.
//!
//! The bucket holds over all nodes; what edges admit beyond it before they are
//! told becomes a debt that the tenant pays off. An edge that no core answers
//! admits a fixed part of each quota; a core that does not hear of all edges
//! gives out its part only, so that two sides of a cut do not spend one quota
//! twice.

mod admission;
mod usage_ledger;

pub use admission::Admission;
pub use usage_ledger::UsageLedger;

use serde::{Deserialize, Serialize};

/// Identifies a tenant on every node: a hash of its name.
pub type TenantId = u64;

/// Requests of one tenant in some span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// Requests that came, admitted or not.
    #[serde(rename = "r")]
    pub requested: u64,
    /// Requests that were admitted.
    #[serde(rename = "a")]
    pub admitted: u64,
}

/// What an edge reports to a core. One that is not answered before its
/// connection ends is reported again, to another core: what two cores counted
/// is paid off twice, what none counted could be spent again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Rises with each report of an edge; the answer carries it back.
    #[serde(rename = "n")]
    pub number: u64,
    /// What tenants have requested since the report before.
    #[serde(rename = "u")]
    pub usage: Vec<TenantUsage>,
}

/// What a core tells an edge, in answer to a report or unasked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionUpdate {
    /// The report that it answers; it and all before it are counted.
    #[serde(rename = "n")]
    pub acknowledged_report: Option<u64>,
    /// The share of each tenant that is not admitted completely. `None`: the
    /// core has started to count, and does not know them yet.
    #[serde(rename = "s")]
    pub shares: Option<Vec<AdmissionShare>>,
}

/// The share of a tenant's requests that edges admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionShare {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// In thousandths.
    #[serde(rename = "s")]
    pub per_mille: u16,
}

/// All requests, as an [`AdmissionShare`].
pub const ALL_PER_MILLE: u16 = 1000;

/// The quota of one tenant over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once on top of that.
    pub burst: f64,
}
