//! The core's part: what all edges admit, a token bucket for each tenant, and
//! the shares at which its requests are admitted.

use super::{AdmissionShare, Quota, TenantId, TenantUsage, ALL_PER_MILLE};
use crate::types::{Millis, NodeId};
use std::collections::{BTreeMap, HashMap};

/// Time constants of the demand's moving averages, in seconds: the first
/// notices a rise, the second outlasts the moment in which a core that is cut
/// off hears less, and does not know yet why. The higher one counts.
const DEMAND_WINDOWS_S: [f64; 2] = [0.2, 0.7];
/// A bucket's tokens are given out over so many seconds.
const SPEND_OVER_S: f64 = 1.0;
/// An edge that was heard of within this time may still spend.
const EDGE_MEMORY_MS: Millis = 30_000;
/// A tenant whose bucket is fuller than this is not limited: the demand of a
/// small one is a matter of chance.
const LIMITED_BELOW: f64 = 0.5;
/// Tokens that every bucket holds beside the burst: requests come by chance, and
/// a quota of a few a second would be rejected for no more than that.
const CHANCE_TOKENS: f64 = 4.0;
/// Tokens that a bucket begins with at most, as nobody knows what was spent
/// before.
const INITIAL_TOKENS: f64 = 4.0;
/// A ledger that has counted for less than this knows too little to tell edges
/// anything; they keep to what they were told before.
const WARM_UP_MS: Millis = 1000;
/// A core whose totals came within this time is connected. Cores send theirs
/// more often, changed or not.
const CORE_TIMEOUT_MS: Millis = 250;
/// The part of each quota that is given out: some reports are on their way, and
/// some are lost with a connection.
const QUOTA_MARGIN: f64 = 0.97;

/// The token bucket of one tenant, and how much it asks for.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Below 0: admitted beyond the quota, and still to be paid off.
    tokens: f64,
    /// Requests a second, over each of the windows.
    demand: [f64; 2],
    updated_at: Millis,
}

/// What is known of another core's edges.
#[derive(Clone, Debug, Default)]
struct Peer {
    totals: HashMap<TenantId, TenantUsage>,
    heard_at: Millis,
}

/// What a core knows of the use of all quotas.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    quotas: HashMap<TenantId, Quota>,
    buckets: HashMap<TenantId, Bucket>,
    /// What edges of this core have reported since it started.
    totals: BTreeMap<TenantId, TenantUsage>,
    /// Tenants whose totals the other cores do not have yet.
    unreported: BTreeMap<TenantId, ()>,
    /// Each other core that has sent totals.
    peers: BTreeMap<NodeId, Peer>,
    /// When each edge was heard of last, by its name.
    edges: BTreeMap<String, Millis>,
    /// The part of all edges that are heard of now.
    heard_part: f64,
    /// When it first counted anything.
    counting_since: Option<Millis>,
    /// The shares that were announced last.
    announced: Vec<AdmissionShare>,
}

impl UsageLedger {
    /// A ledger without quotas; everything is admitted.
    #[must_use]
    pub fn new() -> UsageLedger {
        UsageLedger {
            heard_part: 1.0,
            ..UsageLedger::default()
        }
    }

    /// Takes the quotas of a configuration.
    pub fn set_quotas(&mut self, quotas: impl Iterator<Item = (TenantId, Quota)>) {
        self.quotas = quotas.collect();
        let quotas = &self.quotas;
        self.buckets.retain(|tenant, _| quotas.contains_key(tenant));
        self.totals.retain(|tenant, _| quotas.contains_key(tenant));
    }

    /// Whether another core is connected, and tells what its edges use.
    #[must_use]
    pub fn is_connected_to(&self, core: NodeId, now: Millis) -> bool {
        let peer = self.peers.get(&core);
        peer.is_some_and(|peer| now <= peer.heard_at + CORE_TIMEOUT_MS)
    }

    /// Whether there are any quotas to count for.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Takes note of the edges that are heard of now, each once by its name:
    /// those of this core and of the cores that [`UsageLedger::is_connected_to`].
    pub fn set_connected_edges<'n>(&mut self, heard: impl Iterator<Item = &'n str>, now: Millis) {
        let mut count = 0;
        for name in heard {
            count += 1;
            match self.edges.get_mut(name) {
                Some(last) => *last = now,
                None => {
                    self.edges.insert(name.to_string(), now);
                }
            }
        }
        self.edges
            .retain(|_, last| now.saturating_sub(*last) < EDGE_MEMORY_MS);
        self.heard_part = f64::from(count) / self.edges.len().max(1) as f64;
    }

    /// Counts what an edge has reported to this core.
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
            self.unreported.insert(row.tenant, ());
            self.count(row, now);
        }
    }

    /// The totals that have changed since the last call, for all other cores;
    /// to be sent even if there are none, as a sign of life.
    pub fn take_changed_totals(&mut self) -> Vec<TenantUsage> {
        let changed = std::mem::take(&mut self.unreported);
        let totals = changed.keys().filter_map(|tenant| self.totals.get(tenant));
        totals.copied().collect()
    }

    /// Counts what another core's totals have grown by. Its first totals say
    /// nothing of when they were spent, and are only remembered.
    pub fn record_peer_totals(&mut self, core: NodeId, totals: &[TenantUsage], now: Millis) {
        self.counting_since.get_or_insert(now);
        self.peers.entry(core).or_default().heard_at = now;
        for row in totals {
            let peer = self.peers.entry(core).or_default();
            let last = peer.totals.insert(row.tenant, *row);
            let grown = match last {
                Some(last) if last.admitted <= row.admitted => TenantUsage {
                    tenant: row.tenant,
                    requested: row.requested.saturating_sub(last.requested),
                    admitted: row.admitted - last.admitted,
                },
                // it has started again
                Some(_) => *row,
                None => continue,
            };
            self.count(&grown, now);
        }
    }

    fn count(&mut self, usage: &TenantUsage, now: Millis) {
        if let Some(bucket) = self.refilled(usage.tenant, now) {
            bucket.tokens -= usage.admitted as f64;
            for (demand, window_s) in bucket.demand.iter_mut().zip(DEMAND_WINDOWS_S) {
                *demand += usage.requested as f64 / window_s;
            }
        }
    }

    /// The bucket of a tenant as of now; none if it has no quota.
    fn refilled(&mut self, tenant: TenantId, now: Millis) -> Option<&mut Bucket> {
        let quota = self.spendable(tenant)?;
        let bucket = self.buckets.entry(tenant).or_insert(Bucket {
            tokens: quota.burst.min(INITIAL_TOKENS),
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

    /// The part of a quota that the edges heard of may spend.
    fn spendable(&self, tenant: TenantId) -> Option<Quota> {
        let quota = self.quotas.get(&tenant)?;
        let part = self.heard_part * QUOTA_MARGIN;
        Some(Quota {
            rate_per_s: quota.rate_per_s * part,
            burst: (quota.burst + CHANCE_TOKENS) * part,
        })
    }

    /// The answer to an edge's report: the shares, unless this ledger has not
    /// counted for long enough to know them.
    pub fn current_shares(&mut self, now: Millis) -> Option<Vec<AdmissionShare>> {
        self.is_warm(now).then(|| self.compute_shares(now))
    }

    fn is_warm(&self, now: Millis) -> bool {
        self.counting_since
            .is_some_and(|since| now >= since + WARM_UP_MS)
    }

    /// The shares to announce to all edges, also to those that report nothing;
    /// `None` while no tenant is limited.
    pub fn announcement(&mut self, now: Millis) -> Option<Vec<AdmissionShare>> {
        let shares = self.current_shares(now)?;
        let needed = !shares.is_empty() || !self.announced.is_empty();
        self.announced.clone_from(&shares);
        needed.then_some(shares)
    }

    /// The shares of all tenants that ask for more than they may have now.
    fn compute_shares(&mut self, now: Millis) -> Vec<AdmissionShare> {
        let tenants: Vec<TenantId> = self.buckets.keys().copied().collect();
        let mut shares = Vec::new();
        for tenant in tenants {
            let Some(quota) = self.spendable(tenant) else {
                continue;
            };
            let Some(bucket) = self.refilled(tenant, now) else {
                continue;
            };
            let available = (bucket.tokens / SPEND_OVER_S + quota.rate_per_s).max(0.0);
            let limited = bucket.tokens < quota.burst * LIMITED_BELOW;
            let demand = bucket.demand[0].max(bucket.demand[1]);
            if limited && demand > available {
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
