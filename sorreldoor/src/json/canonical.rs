//! Canonical JSON text, and merge patches.

use super::Value;
use simd_json::prelude::*;

/// Applies a merge patch (RFC 7396): objects are merged, null removes a member, any
/// other value replaces the target.
pub fn merge(target: &mut Value, patch: &Value) {
    let Some(patch_members) = patch.as_object() else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::object();
    }
    for (key, value) in patch_members.iter() {
        if value.is_null() {
            let _ = target.remove(key.as_str());
            continue;
        }
        let mut merged = target.get(key.as_str()).cloned().unwrap_or_default();
        merge(&mut merged, value);
        let _ = target.insert(key.as_str(), merged);
    }
}

/// The canonical text of a value: sorted keys, no white space.
#[must_use]
pub fn canonical(value: &Value) -> String {
    let mut text = String::new();
    write(value, &mut text);
    text
}

fn write(value: &Value, text: &mut String) {
    if let Some(object) = value.as_object() {
        let mut members: Vec<_> = object.iter().collect();
        members.sort_by(|a, b| a.0.cmp(b.0));
        text.push('{');
        for (index, (key, value)) in members.into_iter().enumerate() {
            if index > 0 {
                text.push(',');
            }
            text.push_str(&Value::from(key.as_str()).encode());
            text.push(':');
            write(value, text);
        }
        text.push('}');
    } else if let Some(list) = value.as_array() {
        text.push('[');
        for (index, value) in list.iter().enumerate() {
            if index > 0 {
                text.push(',');
            }
            write(value, text);
        }
        text.push(']');
    } else {
        text.push_str(&value.encode());
    }
}
