//! The operator's document as the record keeps it: the items of the hosted
//! lists one by one, each with the revision that last changed it, and the
//! rest as text. Clones share what they have in common.

use super::item_list::{ItemChanges, ItemList};
use crate::configuration::hosted::Hosted;
use crate::configuration::hosted_change::{HostedChange, ListChange};
use crate::configuration::Site;
use crate::json::{self, Val};
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use std::sync::Arc;

/// The part of a document whose lists are kept item by item.
const HOSTED: &str = "hosted";
const ROUTES: &str = "routes";
const SERVICES: &str = "services";

/// What is not kept item by item, as canonical JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rest {
    /// The document without its `hosted` part.
    pub outer: Arc<str>,
    /// The `hosted` part without its lists; none where there is no such part.
    pub hosted: Option<Arc<str>>,
}

impl Default for Rest {
    fn default() -> Rest {
        Rest {
            outer: "{}".into(),
            hosted: None,
        }
    }
}

/// A document, ready to be told in part.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Document {
    rest: Rest,
    rest_revision: u64,
    routes: ItemList,
    services: ItemList,
}

/// What lies between two revisions of a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentChanges {
    pub rest: Option<Rest>,
    pub services: ItemChanges,
    pub routes: ItemChanges,
}

impl DocumentChanges {
    /// The `hosted` part as changed; none where nothing of it changes.
    ///
    /// # Errors
    /// Every fault of the result, under its path.
    pub fn hosted(&self, old: &Hosted, site: &Site) -> Result<Option<Hosted>, Vec<String>> {
        let rest = self.rest.as_ref().map(|r| &r.hosted);
        if rest.is_some_and(|hosted| hosted.is_none()) {
            return Ok(None);
        }
        let rest = rest.and_then(|h| h.as_deref()).map(parsed);
        let (services, routes) = (self.services.values(), self.routes.values());
        let change = HostedChange {
            rest: rest.as_ref(),
            services: list_change(&services, &self.services),
            routes: list_change(&routes, &self.routes),
        };
        if change.is_empty() {
            return Ok(None);
        }
        change.apply(old, site).map(Some)
    }
}

fn list_change<'v>(set: &'v [Val], changes: &'v ItemChanges) -> ListChange<'v> {
    ListChange {
        set: set.iter().collect(),
        deleted: changes.deleted.iter().map(|n| &**n).collect(),
    }
}

impl Document {
    /// The document `v` in place of this one; what is equal keeps its
    /// revision, all else is marked with `revision`.
    pub fn replace(&mut self, v: &Val, revision: u64) {
        let hosted = v.get(HOSTED);
        self.set_rest(split_rest(v, hosted), revision);
        let list = |key| hosted.and_then(|h| h.get(key)).and_then(|l| l.as_array());
        self.services.replace(list(SERVICES), revision);
        self.routes.replace(list(ROUTES), revision);
    }

    fn set_rest(&mut self, rest: Rest, revision: u64) {
        if rest != self.rest || self.rest_revision == 0 {
            self.rest = rest;
            self.rest_revision = revision;
        }
    }

    /// Puts items in and takes items out of the hosted lists; other keys of
    /// `set` replace those of the `hosted` part.
    ///
    /// # Errors
    /// Why the change cannot be read; the document may then be half changed.
    pub fn change_items(&mut self, set: &Val, drop: &Val, revision: u64) -> Result<(), String> {
        let (Some(all), true) = (set.as_object(), drop.is_object()) else {
            return Err("set and drop must be objects".into());
        };
        let mut hosted = self.hosted_rest();
        for (key, value) in all.iter() {
            if key != ROUTES && key != SERVICES {
                let _ = hosted.insert(key.as_str(), value.clone());
            }
        }
        let rest = Rest {
            outer: self.rest.outer.clone(),
            hosted: Some(json::canon(&hosted).into()),
        };
        self.set_rest(rest, revision);
        for (key, list) in [(SERVICES, &mut self.services), (ROUTES, &mut self.routes)] {
            let (set, drop) = (array(set, key)?, array(drop, key)?);
            list.change(key, set, drop, revision)?;
        }
        Ok(())
    }

    /// The `hosted` part without its lists.
    pub fn hosted_rest(&self) -> Val {
        parsed(self.rest.hosted.as_deref().unwrap_or("{}"))
    }

    /// The length of the whole text, nearly.
    pub fn bytes(&self) -> usize {
        let hosted = self.rest.hosted.as_ref().map_or(0, |h| h.len());
        self.rest.outer.len() + hosted + self.routes.bytes() + self.services.bytes()
    }

    /// The whole document as JSON.
    pub fn text(&self) -> String {
        let Some(hosted) = &self.rest.hosted else {
            return self.rest.outer.to_string();
        };
        let mut text = String::with_capacity(self.bytes() + 64);
        text.push_str("{\"hosted\":{");
        let lists = [(ROUTES, &self.routes), (SERVICES, &self.services)];
        for (key, list) in lists.iter().filter(|(_, l)| l.given()) {
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

    /// What a copy of revision `from` lacks; none where that is not known any
    /// more, and the whole must be told.
    pub fn changes_since(&self, from: u64) -> Option<DocumentChanges> {
        let new_rest = self.rest_revision > from;
        Some(DocumentChanges {
            rest: Some(self.rest.clone()).filter(|_| new_rest),
            services: self.services.changes_since(from)?,
            routes: self.routes.changes_since(from)?,
        })
    }

    /// All of it, as changes of an empty document.
    pub fn whole(&self) -> DocumentChanges {
        DocumentChanges {
            rest: Some(self.rest.clone()),
            services: self.services.whole(),
            routes: self.routes.whole(),
        }
    }

    /// Brings this copy to where the changes lead.
    pub fn apply(&mut self, changes: &DocumentChanges, revision: u64) {
        if let Some(rest) = &changes.rest {
            self.set_rest(rest.clone(), revision);
        }
        self.services.apply(&changes.services, revision);
        self.routes.apply(&changes.routes, revision);
    }

    /// What serialisation leaves out, worked out anew.
    pub(super) fn index(&mut self) {
        self.services.index();
        self.routes.index();
    }
}

fn split_rest(v: &Val, hosted: Option<&Val>) -> Rest {
    let mut outer = v.clone();
    // what is no object stays where it is, and its fault is found elsewhere
    let hosted = hosted.filter(|h| h.is_object()).map(|h| {
        let _ = outer.remove(HOSTED);
        let mut rest = h.clone();
        for key in [ROUTES, SERVICES] {
            if rest.get(key).is_some_and(|l| l.is_array()) {
                let _ = rest.remove(key);
            }
        }
        json::canon(&rest).into()
    });
    Rest {
        outer: json::canon(&outer).into(),
        hosted,
    }
}

fn array<'v>(v: &'v Val, key: &str) -> Result<&'v [Val], String> {
    match v.get(key) {
        None => Ok(&[]),
        Some(list) => list
            .as_array()
            .map(|a| a.as_slice())
            .ok_or(format!("{key}: must be a list")),
    }
}

fn parsed(text: &str) -> Val {
    json::reparse(text)
}

/// The members of an object, without its braces and without an empty tail.
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
