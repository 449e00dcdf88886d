//! Authentication: in whose name a request runs, by its API key and the
//! configuration in force.

use crate::configuration::hosted::{Hosted, Route};
use crate::configuration::tenants::{ApiKey, Tenant};
use crate::invariants::{broken, Invariant};
use std::sync::Arc;

/// Whom a request runs for.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum Caller {
    /// Nobody in particular: the route is public, or there are no tenants.
    #[default]
    Anonymous,
    /// The tenant that holds the request's key.
    Tenant(Arc<Tenant>),
    /// The route needs a key, and no tenant holds the one sent, if any was.
    Unauthenticated,
}

impl Caller {
    /// Authenticates a request on a route.
    pub fn authenticate(hosted: &Hosted, route: &Route, key: Option<&ApiKey>) -> Caller {
        if !hosted.tenants.required() {
            return Caller::Anonymous;
        }
        let tenant = key.and_then(|key| hosted.tenants.holder_of(key));
        match tenant {
            Some(tenant) => Caller::Tenant(tenant.clone()),
            None if route.public || broken(Invariant::Authenticated) => Caller::Anonymous,
            None => Caller::Unauthenticated,
        }
    }

    /// The tenant, if there is one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Caller::Tenant(tenant) => Some(tenant),
            Caller::Anonymous | Caller::Unauthenticated => None,
        }
    }

    /// The only regions that may serve it; empty: all.
    pub fn homes(&self) -> &[u8] {
        self.tenant().map_or(&[], |tenant| &tenant.homes)
    }
}
