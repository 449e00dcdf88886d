//! Quota accounting at a core: sums the usage of all edges in a token bucket for
//! each tenant, and computes the shares of the tenants that exceed their quota.

use super::{AdmissionShare, Quota, TenantId, TenantUsage, ALL_PER_MILLE};
use crate::types::{Millis, NodeId};
use std::collections::{BTreeMap, HashMap};

/// Time constants of the demand's two moving averages, in seconds; the higher
/// average counts. The short one follows a rise quickly. The long one keeps the
/// demand up while a core that was just partitioned off gets fewer reports and
/// has not yet timed out the other cores.
const DEMAND_WINDOWS_S: [f64; 2] = [0.2, 0.7];
/// Seconds over which the tokens of a bucket are spread when shares are computed.
const TOKEN_SPREAD_S: f64 = 1.0;
/// Time after which an edge that is not connected to any reachable core no longer
/// counts as one that may admit requests.
const EDGE_TIMEOUT_MS: Millis = 30_000;
/// Part of the burst above which a bucket does not limit its tenant, since the
/// measured demand of a small tenant fluctuates.
const LIMITED_BELOW_PART: f64 = 0.5;
/// Tokens that every bucket holds in addition to the burst, so that random arrivals
/// within a quota of a few requests per second are not rejected.
const FLUCTUATION_TOKENS: f64 = 4.0;
/// Maximum initial tokens of a bucket; low, because earlier usage is unknown.
const MAX_INITIAL_TOKENS: f64 = 4.0;
/// Time for which a new tracker counts before it sends shares; until then edges
/// keep the shares that they have.
const WARM_UP_MS: Millis = 1000;
/// Time without totals of another core after which it counts as disconnected.
/// Cores send totals more often, changed or not.
const PEER_TIMEOUT_MS: Millis = 250;
/// The part of each quota that is granted; the rest allows for reports that are
/// in flight or lost with a connection.
const GRANTED_PART: f64 = 0.97;

/// The token bucket of one tenant, and its demand.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Negative after admissions beyond the quota, until refills pay them off.
    tokens: f64,
    /// Requests per second, averaged over each of `DEMAND_WINDOWS_S`.
    demand: [f64; 2],
    updated_at: Millis,
}

/// The totals of another core, as last received.
#[derive(Clone, Debug, Default)]
struct Peer {
    totals: HashMap<TenantId, TenantUsage>,
    received_at: Millis,
}

/// The usage of all quotas as known to one core. Its controller passes it
/// the reports of edges and the totals of other cores, and sends the shares.
#[derive(Clone, Debug, Default)]
pub struct UsageTracker {
    quotas: HashMap<TenantId, Quota>,
    buckets: HashMap<TenantId, Bucket>,
    /// Usage reported by edges to this core since it started.
    totals: BTreeMap<TenantId, TenantUsage>,
    /// Tenants whose totals have changed since the last `take_changed_totals`.
    changed: BTreeMap<TenantId, ()>,
    peers: BTreeMap<NodeId, Peer>,
    /// When each edge, by its name, was last connected to a reachable core.
    edges: BTreeMap<String, Millis>,
    /// The part of `edges` that is connected now.
    connected_part: f64,
    /// When the first usage was counted.
    counting_since: Option<Millis>,
    /// The shares of the last announcement.
    announced: Vec<AdmissionShare>,
}

impl UsageTracker {
    /// A tracker without quotas; everything is admitted.
    #[must_use]
    pub fn new() -> UsageTracker {
        UsageTracker {
            connected_part: 1.0,
            ..UsageTracker::default()
        }
    }

    /// Replaces the quotas by those of a new configuration.
    pub fn set_quotas(&mut self, quotas: impl Iterator<Item = (TenantId, Quota)>) {
        self.quotas = quotas.collect();
        let quotas = &self.quotas;
        self.buckets.retain(|tenant, _| quotas.contains_key(tenant));
        self.totals.retain(|tenant, _| quotas.contains_key(tenant));
    }

    /// Whether another core has sent its totals recently.
    #[must_use]
    pub fn is_connected_to(&self, core: NodeId, now: Millis) -> bool {
        let peer = self.peers.get(&core);
        peer.is_some_and(|peer| now <= peer.received_at + PEER_TIMEOUT_MS)
    }

    /// Whether any tenant has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Updates the names of the connected edges, each given once: those of this core
    /// and of the cores to which it [`UsageTracker::is_connected_to`].
    pub fn set_connected_edges<'n>(
        &mut self,
        connected: impl Iterator<Item = &'n str>,
        now: Millis,
    ) {
        let mut count = 0;
        for name in connected {
            count += 1;
            match self.edges.get_mut(name) {
                Some(connected_at) => *connected_at = now,
                None => {
                    self.edges.insert(name.to_string(), now);
                }
            }
        }
        self.edges
            .retain(|_, connected_at| now.saturating_sub(*connected_at) < EDGE_TIMEOUT_MS);
        self.connected_part = f64::from(count) / self.edges.len().max(1) as f64;
    }

    /// Counts the usage of an edge's report to this core.
    pub fn record(&mut self, usage: &[TenantUsage], now: Millis) {
        self.counting_since.get_or_insert(now);
        for row in usage {
            if !self.quotas.contains_key(&row.tenant) {
                continue;
            }
            let total = self.totals.entry(row.tenant).or_insert(TenantUsage {
                tenant: row.tenant,
                ..TenantUsage::default()
            });
            total.requested += row.requested;
            total.admitted += row.admitted;
            self.changed.insert(row.tenant, ());
            self.count(row, now);
        }
    }

    /// The totals that have changed since the last call, for all other cores. An
    /// empty list must be sent too, as a heartbeat.
    pub fn take_changed_totals(&mut self) -> Vec<TenantUsage> {
        let changed = std::mem::take(&mut self.changed);
        let totals = changed.keys().filter_map(|tenant| self.totals.get(tenant));
        totals.copied().collect()
    }

    /// Counts the growth of another core's totals. Its first totals are stored but
    /// not counted, since they may be of any age.
    pub fn record_peer_totals(&mut self, core: NodeId, totals: &[TenantUsage], now: Millis) {
        self.counting_since.get_or_insert(now);
        self.peers.entry(core).or_default().received_at = now;
        for row in totals {
            let peer = self.peers.entry(core).or_default();
            let last = peer.totals.insert(row.tenant, *row);
            let growth = match last {
                Some(last) if last.admitted <= row.admitted => TenantUsage {
                    tenant: row.tenant,
                    requested: row.requested.saturating_sub(last.requested),
                    admitted: row.admitted - last.admitted,
                },
                // the core has restarted and counts from 0
                Some(_) => *row,
                None => continue,
            };
            self.count(&growth, now);
        }
    }

    fn count(&mut self, usage: &TenantUsage, now: Millis) {
        if let Some(bucket) = self.refilled_bucket(usage.tenant, now) {
            bucket.tokens -= usage.admitted as f64;
            for (demand, window_s) in bucket.demand.iter_mut().zip(DEMAND_WINDOWS_S) {
                *demand += usage.requested as f64 / window_s;
            }
        }
    }

    /// The bucket of a tenant, refilled up to `now`; `None` if it has no quota.
    fn refilled_bucket(&mut self, tenant: TenantId, now: Millis) -> Option<&mut Bucket> {
        let quota = self.connected_quota(tenant)?;
        let bucket = self.buckets.entry(tenant).or_insert(Bucket {
            tokens: quota.burst.min(MAX_INITIAL_TOKENS),
            demand: [0.0; 2],
            updated_at: now,
        });
        let elapsed = now.saturating_sub(bucket.updated_at) as f64 / 1000.0;
        bucket.tokens = (bucket.tokens + quota.rate_per_s * elapsed).min(quota.burst);
        for (demand, window_s) in bucket.demand.iter_mut().zip(DEMAND_WINDOWS_S) {
            *demand *= (-elapsed / window_s).exp();
        }
        bucket.updated_at = now;
        Some(bucket)
    }

    /// The part of a tenant's quota that the connected edges may use.
    fn connected_quota(&self, tenant: TenantId) -> Option<Quota> {
        let quota = self.quotas.get(&tenant)?;
        let part = self.connected_part * GRANTED_PART;
        Some(Quota {
            rate_per_s: quota.rate_per_s * part,
            burst: (quota.burst + FLUCTUATION_TOKENS) * part,
        })
    }

    /// The shares of the limited tenants; `None` while this tracker has not counted
    /// for long enough.
    pub fn current_shares(&mut self, now: Millis) -> Option<Vec<AdmissionShare>> {
        self.is_warm(now).then(|| self.compute_shares(now))
    }

    fn is_warm(&self, now: Millis) -> bool {
        self.counting_since
            .is_some_and(|since| now >= since + WARM_UP_MS)
    }

    /// The shares to announce to all edges, which may have nothing to report; `None`
    /// if no tenant is limited now or was at the last announcement.
    pub fn announcement(&mut self, now: Millis) -> Option<Vec<AdmissionShare>> {
        let shares = self.current_shares(now)?;
        let is_needed = !shares.is_empty() || !self.announced.is_empty();
        self.announced.clone_from(&shares);
        is_needed.then_some(shares)
    }

    /// The shares of all tenants whose demand exceeds what their bucket allows.
    fn compute_shares(&mut self, now: Millis) -> Vec<AdmissionShare> {
        let tenants: Vec<TenantId> = self.buckets.keys().copied().collect();
        let mut shares = Vec::new();
        for tenant in tenants {
            let Some(quota) = self.connected_quota(tenant) else {
                continue;
            };
            let Some(bucket) = self.refilled_bucket(tenant, now) else {
                continue;
            };
            let available = (bucket.tokens / TOKEN_SPREAD_S + quota.rate_per_s).max(0.0);
            let is_limited = bucket.tokens < quota.burst * LIMITED_BELOW_PART;
            let demand = bucket.demand[0].max(bucket.demand[1]);
            if is_limited && demand > available {
                let per_mille = available / demand * f64::from(ALL_PER_MILLE);
                shares.push(AdmissionShare {
                    tenant,
                    per_mille: per_mille as u16,
                });
            }
        }
        shares
    }
}
