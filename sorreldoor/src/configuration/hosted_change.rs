//! Incremental changes of the `hosted` section: only items that are set are
//! parsed, and the result is validated like a complete section.

use super::hosted::{Hosted, Route, Service};
use super::hosted_parse::{self as parse, Item};
use super::tenants::{Tenant, Tenants};
use super::Site;
use crate::json::{join, Faults, Value};
use simd_json::prelude::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// A change of one list of named items. An item that is both set and deleted is
/// set.
#[derive(Default)]
pub struct ListChange<'v> {
    /// Complete items; each replaces the item of the same name or is added.
    pub set: Vec<&'v Value>,
    /// Names of items to delete.
    pub deleted: HashSet<&'v str>,
}

impl<'v> ListChange<'v> {
    /// The change of the list `key`, from two objects: `set` maps keys to lists of
    /// items, `deleted` maps keys to lists of names.
    pub fn of(set: &'v Value, deleted: &'v Value, key: &str) -> ListChange<'v> {
        let list = |value: &'v Value| {
            value
                .get(key)
                .and_then(|list| list.as_array())
                .into_iter()
                .flatten()
        };
        ListChange {
            set: list(set).collect(),
            deleted: list(deleted).filter_map(|name| name.as_str()).collect(),
        }
    }

    fn items(&self, key: &str, faults: &mut Faults) -> Vec<Item<'v>> {
        let path = |index: usize| join("hosted", &format!("{key}[{index}]"));
        let all = self.set.iter().enumerate();
        all.filter_map(|(index, value)| Item::of(value, path(index), faults))
            .collect()
    }

    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.deleted.is_empty()
    }
}

/// A change of the `hosted` section.
#[derive(Default)]
pub struct HostedChange<'v> {
    /// The new section without its lists; `None` if only lists change.
    pub rest: Option<&'v Value>,
    /// Changes of the services.
    pub services: ListChange<'v>,
    /// Changes of the routes.
    pub routes: ListChange<'v>,
    /// Changes of the tenants.
    pub tenants: ListChange<'v>,
    /// Whether the new section has a list of tenants.
    pub has_tenants: bool,
}

impl HostedChange<'_> {
    /// Applies the change to `old` and returns the new section.
    ///
    /// # Errors
    /// Every fault of the new section, as `path: what is wrong`.
    pub fn apply(&self, old: &Hosted, site: &Site) -> Result<Hosted, Vec<String>> {
        let mut faults = Faults::default();
        let services = self.services(old, &mut faults);
        let index = by_name(&services);
        let routes = self.routes(old, &services, &index, site, &mut faults);
        let by_host = match same_prefixes(&old.routes, &routes) {
            true => old.by_host.clone(),
            false => parse::by_host(&routes, &mut faults),
        };
        let section = self.rest.map(|r| Item::of(r, "hosted".into(), &mut faults));
        let tenants = self.tenants(&old.tenants, site, &mut faults);
        let limits = section
            .flatten()
            .map_or(old.limits, |i| parse::section_limits(&i, &mut faults));
        let hosted = Hosted {
            routes,
            services,
            limits,
            tenants,
            by_host,
        };
        if faults.is_empty() {
            Ok(hosted)
        } else {
            Err(faults.into_list())
        }
    }

    fn services(&self, old: &Hosted, faults: &mut Faults) -> Vec<Service> {
        let items = self.services.items("services", faults);
        let new = items.iter().map(|i| parse::service(i, faults)).collect();
        let deleted = &self.services.deleted;
        merged(&old.services, new, |s| &s.name, deleted)
    }

    fn routes(
        &self,
        old: &Hosted,
        services: &[Service],
        index: &HashMap<&str, u16>,
        site: &Site,
        faults: &mut Faults,
    ) -> Vec<Arc<Route>> {
        let items = self.routes.items("routes", faults);
        let new = items.iter().map(|i| parse::route(i, index, site, faults));
        let new: Vec<Arc<Route>> = new.map(Arc::new).collect();
        let set: HashSet<String> = new.iter().map(|r| r.name.clone()).collect();
        let mut all = merged(&old.routes, new, |r| &r.name, &self.routes.deleted);
        if !same_names(&old.services, services) {
            let retained = all.iter_mut().filter(|r| !set.contains(&r.name));
            retained.for_each(|r| update_service_indices(r, &old.services, index, faults));
        }
        all
    }

    fn tenants(&self, old: &Tenants, site: &Site, faults: &mut Faults) -> Tenants {
        if self.tenants.is_empty() && old.required() == self.has_tenants {
            return old.clone();
        }
        let items = self.tenants.items("tenants", faults);
        let new = items.iter().map(|i| parse::tenant(i, site, faults));
        let new: Vec<Arc<Tenant>> = new.map(Arc::new).collect();
        let deleted = &self.tenants.deleted;
        let all = merged(old.all(), new, |t| &*t.name, deleted);
        parse::index_tenants(all, self.has_tenants, faults)
    }

    /// Whether applying the change would leave `old` as it is.
    pub fn is_empty(&self, old: &Hosted) -> bool {
        self.rest.is_none()
            && self.services.is_empty()
            && self.routes.is_empty()
            && self.tenants.is_empty()
            && self.has_tenants == old.tenants.required()
    }
}

fn by_name(services: &[Service]) -> HashMap<&str, u16> {
    let all = services.iter().enumerate();
    all.map(|(i, s)| (s.name.as_str(), i.min(usize::from(u16::MAX)) as u16))
        .collect()
}

fn same_names(a: &[Service], b: &[Service]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| a.name == b.name)
}

/// Whether both lists have equal hosts and prefixes at every index, so that the
/// index by host stays valid.
fn same_prefixes(a: &[Arc<Route>], b: &[Arc<Route>]) -> bool {
    let same = |a: &Arc<Route>, b: &Arc<Route>| {
        Arc::ptr_eq(a, b) || (a.host == b.host && a.prefix == b.prefix)
    };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b))
}

/// The old items in their order, replaced by new items of the same name and
/// without those named in `deleted`, followed by the other new items.
fn merged<T: Clone>(
    old: &[T],
    new: Vec<T>,
    name: impl Fn(&T) -> &str,
    deleted: &HashSet<&str>,
) -> Vec<T> {
    let mut position_of: HashMap<String, usize> = HashMap::new();
    for (position, item) in new.iter().enumerate() {
        position_of.insert(name(item).to_string(), position);
    }
    let mut placed = vec![false; new.len()];
    let mut merged = Vec::with_capacity(old.len() + new.len());
    for item in old {
        match position_of.get(name(item)) {
            Some(position) => {
                placed[*position] = true;
                merged.push(new[*position].clone());
            }
            None if deleted.contains(name(item)) => {}
            None => merged.push(item.clone()),
        }
    }
    let rest = new.into_iter().zip(placed).filter(|(_, placed)| !placed);
    merged.extend(rest.map(|(item, _)| item));
    merged
}

/// Updates the service indices of a route that is kept while the list of services
/// changes; a service that no longer exists is a fault.
fn update_service_indices(
    route: &mut Arc<Route>,
    old: &[Service],
    index: &HashMap<&str, u16>,
    faults: &mut Faults,
) {
    let mut split = Vec::with_capacity(route.split.len());
    for (service, weight) in &route.split {
        let name = old.get(usize::from(*service)).map_or("", |s| &s.name);
        match index.get(name) {
            Some(new_index) => split.push((*new_index, *weight)),
            None => faults.add(
                &format!("hosted.routes.{}.service", route.name),
                format!("there is no service {name:?}"),
            ),
        }
    }
    if split != route.split {
        Arc::make_mut(route).split = split;
    }
}
