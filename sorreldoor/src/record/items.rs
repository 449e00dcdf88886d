//! Named items of a setup's `hosted` part, replaced or dropped one by one.

use crate::json::Val;
use simd_json::prelude::*;
use std::collections::{HashMap, HashSet};

/// The lists whose items have names.
const LISTS: [&str; 2] = ["routes", "services"];

fn name(v: &Val) -> Option<String> {
    v.get("name").and_then(|n| n.as_str()).map(str::to_string)
}

fn list(v: Option<&Val>, at: &str) -> Result<Vec<Val>, String> {
    match v {
        None => Ok(Vec::new()),
        Some(v) => v
            .as_array()
            .map(|a| a.to_vec())
            .ok_or(format!("{at}: must be a list")),
    }
}

/// The document with the items of `set` put in and those named in `drop` taken
/// out: an item that is there is replaced whole, in its place; a new one comes
/// last. What is in both is set. Other keys of `set` replace the document's.
pub fn changed(doc: &Val, set: &Val, drop: &Val) -> Result<Val, String> {
    if !set.is_object() || !drop.is_object() {
        return Err("set and drop must be objects".into());
    }
    let mut out = doc.clone();
    if !out.is_object() {
        out = Val::object();
    }
    let mut hosted = out.get("hosted").cloned().unwrap_or_else(Val::object);
    for k in LISTS {
        let old = list(hosted.get(k), k)?;
        let new = one(k, old, list(set.get(k), k)?, list(drop.get(k), k)?)?;
        let _ = hosted.insert(k, Val::from(new));
    }
    let more = set.as_object().into_iter().flatten();
    for (k, v) in more.filter(|(k, _)| !LISTS.contains(&k.as_str())) {
        let _ = hosted.insert(k.as_str(), v.clone());
    }
    let _ = out.insert("hosted", hosted);
    Ok(out)
}

fn one(k: &str, old: Vec<Val>, set: Vec<Val>, drop: Vec<Val>) -> Result<Vec<Val>, String> {
    let gone: Option<HashSet<&str>> = drop.iter().map(|v| v.as_str()).collect();
    let gone = gone.ok_or(format!("drop.{k}: must be a list of names"))?;
    let mut put: HashMap<String, &Val> = HashMap::new();
    for v in &set {
        let n = name(v).ok_or(format!("set.{k}: every item needs a name"))?;
        if put.insert(n.clone(), v).is_some() {
            return Err(format!("set.{k}: {n:?} is given twice"));
        }
    }
    let mut out = Vec::with_capacity(old.len() + set.len());
    for v in old {
        let n = name(&v).unwrap_or_default();
        match put.remove(&n) {
            Some(new) => out.push(new.clone()),
            None if gone.contains(n.as_str()) => {}
            None => out.push(v),
        }
    }
    let fresh = |v: &&Val| name(v).is_some_and(|n| put.contains_key(&n));
    out.extend(set.iter().filter(fresh).cloned());
    Ok(out)
}
