//! A list of named JSON items that knows, for each, when it last changed.

use crate::invariants::{broken, Invariant};
use crate::json::{self, Val};
use im::OrdMap;
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use std::collections::HashSet;
use std::sync::Arc;

/// Names of deleted items that are kept, at most; whoever lacks more is told
/// the whole list.
const MAX_DELETED: usize = 4096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Item {
    name: Arc<str>,
    /// Canonical JSON.
    text: Arc<str>,
    /// When it came into the list, and when it last changed there.
    created: u64,
    changed: u64,
}

/// Items in the operator's order, each name once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ItemList {
    /// Whether the document has the list at all.
    given: bool,
    items: OrdMap<u64, Item>,
    #[serde(skip)]
    places: OrdMap<Arc<str>, u64>,
    next_place: u64,
    /// What is no more, and since when.
    deleted: OrdMap<Arc<str>, u64>,
    /// Deletions up to this revision are forgotten.
    deleted_floor: u64,
    bytes: usize,
}

/// An item as it is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemChange {
    pub name: Arc<str>,
    pub text: Arc<str>,
    /// It belongs at the end, also where an older one of its name stands
    /// elsewhere.
    pub last: bool,
}

/// What lies between two revisions of a list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ItemChanges {
    pub given: bool,
    pub set: Vec<ItemChange>,
    pub deleted: Vec<Arc<str>>,
}

impl ItemChanges {
    /// The items that are set, read.
    pub(super) fn values(&self) -> Vec<Val> {
        self.set.iter().map(|i| json::reparse(&i.text)).collect()
    }
}

fn name_of(v: &Val) -> Option<&str> {
    v.get("name").and_then(|n| n.as_str())
}

impl ItemList {
    pub fn given(&self) -> bool {
        self.given
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn write(&self, text: &mut String) {
        text.push('[');
        for (i, item) in self.items.values().enumerate() {
            if i > 0 {
                text.push(',');
            }
            text.push_str(&item.text);
        }
        text.push(']');
    }

    /// The items of `new` in place of all there are.
    pub fn replace(&mut self, new: Option<&Vec<Val>>, revision: u64) {
        self.given = new.is_some();
        let new: &[Val] = new.map_or(&[], |n| n.as_slice());
        let names: Vec<&str> = new.iter().filter_map(name_of).collect();
        let wanted: HashSet<&str> = names.iter().copied().collect();
        let order_stays = self.order_stays(&names, &wanted);
        let gone: Vec<Arc<str>> = self
            .places
            .keys()
            .filter(|n| !order_stays || !wanted.contains(&***n))
            .cloned()
            .collect();
        for name in &gone {
            self.delete(name, revision);
        }
        for item in new {
            self.set(item, revision);
        }
    }

    /// Whether the new names are those of this list that stay, in their
    /// order, with all others after them.
    fn order_stays(&self, names: &[&str], wanted: &HashSet<&str>) -> bool {
        let staying = self.items.values().map(|i| &*i.name);
        let staying: Vec<&str> = staying.filter(|n| wanted.contains(n)).collect();
        names.starts_with(&staying)
    }

    /// Sets the items of `set`, in their place or last, and deletes those
    /// named in `drop`. What is in both is set.
    pub fn change(
        &mut self,
        key: &str,
        set: &[Val],
        drop: &[Val],
        revision: u64,
    ) -> Result<(), String> {
        self.given = true;
        let mut names = HashSet::new();
        for item in set {
            let name = name_of(item).ok_or(format!("set.{key}: every item needs a name"))?;
            if !names.insert(name) {
                return Err(format!("set.{key}: {name:?} is given twice"));
            }
        }
        for name in drop {
            let name = name.as_str();
            let name = name.ok_or(format!("drop.{key}: must be a list of names"))?;
            if !names.contains(name) {
                self.delete(name, revision);
            }
        }
        for item in set {
            self.set(item, revision);
        }
        Ok(())
    }

    fn set(&mut self, item: &Val, revision: u64) {
        let name: Arc<str> = name_of(item).unwrap_or_default().into();
        self.set_text(name, json::canon(item).into(), revision);
    }

    fn set_text(&mut self, name: Arc<str>, text: Arc<str>, revision: u64) {
        let place = self.places.get(&name).copied();
        let place = place.unwrap_or(self.next_place);
        let old = self.items.get(&place);
        if old.is_some_and(|o| o.text == text) {
            return;
        }
        self.bytes -= old.map_or(0, |o| o.text.len() + 1);
        self.bytes += text.len() + 1;
        let item = Item {
            name: name.clone(),
            text,
            created: old.map_or(revision, |o| o.created),
            changed: revision,
        };
        self.items.insert(place, item);
        self.places.insert(name, place);
        self.next_place = self.next_place.max(place + 1);
    }

    fn delete(&mut self, name: &str, revision: u64) {
        let Some(place) = self.places.remove(name) else {
            return;
        };
        if let Some(item) = self.items.remove(&place) {
            self.bytes -= item.text.len() + 1;
            self.deleted.insert(item.name, revision);
        }
        if self.deleted.len() > MAX_DELETED {
            self.forget_deleted();
        }
    }

    /// Forgets the older half of the deletions.
    fn forget_deleted(&mut self) {
        let mut revisions: Vec<u64> = self.deleted.values().copied().collect();
        revisions.sort_unstable();
        let floor = revisions[revisions.len() / 2];
        let newer = self.deleted.iter().filter(|(_, at)| **at > floor);
        self.deleted = newer.map(|(name, at)| (name.clone(), *at)).collect();
        self.deleted_floor = floor;
    }

    /// What a copy of revision `from` lacks, if that is still known.
    pub fn changes_since(&self, from: u64) -> Option<ItemChanges> {
        if from < self.deleted_floor {
            return None;
        }
        let new = self.items.values().filter(|i| i.changed > from);
        let set = new.map(|i| ItemChange {
            name: i.name.clone(),
            text: i.text.clone(),
            last: i.created > from,
        });
        let gone = self.deleted.iter().filter(|(_, at)| **at > from);
        let gone = gone.filter(|(name, _)| !self.places.contains_key(*name));
        let gone = gone.filter(|_| !broken(Invariant::Deletions));
        Some(ItemChanges {
            given: self.given,
            set: set.collect(),
            deleted: gone.map(|(name, _)| name.clone()).collect(),
        })
    }

    pub fn whole(&self) -> ItemChanges {
        let all = self.items.values().map(|i| ItemChange {
            name: i.name.clone(),
            text: i.text.clone(),
            last: true,
        });
        ItemChanges {
            given: self.given,
            set: all.collect(),
            deleted: Vec::new(),
        }
    }

    pub fn apply(&mut self, changes: &ItemChanges, revision: u64) {
        self.given = changes.given;
        for name in &changes.deleted {
            self.delete(name, revision);
        }
        for item in &changes.set {
            if item.last {
                self.delete(&item.name, revision);
            }
            self.set_text(item.name.clone(), item.text.clone(), revision);
        }
    }

    /// The places by name, which serialisation leaves out.
    pub fn index(&mut self) {
        let places = self.items.iter();
        self.places = places.map(|(p, i)| (i.name.clone(), *p)).collect();
    }
}
