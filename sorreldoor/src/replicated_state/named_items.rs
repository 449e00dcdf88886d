//! Changes of lists of named items that this release gives no meaning: they are
//! kept for the operator, and changed by name like the lists that it knows.

use crate::json::Value;
use simd_json::prelude::*;

fn name(item: &Value) -> Option<&str> {
    item.get("name").and_then(|name| name.as_str())
}

/// The items of a list in which each has a name.
fn named(list: &Value) -> Option<&Vec<Value>> {
    let items = list.as_array()?;
    items
        .iter()
        .all(|item| name(item).is_some())
        .then_some(items)
}

/// The list after the items of `set` were added, or have replaced those of
/// their names; `None`: one of the two is no list of named items.
pub(super) fn changed(current: Option<&Value>, set: &Value) -> Option<Value> {
    let set = named(set)?;
    let mut items = match current {
        Some(current) => named(current)?.clone(),
        None => Vec::new(),
    };
    for item in set {
        match items.iter_mut().find(|old| name(old) == name(item)) {
            Some(old) => *old = item.clone(),
            None => items.push(item.clone()),
        }
    }
    Some(Value::from(items))
}

/// The list without the items that `names` lists, unless `set` holds them too;
/// `None`: it is no list of named items, or `names` is no list.
pub(super) fn without(
    current: Option<&Value>,
    names: &Value,
    set: Option<&Value>,
) -> Option<Value> {
    let items = named(current?)?;
    let names = names.as_array()?;
    let is_set = |item: &Value| {
        let set = set.and_then(named);
        set.is_some_and(|set| set.iter().any(|other| name(other) == name(item)))
    };
    let is_dropped = |item: &Value| names.iter().any(|n| n.as_str() == name(item));
    let left = items
        .iter()
        .filter(|item| is_set(item) || !is_dropped(item));
    Some(Value::from(left.cloned().collect::<Vec<_>>()))
}
