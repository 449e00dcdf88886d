//! The configuration document as it is replicated: the items of the `hosted`
//! lists one by one, each with the revision that last changed it, and the
//! rest as text. Clones share unchanged parts.

use super::item_list::{ItemList, ListDelta};
use super::named_items;
use crate::configuration::hosted::Hosted;
use crate::configuration::hosted_change::{HostedChange, ListChange};
use crate::configuration::Site;
use crate::invariants::{is_disabled, Invariant};
use crate::json::{self, Value};
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use std::fmt;
use std::sync::Arc;

/// The section of a document whose lists are stored item by item.
const HOSTED: &str = "hosted";
const ROUTES: &str = "routes";
const SERVICES: &str = "services";
const TENANTS: &str = "tenants";
/// The lists that are stored item by item, in the order they are validated.
const LISTS: [&str; 3] = [SERVICES, ROUTES, TENANTS];
/// The names and brackets of the section and of its lists in a document's text.
pub const LIST_NAMES_BYTES: usize = r#""hosted":,"routes":[],"services":[],"tenants":[],"#.len();

/// The document without the lists that are stored item by item, as canonical
/// JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentRest {
    /// The document without its `hosted` section.
    pub outer: Arc<str>,
    /// The `hosted` section without its lists; `None` if there is no section.
    pub hosted: Option<Arc<str>>,
}

impl Default for DocumentRest {
    fn default() -> DocumentRest {
        DocumentRest {
            outer: "{}".into(),
            hosted: None,
        }
    }
}

/// A configuration document that can compute its deltas between revisions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Document {
    rest: DocumentRest,
    rest_revision: u64,
    routes: ItemList,
    services: ItemList,
    /// Releases before protocol 6 stored them in `rest`.
    #[serde(default)]
    tenants: ItemList,
}

/// Sizes of a document's parts. Logs show them, and never the content, which
/// holds secrets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DocumentSummary {
    /// Items in the list `hosted.routes`.
    pub routes: usize,
    /// Items in the list `hosted.services`.
    pub services: usize,
    /// Items in the list `hosted.tenants`.
    pub tenants: usize,
    /// Length of the rest of the `hosted` section as JSON text.
    pub rest_bytes: usize,
}

impl fmt::Display for DocumentSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} routes, {} services, {} tenants, {} bytes of other settings",
            self.routes, self.services, self.tenants, self.rest_bytes
        )
    }
}

/// The difference between two revisions of a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// `None` where it has not changed.
    pub rest: Option<DocumentRest>,
    /// Changes of the list `hosted.services`.
    pub services: ListDelta,
    /// Changes of the list `hosted.routes`.
    pub routes: ListDelta,
    /// Changes of the list `hosted.tenants`.
    pub tenants: ListDelta,
}

impl DocumentDelta {
    /// The changed `hosted` section; `None` if nothing of it changes.
    ///
    /// # Errors
    /// Every fault of the result, under its path.
    pub fn hosted(&self, old: &Hosted, site: &Site) -> Result<Option<Hosted>, Vec<String>> {
        let rest = self.rest.as_ref().map(|r| &r.hosted);
        if rest.is_some_and(|hosted| hosted.is_none()) {
            return Ok(None);
        }
        let rest = rest.and_then(|h| h.as_deref()).map(json::parse_canonical);
        let services = self.services.values();
        let routes = self.routes.values();
        let tenants = self.tenants.values();
        let change = HostedChange {
            rest: rest.as_ref(),
            services: list_change(&services, &self.services),
            routes: list_change(&routes, &self.routes),
            tenants: list_change(&tenants, &self.tenants),
            has_tenants: self.tenants.present,
        };
        if change.is_empty(old) {
            return Ok(None);
        }
        change.apply(old, site).map(Some)
    }
}

fn list_change<'v>(set: &'v [Value], changes: &'v ListDelta) -> ListChange<'v> {
    ListChange {
        set: set.iter().collect(),
        deleted: changes.deleted.iter().map(|n| &**n).collect(),
    }
}

impl Document {
    /// Replaces the document by `value`. Equal parts keep their revision, all
    /// others get `revision`.
    pub fn replace(&mut self, value: &Value, revision: u64) {
        let hosted = value.get(HOSTED);
        self.set_rest(split_rest(value, hosted), revision);
        let list = |key| hosted.and_then(|h| h.get(key)).and_then(|l| l.as_array());
        self.services.replace(list(SERVICES), revision);
        self.routes.replace(list(ROUTES), revision);
        self.tenants.replace(list(TENANTS), revision);
    }

    fn set_rest(&mut self, rest: DocumentRest, revision: u64) {
        if rest != self.rest || self.rest_revision == 0 {
            self.rest = rest;
            self.rest_revision = revision;
        }
    }

    /// Sets and deletes items of the `hosted` lists, also of lists of named
    /// items that this release does not interpret; any other key of `set`
    /// replaces that of the `hosted` section.
    ///
    /// # Errors
    /// The change is malformed; the document may then be partly changed.
    pub fn change_items(&mut self, set: &Value, drop: &Value, revision: u64) -> Result<(), String> {
        let (Some(all), true) = (set.as_object(), drop.is_object()) else {
            return Err("set and drop must be objects".into());
        };
        let mut hosted = self.hosted_rest();
        let is_rest = |key: &str| !LISTS.contains(&key);
        for (key, value) in all.iter().filter(|(key, _)| is_rest(key)) {
            let items = named_items::with_items(hosted.get(key.as_str()), value);
            let _ = hosted.insert(key.as_str(), items.unwrap_or_else(|| value.clone()));
        }
        for (key, names) in drop.as_object().into_iter().flatten() {
            let remaining = named_items::without(hosted.get(key.as_str()), names, all.get(key));
            if let Some(remaining) = remaining.filter(|_| is_rest(key)) {
                let _ = hosted.insert(key.as_str(), remaining);
            }
        }
        for key in LISTS {
            let (set, drop) = (list_at(set, key)?, list_at(drop, key)?);
            self.list_mut(key).change(key, set, drop, revision)?;
        }
        self.remove_present_lists(&mut hosted);
        let rest = DocumentRest {
            outer: self.rest.outer.clone(),
            hosted: Some(json::canonical(&hosted).into()),
        };
        self.set_rest(rest, revision);
        Ok(())
    }

    /// Removes the keys of present lists from the rest of the `hosted` section, where
    /// null stands for an absent list; returns whether there was one.
    fn remove_present_lists(&self, hosted: &mut Value) -> bool {
        if is_disabled(Invariant::KeyWrittenOnce) {
            return false;
        }
        let mut removed = false;
        for (key, list) in self.lists() {
            removed |= list.present() && hosted.remove(key).is_ok_and(|old| old.is_some());
        }
        removed
    }

    /// The lists with their keys, in the order of the text.
    fn lists(&self) -> [(&'static str, &ItemList); 3] {
        [
            (ROUTES, &self.routes),
            (SERVICES, &self.services),
            (TENANTS, &self.tenants),
        ]
    }

    fn list_mut(&mut self, key: &str) -> &mut ItemList {
        match key {
            SERVICES => &mut self.services,
            ROUTES => &mut self.routes,
            _ => &mut self.tenants,
        }
    }

    /// Whether the `hosted` section has a list of tenants.
    pub fn has_tenants(&self) -> bool {
        self.tenants.present()
    }

    /// The `hosted` section without its lists.
    pub fn hosted_rest(&self) -> Value {
        json::parse_canonical(self.rest.hosted.as_deref().unwrap_or("{}"))
    }

    /// Sizes of the document's parts, for logs.
    pub fn summary(&self) -> DocumentSummary {
        DocumentSummary {
            routes: self.routes.len(),
            services: self.services.len(),
            tenants: self.tenants.len(),
            rest_bytes: self.rest.hosted.as_ref().map_or(0, |text| text.len()),
        }
    }

    /// The size of the content in bytes, which is limited: the items of the lists,
    /// each with its separator, and the rest. The text has at most
    /// `LIST_NAMES_BYTES` more.
    pub fn content_bytes(&self) -> usize {
        let hosted = self.rest.hosted.as_ref().map_or(0, |h| h.len());
        let lists = self.routes.bytes() + self.services.bytes() + self.tenants.bytes();
        self.rest.outer.len() + hosted + lists
    }

    /// The complete document as canonical JSON.
    pub fn text(&self) -> String {
        let Some(hosted) = &self.rest.hosted else {
            return self.rest.outer.to_string();
        };
        let mut text = String::with_capacity(self.content_bytes() + LIST_NAMES_BYTES);
        text.push_str("{\"hosted\":{");
        for (key, list) in self.lists().iter().filter(|(_, l)| l.present()) {
            text.push_str(&format!("{key:?}:"));
            list.write(&mut text);
            text.push(',');
        }
        push_members(&mut text, hosted);
        text.push_str("},");
        push_members(&mut text, &self.rest.outer);
        text.push('}');
        text
    }

    /// The changes since revision `from`; `None` if they are no longer known, and
    /// the replica needs the complete document.
    pub fn delta_since(&self, from: u64) -> Option<DocumentDelta> {
        let new_rest = self.rest_revision > from;
        Some(DocumentDelta {
            rest: Some(self.rest.clone()).filter(|_| new_rest),
            services: self.services.delta_since(from)?,
            routes: self.routes.delta_since(from)?,
            tenants: self.tenants.delta_since(from)?,
        })
    }

    /// The complete document, as a delta of an empty one.
    pub fn as_delta(&self) -> DocumentDelta {
        DocumentDelta {
            rest: Some(self.rest.clone()),
            services: self.services.as_delta(),
            routes: self.routes.as_delta(),
            tenants: self.tenants.as_delta(),
        }
    }

    /// Applies a delta that leads to `revision`.
    pub fn apply(&mut self, delta: &DocumentDelta, revision: u64) {
        if let Some(rest) = &delta.rest {
            self.set_rest(rest.clone(), revision);
        }
        self.services.apply(&delta.services, revision);
        self.routes.apply(&delta.routes, revision);
        self.tenants.apply(&delta.tenants, revision);
    }

    /// Rebuilds the indices, which are not serialized, moves tenants that an earlier
    /// release stored in `rest` to their own list, and repairs a document in which that
    /// release kept null beside a list of the same key. Returns whether it was repaired.
    pub(super) fn rebuild_index(&mut self) -> bool {
        self.services.rebuild_index();
        self.routes.rebuild_index();
        self.tenants.rebuild_index();
        let mut hosted = self.hosted_rest();
        let tenants = hosted.get(TENANTS).and_then(|t| t.as_array()).cloned();
        if let Some(tenants) = &tenants {
            let _ = hosted.remove(TENANTS);
            self.tenants.replace(Some(tenants), self.rest_revision);
        }
        let repaired = self.remove_present_lists(&mut hosted);
        if tenants.is_some() || repaired {
            self.rest.hosted = Some(json::canonical(&hosted).into());
        }
        repaired
    }
}

fn split_rest(value: &Value, hosted: Option<&Value>) -> DocumentRest {
    let mut outer = value.clone();
    // a `hosted` that is no object stays in place for validation to report
    let hosted = hosted.filter(|h| h.is_object()).map(|h| {
        let _ = outer.remove(HOSTED);
        let mut rest = h.clone();
        for key in LISTS {
            if rest.get(key).is_some_and(|l| l.is_array()) {
                let _ = rest.remove(key);
            }
        }
        json::canonical(&rest).into()
    });
    DocumentRest {
        outer: json::canonical(&outer).into(),
        hosted,
    }
}

/// The list under `key`; empty if there is none.
fn list_at<'v>(value: &'v Value, key: &str) -> Result<&'v [Value], String> {
    match value.get(key) {
        None => Ok(&[]),
        Some(list) => list
            .as_array()
            .map(|a| a.as_slice())
            .ok_or(format!("{key}: must be a list")),
    }
}

/// Appends the members of an object without its braces; if it has none, a
/// trailing comma is removed.
fn push_members(text: &mut String, object: &str) {
    let members = &object[1..object.len() - 1];
    if members.is_empty() {
        if text.ends_with(',') {
            text.pop();
        }
    } else {
        text.push_str(members);
    }
}
