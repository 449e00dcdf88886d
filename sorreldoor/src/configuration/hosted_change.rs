//! A `hosted` part with some items set and others deleted: only what is set
//! is read, and the result is checked like a whole one.

use super::hosted::{Hosted, Route, Service};
use super::hosted_parse::{self as parse, Item};
use super::Site;
use crate::json::{join, Faults, Value};
use simd_json::prelude::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Items of one list that are set, each replaced or added, and the names of
/// those that are deleted; what is in both is set.
#[derive(Default)]
pub struct ListChange<'v> {
    pub set: Vec<&'v Value>,
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

    fn items(&self, key: &str, f: &mut Faults) -> Vec<Item<'v>> {
        let at = |n: usize| join("hosted", &format!("{key}[{n}]"));
        let all = self.set.iter().enumerate();
        all.filter_map(|(n, v)| Item::of(v, at(n), f)).collect()
    }

    fn is_empty(&self) -> bool {
        self.set.is_empty() && self.deleted.is_empty()
    }
}

/// A change of the `hosted` part.
#[derive(Default)]
pub struct HostedChange<'v> {
    /// The part without its lists; none where it stays as it is.
    pub rest: Option<&'v Value>,
    pub services: ListChange<'v>,
    pub routes: ListChange<'v>,
}

impl HostedChange<'_> {
    /// The part as changed.
    ///
    /// # Errors
    /// Every fault of the result, under its path.
    pub fn apply(&self, old: &Hosted, site: &Site) -> Result<Hosted, Vec<String>> {
        let mut f = Faults::default();
        let services = self.services(old, &mut f);
        let index = by_name(&services);
        let routes = self.routes(old, &services, &index, site, &mut f);
        let by_host = match same_places(&old.routes, &routes) {
            true => old.by_host.clone(),
            false => parse::by_host(&routes, &mut f),
        };
        let top = self.rest.map(|r| Item::of(r, "hosted".into(), &mut f));
        let limits = top
            .flatten()
            .map_or(old.limits, |i| parse::limits_of(&i, &mut f));
        let hosted = Hosted {
            routes,
            services,
            limits,
            by_host,
        };
        if f.is_empty() {
            Ok(hosted)
        } else {
            Err(f.into_list())
        }
    }

    fn services(&self, old: &Hosted, f: &mut Faults) -> Vec<Service> {
        let items = self.services.items("services", f);
        let new = items.iter().map(|i| parse::service(i, f)).collect();
        let gone = &self.services.deleted;
        merged(&old.services, new, |s| &s.name, gone)
    }

    fn routes(
        &self,
        old: &Hosted,
        services: &[Service],
        index: &HashMap<&str, u16>,
        site: &Site,
        f: &mut Faults,
    ) -> Vec<Arc<Route>> {
        let items = self.routes.items("routes", f);
        let new = items.iter().map(|i| parse::route(i, index, site, f));
        let new: Vec<Arc<Route>> = new.map(Arc::new).collect();
        let set: HashSet<String> = new.iter().map(|r| r.name.clone()).collect();
        let mut all = merged(&old.routes, new, |r| &r.name, &self.routes.deleted);
        if !same_names(&old.services, services) {
            let kept = all.iter_mut().filter(|r| !set.contains(&r.name));
            kept.for_each(|r| renumber(r, &old.services, index, f));
        }
        all
    }

    /// Whether nothing would change.
    pub fn is_empty(&self) -> bool {
        self.rest.is_none() && self.services.is_empty() && self.routes.is_empty()
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

/// Whether each route is found at the place where it was.
fn same_places(a: &[Arc<Route>], b: &[Arc<Route>]) -> bool {
    let same = |a: &Arc<Route>, b: &Arc<Route>| {
        Arc::ptr_eq(a, b) || (a.host == b.host && a.prefix == b.prefix)
    };
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b))
}

/// The old items with new ones in place of those of their name, and the rest
/// of the new ones after them.
fn merged<T: Clone>(
    old: &[T],
    new: Vec<T>,
    name: impl Fn(&T) -> &String,
    deleted: &HashSet<&str>,
) -> Vec<T> {
    let mut at: HashMap<String, usize> = HashMap::new();
    for (i, item) in new.iter().enumerate() {
        at.insert(name(item).clone(), i);
    }
    let mut placed = vec![false; new.len()];
    let mut out = Vec::with_capacity(old.len() + new.len());
    for item in old {
        match at.get(name(item)) {
            Some(i) => {
                placed[*i] = true;
                out.push(new[*i].clone());
            }
            None if deleted.contains(name(item).as_str()) => {}
            None => out.push(item.clone()),
        }
    }
    let rest = new.into_iter().zip(placed).filter(|(_, placed)| !placed);
    out.extend(rest.map(|(item, _)| item));
    out
}

/// Services of a route that stays, by their new indices.
fn renumber(r: &mut Arc<Route>, old: &[Service], index: &HashMap<&str, u16>, f: &mut Faults) {
    let mut split = Vec::with_capacity(r.split.len());
    for (service, weight) in &r.split {
        let name = old.get(usize::from(*service)).map_or("", |s| &s.name);
        match index.get(name) {
            Some(i) => split.push((*i, *weight)),
            None => f.add(
                &format!("hosted.routes.{}.service", r.name),
                format!("there is no service {name:?}"),
            ),
        }
    }
    if split != r.split {
        Arc::make_mut(r).split = split;
    }
}
