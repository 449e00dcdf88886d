//! Changes of lists of named items that this release does not interpret, such as
//! those of a later release: stored as they are, and changed item by item.

use crate::json::Value;
use simd_json::prelude::*;

fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(|name| name.as_str())
}

/// The items of a list; `None` if it is no list or an item has no name.
fn named_items(list: &Value) -> Option<&Vec<Value>> {
    let items = list.as_array()?;
    items
        .iter()
        .all(|item| name_of(item).is_some())
        .then_some(items)
}

/// The list with the items of `set`, each of which replaces the item of its name
/// or is appended; `None` if either is no list of named items.
pub(super) fn with_items(current: Option<&Value>, set: &Value) -> Option<Value> {
    let set = named_items(set)?;
    let mut items = match current {
        Some(current) => named_items(current)?.clone(),
        None => Vec::new(),
    };
    for item in set {
        match items.iter_mut().find(|old| name_of(old) == name_of(item)) {
            Some(old) => *old = item.clone(),
            None => items.push(item.clone()),
        }
    }
    Some(Value::from(items))
}

/// The list without the items in `names`, except those that `set` has too; `None`
/// if it is no list of named items or `names` is no list.
pub(super) fn without(
    current: Option<&Value>,
    names: &Value,
    set: Option<&Value>,
) -> Option<Value> {
    let items = named_items(current?)?;
    let names = names.as_array()?;
    let is_set = |item: &Value| {
        let set = set.and_then(named_items);
        set.is_some_and(|set| set.iter().any(|other| name_of(other) == name_of(item)))
    };
    let is_dropped = |item: &Value| names.iter().any(|n| n.as_str() == name_of(item));
    let remaining = items
        .iter()
        .filter(|item| is_set(item) || !is_dropped(item));
    Some(Value::from(remaining.cloned().collect::<Vec<_>>()))
}
