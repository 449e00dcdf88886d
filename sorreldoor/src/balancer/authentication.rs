//! Authentication: finds the tenant of a request by its API key in the current
//! configuration.

use crate::configuration::hosted::{Hosted, Route};
use crate::configuration::tenants::{ApiKey, Tenant};
use crate::invariants::{is_disabled, Invariant};
use std::sync::Arc;

/// The result of authentication.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum Caller {
    /// No tenant: none is configured, or the route is public and no tenant has the
    /// request's key.
    #[default]
    Anonymous,
    /// The tenant that has the request's key.
    Tenant(Arc<Tenant>),
    /// The route requires a key, and the request has none or an unknown one.
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
            None if route.public || is_disabled(Invariant::Authenticated) => Caller::Anonymous,
            None => Caller::Unauthenticated,
        }
    }

    /// The authenticated tenant, if any.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Caller::Tenant(tenant) => Some(tenant),
            Caller::Anonymous | Caller::Unauthenticated => None,
        }
    }

    /// The regions that may serve the caller's requests; empty: all.
    pub fn homes(&self) -> &[u8] {
        self.tenant().map_or(&[], |tenant| &tenant.homes)
    }
}
