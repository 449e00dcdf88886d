//! Tenants: customers that may send requests on hosted routes, with their API
//! keys, priority, quota and home regions.

use crate::quota::{Quota, TenantId};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::fmt;
use std::hash::Hasher;
use std::sync::Arc;

/// An API key. It is a secret, so `Debug` does not show it.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// A key in the form that clients send.
    #[must_use]
    pub fn new(key: &str) -> ApiKey {
        ApiKey(key.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// A customer whose clients authenticate by API keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Unique among the tenants; sent to workers with each request.
    pub name: Arc<str>,
    /// API keys of its clients; empty: it cannot send requests.
    pub keys: Vec<ApiKey>,
    /// The priority class, compared before that of the route; 0 is served first.
    pub priority: u8,
    /// Requests per second over all nodes; 0: no limit.
    pub rate_per_s: f64,
    /// Requests that it may send at once beyond the rate.
    pub burst: f64,
    /// Indices of the regions that may serve it; empty: all.
    pub homes: Vec<u8>,
}

impl Tenant {
    /// A hash of the name, equal on all nodes.
    #[must_use]
    pub fn id(&self) -> TenantId {
        let mut hasher = SipHasher13::new();
        hasher.write(self.name.as_bytes());
        hasher.finish()
    }

    /// Its quota; `None` if its rate is not limited.
    #[must_use]
    pub fn quota(&self) -> Option<Quota> {
        let quota = Quota {
            rate_per_s: self.rate_per_s,
            burst: self.burst,
        };
        Some(quota).filter(|quota| quota.rate_per_s > 0.0)
    }
}

/// All tenants of a configuration, indexed by API key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    all: Vec<Arc<Tenant>>,
    by_key: HashMap<ApiKey, u16>,
    required: bool,
}

/// Two tenants with the same key, as indices in the operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedKey {
    /// The tenant that is listed first.
    pub first: usize,
    /// The tenant that is listed later.
    pub second: usize,
}

impl Tenants {
    /// Indexes tenants, given in the operator's order. `required`: requests need a
    /// key unless their route is public; so where the configuration has a list of
    /// tenants, even an empty one.
    ///
    /// # Errors
    /// Every pair of tenants that share a key.
    pub fn new(all: Vec<Arc<Tenant>>, required: bool) -> Result<Tenants, Vec<SharedKey>> {
        let mut by_key: HashMap<ApiKey, u16> = HashMap::new();
        let mut shared = Vec::new();
        for (second, tenant) in all.iter().enumerate() {
            for key in &tenant.keys {
                let index = second.min(usize::from(u16::MAX)) as u16;
                let first = usize::from(*by_key.entry(key.clone()).or_insert(index));
                if first != second {
                    shared.push(SharedKey { first, second });
                }
            }
        }
        match shared.is_empty() {
            true => Ok(Tenants {
                all,
                by_key,
                required,
            }),
            false => Err(shared),
        }
    }

    /// All tenants in the operator's order.
    #[must_use]
    pub fn all(&self) -> &[Arc<Tenant>] {
        &self.all
    }

    /// Whether requests need a key, unless their route is public.
    #[must_use]
    pub fn required(&self) -> bool {
        self.required
    }

    /// The tenant with this key.
    #[must_use]
    pub fn holder_of(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        let index = self.by_key.get(key)?;
        self.all.get(usize::from(*index))
    }
}
