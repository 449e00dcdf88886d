//! Reading JSON as simd-json values, with every fault kept under its path.

use simd_json::prelude::*;
use simd_json::{Node, OwnedValue};
use std::collections::HashSet;

pub type Value = OwnedValue;

pub const MAX_DEPTH: usize = 16;

/// Parse strictly: no repeated key, no value nested too deep, no oversize.
pub fn parse(text: &[u8], most: usize) -> Result<Value, String> {
    if text.len() > most {
        return Err(format!("is larger than {most} bytes"));
    }
    let mut b = text.to_vec();
    let tape = simd_json::to_tape(&mut b).map_err(|e| format!("is not JSON: {e}"))?;
    // the value form keeps one of two equal keys, so look before building it
    walk(&tape.0, 0, 0)?;
    let mut b = text.to_vec();
    simd_json::to_owned_value(&mut b).map_err(|e| format!("is not JSON: {e}"))
}

/// Text that was written by `canon`, and so was checked before; null for any
/// other that is no JSON.
pub fn parse_canonical(text: &str) -> Value {
    let mut b = text.as_bytes().to_vec();
    simd_json::to_owned_value(&mut b).unwrap_or_default()
}

/// Checks the node at `i`; gives the index after it.
fn walk(t: &[Node], i: usize, depth: usize) -> Result<usize, String> {
    if depth > MAX_DEPTH {
        return Err(format!("is nested deeper than {MAX_DEPTH}"));
    }
    match t.get(i) {
        Some(Node::Object { len, .. }) => {
            let mut seen = HashSet::new();
            let mut at = i + 1;
            for _ in 0..*len {
                if let Some(Node::String(k)) = t.get(at) {
                    if !seen.insert(*k) {
                        return Err(format!("has the key {k:?} twice"));
                    }
                }
                at = walk(t, at + 1, depth + 1)?;
            }
            Ok(at)
        }
        Some(Node::Array { len, .. }) => {
            let mut at = i + 1;
            for _ in 0..*len {
                at = walk(t, at, depth + 1)?;
            }
            Ok(at)
        }
        _ => Ok(i + 1),
    }
}

/// Faults found so far, each as `path: what is wrong`.
#[derive(Default, Debug)]
pub struct Faults(pub Vec<String>);

impl Faults {
    pub fn add(&mut self, path: &str, what: impl std::fmt::Display) {
        // an endless list of faults helps nobody and must not fill memory
        if self.0.len() < 100 {
            self.0.push(format!("{path}: {what}"));
        }
    }

    pub fn none(&self) -> bool {
        self.0.is_empty()
    }

    /// The object at `v`, with unknown keys reported.
    pub fn object<'v>(
        &mut self,
        v: &'v Value,
        path: &str,
        keys: &[&str],
    ) -> Option<ObjectReader<'v>> {
        let o = v.as_object();
        if o.is_none() {
            self.add(path, "must be an object");
        }
        o.map(|o| {
            let mut ks: Vec<&str> = o.keys().map(|k| k.as_str()).collect();
            ks.sort_unstable();
            for k in ks.into_iter().filter(|k| !keys.contains(k)) {
                self.add(&join(path, k), "unknown field");
            }
            ObjectReader {
                v,
                path: path.to_string(),
            }
        })
    }

    /// Names and values of a map keyed by name, in order of name.
    pub fn named<'v>(&mut self, v: Option<&'v Value>, path: &str) -> Vec<(&'v str, &'v Value)> {
        let Some(v) = v else { return Vec::new() };
        let Some(o) = v.as_object() else {
            self.add(path, "must be an object keyed by name");
            return Vec::new();
        };
        let mut all: Vec<(&str, &Value)> = o.iter().map(|(k, v)| (k.as_str(), v)).collect();
        all.sort_by(|a, b| a.0.cmp(b.0));
        for (k, _) in &all {
            if !is_valid_name(k) {
                self.add(
                    &join(path, k),
                    "a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'",
                );
            }
        }
        all
    }
}

pub fn is_valid_name(s: &str) -> bool {
    (1..=64).contains(&s.len())
        && s.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

pub fn join(path: &str, k: &str) -> String {
    if path.is_empty() {
        k.to_string()
    } else {
        format!("{path}.{k}")
    }
}

/// An object under its path, for reading typed fields.
pub struct ObjectReader<'v> {
    v: &'v Value,
    path: String,
}

impl<'v> ObjectReader<'v> {
    pub fn at(&self, k: &str) -> String {
        join(&self.path, k)
    }

    pub fn get(&self, k: &str) -> Option<&'v Value> {
        self.v.get(k)
    }

    pub fn text(&self, k: &str, f: &mut Faults) -> Option<&'v str> {
        let v = self.get(k)?;
        let s = v.as_str();
        if s.is_none() {
            f.add(&self.at(k), "must be a string");
        }
        s
    }

    pub fn required_text(&self, k: &str, f: &mut Faults) -> Option<&'v str> {
        if self.get(k).is_none() {
            f.add(&self.at(k), "is missing");
        }
        self.text(k, f)
    }

    pub fn flag(&self, k: &str, f: &mut Faults) -> Option<bool> {
        let v = self.get(k)?;
        let b = v.as_bool();
        if b.is_none() {
            f.add(&self.at(k), "must be true or false");
        }
        b
    }

    /// A whole number within bounds, or the default where absent.
    pub fn num(&self, k: &str, least: u64, most: u64, f: &mut Faults) -> Option<u64> {
        let v = self.get(k)?;
        let n = v.as_u64().filter(|n| (least..=most).contains(n));
        if n.is_none() {
            f.add(
                &self.at(k),
                format!("must be a whole number from {least} to {most}"),
            );
        }
        n
    }

    pub fn texts(&self, k: &str, f: &mut Faults) -> Vec<&'v str> {
        let Some(v) = self.get(k) else {
            return Vec::new();
        };
        let all: Option<Vec<&str>> = v
            .as_array()
            .and_then(|a| a.iter().map(|x| x.as_str()).collect());
        if all.is_none() {
            f.add(&self.at(k), "must be a list of strings");
        }
        all.unwrap_or_default()
    }
}

/// RFC 7396: objects merge, null removes, all else replaces.
pub fn merge(into: &mut Value, patch: &Value) {
    let Some(p) = patch.as_object() else {
        *into = patch.clone();
        return;
    };
    if !into.is_object() {
        *into = Value::object();
    }
    for (k, v) in p.iter() {
        if v.is_null() {
            let _ = into.remove(k.as_str());
            continue;
        }
        let mut old = into.get(k.as_str()).cloned().unwrap_or_default();
        merge(&mut old, v);
        let _ = into.insert(k.as_str(), old);
    }
}

/// One spelling for one value: keys sorted, no white space.
pub fn canonical(v: &Value) -> String {
    let mut s = String::new();
    write(v, &mut s);
    s
}

fn write(v: &Value, s: &mut String) {
    if let Some(o) = v.as_object() {
        let mut ks: Vec<_> = o.iter().collect();
        ks.sort_by(|a, b| a.0.cmp(b.0));
        s.push('{');
        for (i, (k, v)) in ks.into_iter().enumerate() {
            if i > 0 {
                s.push(',');
            }
            s.push_str(&Value::from(k.as_str()).encode());
            s.push(':');
            write(v, s);
        }
        s.push('}');
    } else if let Some(a) = v.as_array() {
        s.push('[');
        for (i, v) in a.iter().enumerate() {
            if i > 0 {
                s.push(',');
            }
            write(v, s);
        }
        s.push(']');
    } else {
        s.push_str(&v.encode());
    }
}
