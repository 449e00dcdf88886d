//! An ordered list of named JSON items with the revision that last changed
//! each, from which deltas are made.

use super::Revision;
use crate::invariants::{is_disabled, Invariant};
use crate::json::{self, Value};
use im::OrdMap;
use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use std::collections::HashSet;
use std::sync::Arc;

/// How many deletions are remembered; a replica that missed more gets the
/// complete list.
const MAX_DELETED: usize = 4096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Item {
    name: Arc<str>,
    /// Canonical JSON.
    text: Arc<str>,
    /// The revision that added it.
    created: Revision,
    /// The revision that last changed it.
    changed: Revision,
}

/// Items in the operator's order, each name once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ItemList {
    /// Whether the document has the list; an absent one differs from an empty one.
    #[serde(rename = "given")]
    present: bool,
    items: OrdMap<u64, Item>,
    #[serde(skip)]
    positions: OrdMap<Arc<str>, u64>,
    #[serde(rename = "next_place")]
    next_position: u64,
    /// Deleted names, with the revision of the deletion.
    deleted: OrdMap<Arc<str>, u64>,
    /// Deletions up to this revision are forgotten.
    #[serde(rename = "deleted_floor")]
    forgotten_up_to: u64,
    bytes: usize,
}

/// An item that was added or changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemDelta {
    /// The item's `name`, unique in its list.
    pub name: Arc<str>,
    /// The complete item as canonical JSON.
    pub text: Arc<str>,
    /// Whether it is appended, even if the list has an older item of its name.
    #[serde(rename = "last")]
    pub append: bool,
}

/// The difference between two revisions of a list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Whether the document has the list after the change.
    #[serde(rename = "given")]
    pub present: bool,
    /// Items added or replaced, in the order of the list.
    pub set: Vec<ItemDelta>,
    /// Names of items that are no longer in the list.
    pub deleted: Vec<Arc<str>>,
}

impl ListDelta {
    /// The items of `set` as parsed JSON.
    pub(super) fn values(&self) -> Vec<Value> {
        self.set
            .iter()
            .map(|i| json::parse_canonical(&i.text))
            .collect()
    }
}

fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(|name| name.as_str())
}

impl ItemList {
    /// Whether the document has the list.
    pub fn present(&self) -> bool {
        self.present
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// The length of the list as text, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends the list as canonical JSON.
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

    /// Replaces all items by those of `new`.
    pub fn replace(&mut self, new: Option<&Vec<Value>>, revision: Revision) {
        self.present = new.is_some();
        let new: &[Value] = new.map_or(&[], |n| n.as_slice());
        let names: Vec<&str> = new.iter().filter_map(name_of).collect();
        let wanted: HashSet<&str> = names.iter().copied().collect();
        let keeps_order = self.keeps_order(&names, &wanted);
        let deleted: Vec<Arc<str>> = self
            .positions
            .keys()
            .filter(|n| !keeps_order || !wanted.contains(&***n))
            .cloned()
            .collect();
        for name in &deleted {
            self.delete(name, revision);
        }
        for item in new {
            self.set(item, revision);
        }
    }

    /// Whether `names` begins with the retained names of this list in their
    /// present order, so that every other one can be appended.
    fn keeps_order(&self, names: &[&str], wanted: &HashSet<&str>) -> bool {
        let staying = self.items.values().map(|i| &*i.name);
        let staying: Vec<&str> = staying.filter(|n| wanted.contains(n)).collect();
        names.starts_with(&staying)
    }

    /// Sets the items of `set`, in their position or at the end, and deletes
    /// those named in `drop`. A name in both is set.
    ///
    /// # Errors
    /// An item without a name, a repeated name, or `drop` is no list of names.
    pub fn change(
        &mut self,
        key: &str,
        set: &[Value],
        drop: &[Value],
        revision: Revision,
    ) -> Result<(), String> {
        self.present |= !set.is_empty() || !drop.is_empty();
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

    fn set(&mut self, item: &Value, revision: Revision) {
        let name: Arc<str> = name_of(item).unwrap_or_default().into();
        self.set_text(name, json::canonical(item).into(), revision);
    }

    fn set_text(&mut self, name: Arc<str>, text: Arc<str>, revision: Revision) {
        let position = self.positions.get(&name).copied();
        let position = position.unwrap_or(self.next_position);
        let old = self.items.get(&position);
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
        self.items.insert(position, item);
        self.positions.insert(name, position);
        self.next_position = self.next_position.max(position + 1);
    }

    fn delete(&mut self, name: &str, revision: Revision) {
        let Some(position) = self.positions.remove(name) else {
            return;
        };
        if let Some(item) = self.items.remove(&position) {
            self.bytes -= item.text.len() + 1;
            self.deleted.insert(item.name, revision);
        }
        if self.deleted.len() > MAX_DELETED {
            self.forget_oldest_deletions();
        }
    }

    /// Discards the older half of the deletions.
    fn forget_oldest_deletions(&mut self) {
        let mut revisions: Vec<u64> = self.deleted.values().copied().collect();
        revisions.sort_unstable();
        let floor = revisions[revisions.len() / 2];
        let newer = self.deleted.iter().filter(|(_, at)| **at > floor);
        self.deleted = newer.map(|(name, at)| (name.clone(), *at)).collect();
        self.forgotten_up_to = floor;
    }

    /// The changes since revision `from`; `None` if deletions since then are no
    /// longer remembered.
    pub fn delta_since(&self, from: Revision) -> Option<ListDelta> {
        if from < self.forgotten_up_to {
            return None;
        }
        let new = self.items.values().filter(|i| i.changed > from);
        let set = new.map(|i| ItemDelta {
            name: i.name.clone(),
            text: i.text.clone(),
            append: i.created > from,
        });
        let deleted = self.deleted.iter().filter(|(_, at)| **at > from);
        let deleted = deleted.filter(|(name, _)| !self.positions.contains_key(*name));
        let deleted = deleted.filter(|_| !is_disabled(Invariant::DeltaDeletions));
        Some(ListDelta {
            present: self.present,
            set: set.collect(),
            deleted: deleted.map(|(name, _)| name.clone()).collect(),
        })
    }

    /// The complete list, as a delta of an empty one.
    pub fn as_delta(&self) -> ListDelta {
        let all = self.items.values().map(|i| ItemDelta {
            name: i.name.clone(),
            text: i.text.clone(),
            append: true,
        });
        ListDelta {
            present: self.present,
            set: all.collect(),
            deleted: Vec::new(),
        }
    }

    /// Applies a delta that leads to `revision`.
    pub fn apply(&mut self, delta: &ListDelta, revision: Revision) {
        self.present = delta.present;
        for name in &delta.deleted {
            self.delete(name, revision);
        }
        for item in &delta.set {
            if item.append {
                self.delete(&item.name, revision);
            }
            self.set_text(item.name.clone(), item.text.clone(), revision);
        }
    }

    /// Rebuilds the positions by name, which are not serialized.
    pub fn rebuild_index(&mut self) {
        let positions = self.items.iter();
        self.positions = positions.map(|(p, i)| (i.name.clone(), *p)).collect();
    }
}
