//! Incremental changes of the `hosted` section: only the items that are set
//! are parsed, and the result is validated like a complete section.

use super::hosted::{Hosted, Route, Service};
use super::hosted_parse::{self as parse, Item};
use super::tenants::{Tenant, Tenants};
use super::Site;
use crate::json::{join, Faults, Value};
use simd_json::prelude::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// A change of one list: items that are replaced or added, and names of items
/// that are deleted. A name in both is set.
#[derive(Default)]
pub struct ListChange<'v> {
    /// Complete items; each replaces the one of its name or is added.
    pub set: Vec<&'v Value>,
    /// Names of items to delete.
    pub deleted: HashSet<&'v str>,
}

impl<'v> ListChange<'v> {
    /// The change of list `key` from objects that hold one list for each key.
    pub fn of(set: &'v Value, deleted: &'v Value, key: &str) -> ListChange<'v> {
        let list = |v: &'v Value| v.get(key).and_then(|l| l.as_array()).into_iter().flatten();
        ListChange {
            set: list(set).collect(),
            deleted: list(deleted).filter_map(|n| n.as_str()).collect(),
        }
    }

    fn items(&self, key: &str, faults: &mut Faults) -> Vec<Item<'v>> {
        let at = |n: usize| join("hosted", &format!("{key}[{n}]"));
        let all = self.set.iter().enumerate();
        all.filter_map(|(n, v)| Item::of(v, at(n), faults))
            .collect()
    }

    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.deleted.is_empty()
    }
}

/// A change of the `hosted` section.
#[derive(Default)]
pub struct HostedChange<'v> {
    /// The section without its lists; `None` if that does not change.
    pub rest: Option<&'v Value>,
    /// Changes of the section's list of services.
    pub services: ListChange<'v>,
    /// Changes of the section's list of routes.
    pub routes: ListChange<'v>,
    /// Changes of the section's list of tenants.
    pub tenants: ListChange<'v>,
    /// Whether the changed section has a list of tenants.
    pub has_tenants: bool,
}

impl HostedChange<'_> {
    /// The changed section.
    ///
    /// # Errors
    /// Every fault of the result, under its path.
    pub fn apply(&self, old: &Hosted, site: &Site) -> Result<Hosted, Vec<String>> {
        let mut faults = Faults::default();
        let services = self.services(old, &mut faults);
        let index = by_name(&services);
        let routes = self.routes(old, &services, &index, site, &mut faults);
        let by_host = match same_prefixes(&old.routes, &routes) {
            true => old.by_host.clone(),
            false => parse::by_host(&routes, &mut faults),
        };
        let top = self.rest.map(|r| Item::of(r, "hosted".into(), &mut faults));
        let tenants = self.tenants(&old.tenants, site, &mut faults);
        let limits = top
            .flatten()
            .map_or(old.limits, |i| parse::limits_of(&i, &mut faults));
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
            retained.for_each(|r| renumber(r, &old.services, index, faults));
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
        parse::tenants_of(all, self.has_tenants, faults)
    }

    /// Whether nothing of `old` would change.
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

/// Whether all routes match the same requests as before, at the same indices.
fn same_prefixes(a: &[Arc<Route>], b: &[Arc<Route>]) -> bool {
    let same = |a: &Arc<Route>, b: &Arc<Route>| {
        Arc::ptr_eq(a, b) || (a.host == b.host && a.prefix == b.prefix)
    };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b))
}

/// The old items, each replaced by a new one of its name, then the other new
/// items. Old items named in `deleted` are removed.
fn merged<T: Clone>(
    old: &[T],
    new: Vec<T>,
    name: impl Fn(&T) -> &str,
    deleted: &HashSet<&str>,
) -> Vec<T> {
    let mut at: HashMap<String, usize> = HashMap::new();
    for (i, item) in new.iter().enumerate() {
        at.insert(name(item).to_string(), i);
    }
    let mut placed = vec![false; new.len()];
    let mut out = Vec::with_capacity(old.len() + new.len());
    for item in old {
        match at.get(name(item)) {
            Some(i) => {
                placed[*i] = true;
                out.push(new[*i].clone());
            }
            None if deleted.contains(name(item)) => {}
            None => out.push(item.clone()),
        }
    }
    let rest = new.into_iter().zip(placed).filter(|(_, placed)| !placed);
    out.extend(rest.map(|(item, _)| item));
    out
}

/// Updates the indices of services in a route that has not changed itself.
fn renumber(r: &mut Arc<Route>, old: &[Service], index: &HashMap<&str, u16>, faults: &mut Faults) {
    let mut split = Vec::with_capacity(r.split.len());
    for (service, weight) in &r.split {
        let name = old.get(usize::from(*service)).map_or("", |s| &s.name);
        match index.get(name) {
            Some(i) => split.push((*i, *weight)),
            None => faults.add(
                &format!("hosted.routes.{}.service", r.name),
                format!("there is no service {name:?}"),
            ),
        }
    }
    if split != r.split {
        Arc::make_mut(r).split = split;
    }
}
