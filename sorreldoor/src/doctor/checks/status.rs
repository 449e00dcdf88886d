//! Readers of status fields, with defaults for missing ones.

use crate::json::Value;
use simd_json::prelude::*;

pub(super) fn flag(status: &Value, key: &str) -> Option<bool> {
    status.get(key).and_then(|value| value.as_bool())
}

/// A number; 0 if missing.
pub(super) fn number(status: &Value, key: &str) -> u64 {
    let value = status.get(key).and_then(|value| value.as_u64());
    value.unwrap_or(0)
}

/// A string; `?` if missing.
pub(super) fn text(status: &Value, key: &str) -> String {
    let value = status.get(key).and_then(|value| value.as_str());
    value.unwrap_or("?").to_string()
}

/// The items of a list; none if missing.
pub(super) fn rows<'v>(status: &'v Value, key: &str) -> &'v [Value] {
    let list = status.get(key).and_then(|value| value.as_array());
    list.map_or(&[], |list| &list[..])
}
